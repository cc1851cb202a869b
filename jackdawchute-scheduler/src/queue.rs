//! What the configuration says of a queue.

use std::time::Duration;

use jackdawchute_types::{duration_ms, QueueId, ServiceId};
use serde::{Deserialize, Serialize};

/// What it costs to ask which workers may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// The time of any question, in milliseconds.
    pub fixed_ms: f64,
    /// The time of each worker that is named, in milliseconds.
    pub per_worker_ms: f64,
    /// How long a ticket is valid.
    #[serde(with = "duration_ms", rename = "valid_ms")]
    pub valid: Duration,
}

impl AdviceCost {
    /// How long a question about `workers` workers takes.
    ///
    /// ```
    /// use jackdawchute_scheduler::AdviceCost;
    ///
    /// let cost = AdviceCost { fixed_ms: 10.0, per_worker_ms: 0.5, valid: Default::default() };
    /// assert_eq!(cost.duration(20).as_millis(), 20);
    /// ```
    pub fn duration(&self, workers: usize) -> Duration {
        let duration_ms = self.fixed_ms + self.per_worker_ms * workers as f64;
        Duration::from_secs_f64(duration_ms.max(0.0) / 1_000.0)
    }
}

/// How jobs of a queue are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// The queue.
    pub queue: QueueId,
    /// Whose workers run its tasks.
    pub service: ServiceId,
    /// 0 is the most urgent.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts_max: u32,
    /// The factor on a job's longest chain in its objective.
    pub stretch: f64,
    /// What a job's objective allows beyond its stretched chain.
    #[serde(with = "duration_ms", rename = "target_ms")]
    pub target: Duration,
    /// The cost of advice, where the queue's steps need it.
    pub advice: Option<AdviceCost>,
}

impl QueuePolicy {
    /// How long a job may wait and still be on time, if its longest chain takes `chain`.
    ///
    /// ```
    /// use std::time::Duration;
    /// # use jackdawchute_scheduler::QueuePolicy;
    /// # let queue = QueuePolicy { queue: "q".into(), service: "s".into(), priority: 0,
    /// #     attempts_max: 3, stretch: 1.5, target: Duration::from_millis(250), advice: None };
    /// let allowance = queue.wait_allowance(Duration::from_secs(1));
    /// assert_eq!(allowance, Duration::from_millis(750));
    /// ```
    pub fn wait_allowance(&self, chain: Duration) -> Duration {
        chain.mul_f64((self.stretch - 1.0).max(0.0)) + self.target
    }

    /// For how long after its acceptance a job's result is of use, which is `factor` times its
    /// objective.
    pub(crate) fn useful_for(&self, chain: Duration, factor: f64) -> Duration {
        (chain + self.wait_allowance(chain)).mul_f64(factor)
    }
}
