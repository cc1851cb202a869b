//! Decides when a leader offers its epoch to another instance.
//!
//! A takeover stops scheduling for a while, and the successor gets the same load. It helps where
//! the leader's machine is slow, and only makes matters worse where the load is too high for any
//! instance: each successor then lags too, with the backlog of the takeover on top.

use std::time::{Duration, Instant};

use crate::settings::{
    LAG_MAX, LAG_OFFER_PAUSE, LAG_OFFER_PAUSE_DOUBLINGS_MAX, LEADER_STORE_OUTAGE_MAX, OFFER_PAUSE,
    STRONGER_PERCENT, TAKEOVER_COST_BASE, TAKEOVER_COST_PER_LAG, TAKEOVER_COST_PER_WORKER,
};

/// What decides which of two instances should lead.
#[derive(Clone, Copy, Debug)]
pub struct LeaderFitness {
    /// The instance's processor, in thousandths of a core.
    pub processor_millicores: u64,
    /// How late the instance handles its ticks, smoothed.
    pub lag: Duration,
}

/// Why a leader offers its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferReason {
    /// The other instance has much more processor.
    Stronger,
    /// The leader lags, and the other instance does not.
    LagsLess,
}

/// The offers of one leader, from the beginning of its epoch.
#[derive(Clone, Debug)]
pub struct HandoverPolicy {
    began_at: Instant,
    /// How many takeovers in a row, the one of this epoch included, happened because of lag.
    lag_takeovers: u32,
    offered_at: Option<Instant>,
    /// Since when the leader lags too much; `None` if it does not.
    lagging_since: Option<Instant>,
}

impl HandoverPolicy {
    /// Returns the policy of a leader whose epoch begins now, after `lag_takeovers` takeovers in a
    /// row because of lag.
    pub fn new(lag_takeovers: u32, now: Instant) -> Self {
        Self {
            began_at: now,
            lag_takeovers,
            offered_at: None,
            lagging_since: None,
        }
    }

    /// Returns the number of takeovers in a row because of lag that led to this epoch.
    pub fn lag_takeovers(&self) -> u32 {
        self.lag_takeovers
    }

    /// Records the leader's smoothed lag in a cell with this many workers; to be called at each
    /// tick. A larger cell bears more lag, since a takeover stops it for longer.
    ///
    /// `excused` tells that any leader would lag now, as while it gets its workers' first answers.
    pub fn record_lag(&mut self, lag: Duration, workers: usize, excused: bool, now: Instant) {
        let lag_max = LAG_MAX.max(takeover_cost(workers) / TAKEOVER_COST_PER_LAG);
        if lag < lag_max || excused {
            self.lagging_since = None;
        } else {
            self.lagging_since.get_or_insert(now);
        }
    }

    /// Returns whether to offer the epoch to `other`, and why; an offer is recorded.
    ///
    /// A lagging leader offers it once it has lagged for as long as a takeover takes. An epoch that
    /// began because an earlier leader lagged is kept much longer: the load is then the likely
    /// cause.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use jackdawchute_cell::{HandoverPolicy, LeaderFitness, OfferReason};
    ///
    /// let now = Instant::now();
    /// let mut policy = HandoverPolicy::new(0, now);
    /// let own = LeaderFitness { processor_millicores: 250, lag: Duration::ZERO };
    /// let other = LeaderFitness { processor_millicores: 500, ..own };
    /// assert_eq!(policy.offer(&own, &other, 48, now), Some(OfferReason::Stronger));
    /// ```
    pub fn offer(
        &mut self,
        own: &LeaderFitness,
        other: &LeaderFitness,
        workers: usize,
        now: Instant,
    ) -> Option<OfferReason> {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self.offered_at.is_some_and(|at| since(at) < OFFER_PAUSE) {
            return None;
        }
        let much_stronger =
            other.processor_millicores * 100 >= own.processor_millicores * STRONGER_PERCENT;
        let as_strong = other.processor_millicores >= own.processor_millicores;
        let lagged_for = self.lagging_since.map_or(Duration::ZERO, since);
        let may_offer_for_lag = lagged_for >= takeover_cost(workers)
            && since(self.began_at) >= self.pause_after_lag_takeovers();
        let reason = if much_stronger && other.lag < LAG_MAX {
            OfferReason::Stronger
        } else if as_strong && may_offer_for_lag && other.lag * 2 <= own.lag {
            OfferReason::LagsLess
        } else {
            return None;
        };
        self.offered_at = Some(now);
        Some(reason)
    }

    fn pause_after_lag_takeovers(&self) -> Duration {
        match self.lag_takeovers.checked_sub(1) {
            None => Duration::ZERO,
            Some(doublings) => {
                LAG_OFFER_PAUSE * (1 << doublings.min(LAG_OFFER_PAUSE_DOUBLINGS_MAX))
            }
        }
    }
}

/// Returns for how long a takeover is expected to stop the scheduling of a cell.
fn takeover_cost(workers: usize) -> Duration {
    let workers = u32::try_from(workers).unwrap_or(u32::MAX);
    TAKEOVER_COST_BASE + TAKEOVER_COST_PER_WORKER.saturating_mul(workers)
}

/// Returns whether another instance should claim the epoch because the leader has saved nothing for
/// `leader_outage`; `answered_for` tells for how long the store has answered that instance again, if
/// it ever failed to.
///
/// After an outage for all, the store is back for one instance a little before it is for another, and
/// a takeover would only take time.
///
/// ```
/// use std::time::Duration;
/// use jackdawchute_cell::is_outage_of_leader_alone;
///
/// let outage = Duration::from_secs(2);
/// assert!(is_outage_of_leader_alone(outage, None));
/// assert!(!is_outage_of_leader_alone(outage, Some(Duration::from_millis(100))));
/// assert!(is_outage_of_leader_alone(outage, Some(Duration::from_secs(1))));
/// ```
pub fn is_outage_of_leader_alone(leader_outage: Duration, answered_for: Option<Duration>) -> bool {
    let is_lasting = |duration| duration > LEADER_STORE_OUTAGE_MAX;
    is_lasting(leader_outage) && answered_for.is_none_or(is_lasting)
}
