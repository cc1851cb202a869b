//! Test-only stand-ins for the platform, with faults.
//!
//! Each stand-in is a task that owns its state and record, an HTTP listener for the product and,
//! as a program, a second listener that sets its faults.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod balancer;
pub mod caller;
pub mod cell;
pub mod cell_soak;
pub mod checker;
mod error;
pub mod harness;
mod hold;
pub mod load;
pub mod load_model;
mod lock;
pub mod membership;
pub mod program;
pub mod proxy;
pub mod soak;
pub mod table;

pub use error::{Error, Result};
