//! Decides which new jobs an overloaded leader refuses.
//!
//! A leader that accepts more than it can order handles everything late, and most results come too
//! late to be of use. It answers a load beyond its own processor, not beyond the workers': that is
//! admission's. The least urgent queues are refused first, and only as long as the leader lags.

use std::time::Duration;

use crate::settings::{LAG_SMOOTHING, SHED_DOUBLINGS_MAX, SHED_LAG, SHED_LATENESS_MAX};

/// The lag of a leader, as far as new jobs are refused because of it.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    lag: Duration,
}

impl Overload {
    /// Records how late a tick was handled.
    ///
    /// A single late tick counts little: the process may have been suspended. Nothing counts while
    /// `excused` tells that any leader would lag, as after a takeover.
    pub fn record_tick(&mut self, lateness: Duration, excused: bool) {
        if excused {
            self.lag = Duration::ZERO;
            return;
        }
        let lateness = lateness.min(SHED_LATENESS_MAX);
        self.lag = self.lag.mul_f64(1.0 - LAG_SMOOTHING) + lateness.mul_f64(LAG_SMOOTHING);
    }

    /// Returns whether to refuse a new job of a queue with this priority, where 0 is the most
    /// urgent, beside queues with the priorities `configured`.
    ///
    /// The least urgent queues are refused first; each more urgent priority bears twice as
    /// much lag.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_cell::Overload;
    ///
    /// let mut overload = Overload::default();
    /// assert!(!overload.refuses(2, [0, 1, 2]));
    /// (0..30).for_each(|_| overload.record_tick(Duration::from_millis(40), false));
    /// assert!(overload.refuses(2, [0, 1, 2]));
    /// assert!(!overload.refuses(0, [0, 1, 2]));
    /// ```
    pub fn refuses(&self, priority: u32, configured: impl IntoIterator<Item = u32>) -> bool {
        let mut less_urgent: Vec<u32> = configured
            .into_iter()
            .filter(|other| *other > priority)
            .collect();
        less_urgent.sort_unstable();
        less_urgent.dedup();
        let doublings = less_urgent.len().min(SHED_DOUBLINGS_MAX);
        self.lag >= SHED_LAG * (1 << doublings)
    }
}
