//! Test-only stand-ins for the platform, with faults.
//!
//! Each stand-in is a task that owns its state and record, an HTTP listener for the product and,
//! as a program, a second listener that sets its faults.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod checker;
mod error;
mod hold;
pub mod membership;
pub mod proxy;
pub mod table;

pub use error::{Error, Result};
