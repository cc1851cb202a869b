//! Typed YAML documents that report all their problems at once.
//!
//! A problem names the line, where the YAML library gives it, and the path of the field.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod blank;
mod parse;
mod problem;

pub use parse::{parse, parse_first, TEXT_BYTES_MAX};
pub use problem::{Problem, Problems};
