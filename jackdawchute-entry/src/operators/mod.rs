//! The HTTP API for operators, with metrics and health checks.

mod configuration;
mod explain;
mod listener;
mod status;

pub use configuration::{ApplyRequest, ConfigurationProblem};

pub(crate) use configuration::ConfigurationApi;
pub(crate) use explain::{ExplainSources, EXPLAIN};
pub(crate) use listener::{serve, OperatorsOptions};
pub(crate) use status::StatusSources;
