//! The values that apply to the whole fleet.

use std::time::Duration;

use jackdawchute_types::duration_ms;
use serde::{Deserialize, Serialize};

/// The values that apply wherever no exception sets another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Defaults {
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// The longest deadline that a caller may ask for.
    #[serde(with = "duration_ms", rename = "deadline_max_ms")]
    pub deadline_max: Duration,
    /// The most retries in a class, in per cent of its requests.
    pub retry_budget_percent: u32,
    /// How long an idempotency key is retained after the outcome of its request; within this time
    /// the request runs at most once.
    #[serde(with = "duration_ms", rename = "key_retention_ms")]
    pub key_retention: Duration,
    /// How long the answer to a request with an idempotency key is retained; at most
    /// `key_retention`.
    #[serde(with = "duration_ms", rename = "answer_retention_ms")]
    pub answer_retention: Duration,
    /// The most answers that one group retains.
    pub answer_count_max: u64,
    /// The maximum size of a retained answer, in bytes.
    pub answer_bytes_max: u64,
    /// The time from a grant's arrival within which the whole answer must be received.
    #[serde(with = "duration_ms", rename = "grant_life_ms")]
    pub grant_life: Duration,
    /// The time from a grant's arrival within which its request must be sent.
    #[serde(with = "duration_ms", rename = "grant_send_within_ms")]
    pub grant_send_within: Duration,
    /// The length of a task lease: how long a worker may run a task without a renewal.
    #[serde(with = "duration_ms", rename = "task_lease_ms")]
    pub task_lease: Duration,
    /// The most workers of a group that may be in quarantine, in per cent of its workers.
    pub quarantine_share_percent: u32,
}

impl Default for Defaults {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            deadline_max: Duration::from_secs(300),
            retry_budget_percent: 10,
            key_retention: Duration::from_secs(3_600),
            answer_retention: Duration::from_secs(3_600),
            answer_count_max: 10_000,
            answer_bytes_max: 64 * 1024,
            grant_life: Duration::from_secs(30),
            grant_send_within: Duration::from_secs(1),
            task_lease: Duration::from_secs(10),
            quarantine_share_percent: 25,
        }
    }
}
