//! Test-only stand-ins for the platform, with faults.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]
