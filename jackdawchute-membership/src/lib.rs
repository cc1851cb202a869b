//! Live and leaving members, as the platform lists them.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]
