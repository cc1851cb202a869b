//! How much is logged.

use serde::{Deserialize, Serialize};

/// The least severe records that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// Also what an operator should look at.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also single requests.
    Debug,
}
