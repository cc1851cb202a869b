//! The checked YAML settings of one process.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]
