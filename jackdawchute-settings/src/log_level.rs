//! The log level.

use serde::{Deserialize, Serialize};

/// The least severe level of records that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// Also conditions that an operator should check.
    Warn,
    /// Also state changes.
    #[default]
    Info,
    /// Also individual requests.
    Debug,
}
