//! Remote calls between entry instances.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]
