//! Fleet defaults and exceptions: versions, checks and acceptance.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]
