//! The listener towards operators, metrics and health checks.

mod listener;
mod status;

pub(crate) use listener::{serve, OperatorsOptions};
pub(crate) use status::StatusSources;
