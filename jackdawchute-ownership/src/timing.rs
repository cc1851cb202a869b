//! The periods, timeouts and limits of ownership.

use std::time::Duration;

/// How often an incarnation renews its row, and when others may fence it.
///
/// `lease` is shorter than `takeover`, so that a holder that has lost the table knows it before any
/// successor exists. Only dispatch that is not journaled first relies on that; the journal does
/// not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time between two checks for due work.
    pub tick_period: Duration,
    /// The longest time between two commits of an idle instance.
    pub renewal_period: Duration,
    /// The time between two scans for changed rows.
    pub scan_period: Duration,
    /// How long a holder may act after a confirmed renewal, counted from when the renewal was sent.
    pub lease: Duration,
    /// How long a row must be unchanged before a challenger that the holder knows may fence it.
    pub takeover: Duration,
    /// How long a row must be unchanged before a challenger that the holder cannot know of yet may
    /// fence it.
    pub newcomer_takeover: Duration,
    /// How long a peer that does not reach the table promises not to fence a holder.
    pub hold_off: Duration,
    /// How long a call to the table may take before its answer counts as lost; calls to peers,
    /// scans and reads of journals get a multiple of it.
    pub call_timeout: Duration,
    /// The time between two releases of a group for balance.
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
    /// Returns these timings with each one multiplied by `factor`, for tests and slow networks.
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
