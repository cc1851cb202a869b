//! Reads typed YAML documents and reports all their problems at once.
//!
//! A problem has the path of the field and, where the YAML library knows it, the line.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod blank;
mod parse;
mod problem;

pub use parse::{parse, parse_first, TEXT_BYTES_MAX};
pub use problem::{Problem, Problems};
