//! Faults between the table and one client, and counts of that client's requests.

use std::time::Duration;

use jackdawchute_types::duration_ms;
use serde::{Deserialize, Serialize};

/// Whether the table serves a client's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// Requests are served.
    #[default]
    Up,
    /// Requests are answered with 503 and have no effect.
    Refusing,
    /// Requests are not answered and have no effect.
    Silent,
}

/// The faults that one client sees.
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
    /// Whether the table serves the client's requests.
    pub availability: Availability,
    /// How long the table waits before it serves or refuses a request.
    #[serde(with = "duration_ms", rename = "delay_ms")]
    pub delay: Duration,
    /// How many of the next commits take effect, but get no answer.
    pub lose_commit_answers: u32,
}

/// Counts of one client's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCounts {
    /// Reads of one row.
    pub reads: u64,
    /// Reads of a prefix.
    pub scans: u64,
    /// Commits that were tried, whatever their outcome.
    pub commits: u64,
    /// Commits that were carried out, but got no answer because of [`TableFaults::lose_commit_answers`].
    pub lost_answers: u64,
    /// The sum of the lengths of request bodies, in bytes.
    pub request_bytes: u64,
    /// The sum of the lengths of the response bodies that were sent, in bytes.
    pub answer_bytes: u64,
}
