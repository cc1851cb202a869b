//! A queue's policy, from the configuration.

use std::time::Duration;

use jackdawchute_types::{duration_ms, QueueId, ServiceId};
use serde::{Deserialize, Serialize};

/// The time that advice requests of a queue take, and how long the tickets are valid.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// The time that every request takes, in milliseconds.
    pub fixed_ms: f64,
    /// The additional time for each worker that a request names, in milliseconds.
    pub per_worker_ms: f64,
    /// How long a ticket is valid after the advisor's answer.
    #[serde(with = "duration_ms", rename = "valid_ms")]
    pub valid: Duration,
}

impl AdviceCost {
    /// Returns how long a request that names `workers` workers takes.
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

/// How the jobs of a queue are scheduled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// The id of the queue.
    pub queue: QueueId,
    /// The service whose workers run the queue's tasks.
    pub service: ServiceId,
    /// The urgency of the queue; 0 is the most urgent, and goes before all others.
    pub priority: u32,
    /// The number of failures of a task after which its job fails; 0 counts as 1.
    pub attempts_max: u32,
    /// A job's objective, the time in which it should end, is this multiple of the run time of its
    /// longest chain of steps, plus `target`.
    pub stretch: f64,
    /// The time that a job's objective allows in addition to the stretched chain.
    #[serde(with = "duration_ms", rename = "target_ms")]
    pub target: Duration,
    /// The cost of advice; `None` if the queue's steps need none.
    pub advice: Option<AdviceCost>,
}

impl QueuePolicy {
    /// Returns how long a job may wait and still be on time, if its longest chain takes `chain`.
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

    /// Returns for how long after its acceptance a job's result is of use: `factor` times the job's
    /// objective.
    pub(crate) fn useful_for(&self, chain: Duration, factor: f64) -> Duration {
        (chain + self.wait_allowance(chain)).mul_f64(factor)
    }
}
