//! Classes of work.

use std::time::Duration;

use jackdawchute_admission::ClassLimits;
use jackdawchute_types::duration_ms;
use serde::{Deserialize, Serialize};

/// The limits of one class of requests and tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// The urgency; work with a lower number goes first.
    pub priority: u32,
    /// The most queued requests or tasks.
    pub queue_max: u32,
    /// The share of capacity, in per cent, that no other class can take while this one has work.
    pub floor_percent: u32,
    /// How long work may wait if its request names no deadline.
    #[serde(with = "duration_ms", rename = "deadline_ms")]
    pub deadline: Duration,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            priority: 100,
            queue_max: 1_000,
            floor_percent: 0,
            deadline: Duration::from_secs(30),
        }
    }
}

impl Class {
    /// Returns the limits in the form that admission uses.
    pub fn limits(&self) -> ClassLimits {
        ClassLimits {
            priority: self.priority,
            queue_max: self.queue_max as usize,
            floor_percent: self.floor_percent,
            deadline: self.deadline,
        }
    }
}
