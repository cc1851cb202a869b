//! An embedded platform on loopback for the try command.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]
