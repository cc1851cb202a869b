//! Test-only stand-ins for the platform's services, with fault injection.
//!
//! Each stand-in is a task that owns its state and its record of requests, and an HTTP listener for
//! the scheduler; as a program, it has a second listener that sets its faults.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod balancer;
pub mod caller;
pub mod cell;
pub mod cell_soak;
pub mod checker;
mod error;
pub mod harness;
pub mod load;
pub mod load_model;
mod lock;
pub mod membership;
mod no_response;
pub mod program;
pub mod proxy;
pub mod soak;
pub mod table;

pub use error::{Error, Result};
