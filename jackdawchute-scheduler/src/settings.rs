//! Periods and bounds of the scheduler's decisions.

use std::time::Duration;

/// Periods and bounds of the scheduler's decisions.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How far ahead leases are granted, by every instance of the cell; longer than a takeover, short
    /// enough that the tasks of a worker that is cut off can soon run elsewhere.
    pub lease: Duration,
    /// How long a worker may hold back its answer while nothing ends.
    pub hold_wait: Duration,
    /// How long a worker may be silent before it gets no new tasks.
    pub silence: Duration,
    /// How long an ended job's state is kept.
    pub ended_retention: Duration,
    /// The longest time that a stopped task takes to end.
    pub stop: Duration,
    /// How early an occurrence may start, for clocks that differ.
    pub early: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(4),
            hold_wait: Duration::from_millis(1_500),
            silence: Duration::from_millis(700),
            ended_retention: Duration::from_secs(130),
            stop: Duration::from_millis(900),
            early: Duration::ZERO,
        }
    }
}
