//! HTTP listeners towards callers and operators, and the assembly of one entry instance.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]
