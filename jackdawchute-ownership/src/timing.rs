//! The periods and limits of ownership.

use std::time::Duration;

/// How often an incarnation renews, and when others may count it as gone.
///
/// `lease` is shorter than `takeover`, so that a holder which lost the table knows it before any
/// successor exists. Only plain dispatch relies on that; the journal does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time between two looks at what is due.
    pub tick_period: Duration,
    /// The longest time between two commits of an idle instance.
    pub renewal_period: Duration,
    /// The time between two scans for changed rows.
    pub scan_period: Duration,
    /// How long a confirmed renewal lets its holder act.
    pub lease: Duration,
    /// How long a counter stands still before its row is fenced.
    pub takeover: Duration,
    /// The same for a challenger that the holder cannot know of.
    pub newcomer_takeover: Duration,
    /// How long a peer without the table promises not to fence.
    pub hold_off: Duration,
    /// How long a call to the table or to a peer may take before its answer counts as lost.
    pub call_timeout: Duration,
    /// The time between two groups that are handed over for balance.
    pub rebalance_period: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            tick_period: Duration::from_millis(250),
            renewal_period: Duration::from_millis(1_000),
            scan_period: Duration::from_millis(1_000),
            lease: Duration::from_millis(3_000),
            takeover: Duration::from_millis(5_000),
            newcomer_takeover: Duration::from_millis(10_000),
            hold_off: Duration::from_millis(3_000),
            call_timeout: Duration::from_millis(1_000),
            rebalance_period: Duration::from_millis(1_000),
        }
    }
}

impl Timing {
    /// All periods multiplied by `factor`, for tests and slow networks.
    ///
    /// ```
    /// use std::time::Duration;
    /// let timing = jackdawchute_ownership::Timing::default().scaled(0.5);
    /// assert_eq!(timing.lease, Duration::from_millis(1_500));
    /// ```
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            tick_period: self.tick_period.mul_f64(factor),
            renewal_period: self.renewal_period.mul_f64(factor),
            scan_period: self.scan_period.mul_f64(factor),
            lease: self.lease.mul_f64(factor),
            takeover: self.takeover.mul_f64(factor),
            newcomer_takeover: self.newcomer_takeover.mul_f64(factor),
            hold_off: self.hold_off.mul_f64(factor),
            call_timeout: self.call_timeout.mul_f64(factor),
            rebalance_period: self.rebalance_period.mul_f64(factor),
        }
    }
}
