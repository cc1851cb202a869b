//! HTTP listeners for callers and operators, and the assembly of one entry instance.
//!
//! This crate connects the tasks of all slices. Its only decision is which owner a call goes to.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod body;
mod callers;
mod counted_table;
mod error;
mod instance;
mod listener;
mod listeners;
mod metrics;
mod operators;
mod owner_client;
mod remote_calls;
mod routing;
mod slice_settings;
mod tasks;
mod wiring;
mod workers;

pub use error::{Error, Result};
pub use instance::{Addresses, Instance, Platform};
pub use listener::{bind, run, ListenerLimits};
pub use metrics::Metrics;
pub use operators::{ApplyRequest, ConfigurationProblem};
pub use workers::HttpWorkerPorts;
