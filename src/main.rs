//! The `jackdawchute` program.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

fn main() {}
