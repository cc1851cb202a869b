//! The fleet's defaults.

use std::time::Duration;

use jackdawchute_types::duration_ms;
use serde::{Deserialize, Serialize};

/// What holds wherever no exception says otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Defaults {
    /// The most bytes of a request's body.
    pub body_bytes: u64,
    /// The longest deadline that a caller may ask for.
    #[serde(with = "duration_ms", rename = "deadline_max_ms")]
    pub deadline_max: Duration,
    /// Retries in per cent of the requests of a class.
    pub retry_budget_percent: u32,
    /// How long an idempotency key is known after its outcome; its request runs at most once in
    /// this time.
    #[serde(with = "duration_ms", rename = "key_retention_ms")]
    pub key_retention: Duration,
    /// How long the answer to a keyed request is kept, at most as long as its key.
    #[serde(with = "duration_ms", rename = "answer_retention_ms")]
    pub answer_retention: Duration,
    /// The most answers that one group keeps.
    pub answer_count_max: u64,
    /// The largest answer that is kept, in bytes.
    pub answer_bytes_max: u64,
    /// How long a granted request may take until its whole answer is there.
    #[serde(with = "duration_ms", rename = "grant_life_ms")]
    pub grant_life: Duration,
    /// How soon after its arrival a grant must be used.
    #[serde(with = "duration_ms", rename = "grant_send_within_ms")]
    pub grant_send_within: Duration,
    /// The lease under which a worker runs a task.
    #[serde(with = "duration_ms", rename = "task_lease_ms")]
    pub task_lease: Duration,
    /// The most workers in quarantine, in per cent of a group.
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
