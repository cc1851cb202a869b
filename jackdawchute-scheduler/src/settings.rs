//! Periods and bounds of the scheduler's decisions.

use std::time::Duration;

/// Periods and bounds of the scheduler's decisions.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How far ahead leases are granted, by every instance of the cell; longer than a takeover, short
    /// enough that the tasks of a worker that is cut off can soon run elsewhere.
    pub lease: Duration,
    /// How long a worker may hold back its answer while nothing ends.
    pub renew_wait_max: Duration,
    /// How long a worker may be silent before it gets no new tasks.
    pub worker_silence_max: Duration,
    /// How long an ended job's state is kept.
    pub ended_retention: Duration,
    /// The longest time that a stopped task takes to end.
    pub task_stop_max: Duration,
    /// How early an occurrence may start, for clocks that differ.
    pub occurrence_early_max: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(4),
            renew_wait_max: Duration::from_millis(1_500),
            worker_silence_max: Duration::from_millis(700),
            ended_retention: Duration::from_secs(130),
            task_stop_max: Duration::from_millis(900),
            occurrence_early_max: Duration::ZERO,
        }
    }
}
