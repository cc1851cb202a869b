//! HTTP listeners towards callers and operators, and the assembly of one entry instance.
//!
//! This crate connects the tasks of all slices; it decides only which owner a call goes to.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod authority;
mod body;
mod callers;
mod counted_table;
mod error;
mod fronts;
mod instance;
mod listener;
mod metrics;
mod operators;
mod remotes;
mod routing;
mod tasks;
mod terms;
mod wiring;
mod workers;

pub use error::{Error, Result};
pub use instance::{Addresses, Instance, Platform};
pub use listener::{bind, run, Bounds};
pub use metrics::Metrics;
pub use operators::{ApplyRequest, ConfigurationProblem};
pub use workers::HttpWorkerPorts;
