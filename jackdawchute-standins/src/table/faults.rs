//! What goes wrong between the table and one client, and what that client did.

use std::time::Duration;

use jackdawchute_types::duration_ms;
use serde::{Deserialize, Serialize};

/// Whether the table answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// It answers.
    #[default]
    Up,
    /// It answers 503 and does nothing.
    Refusing,
    /// It neither answers nor does anything.
    Silent,
}

/// The faults towards one client.
///
/// ```
/// use jackdawchute_standins::table::{Availability, TableFaults};
///
/// let faults: TableFaults = serde_json::from_str(r#"{"availability":"silent"}"#).unwrap();
/// assert_eq!(faults.availability, Availability::Silent);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableFaults {
    /// Whether it answers.
    pub availability: Availability,
    /// How long it waits before it does anything.
    #[serde(with = "duration_ms", rename = "delay_ms")]
    pub delay: Duration,
    /// How many of the next commits take effect without an answer.
    pub lose_commit_answers: u32,
}

/// What one client asked of the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCounts {
    /// Reads of one row.
    pub reads: u64,
    /// Reads of a prefix.
    pub scans: u64,
    /// Transactions.
    pub commits: u64,
    /// Commits whose answer was withheld after they took effect.
    pub lost_answers: u64,
    /// The bodies of requests, in bytes.
    pub request_bytes: u64,
    /// The bodies of answers, in bytes.
    pub answer_bytes: u64,
}
