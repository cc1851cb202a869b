//! Pauses of this process, after which its known lease state may be out of date.

use std::time::{Duration, Instant};

use jackdawchute_ownership::LeaseState;

/// The shortest time without a tick that counts as a pause. What relies on the lease state waits
/// until this time has passed again.
const PAUSE_MIN: Duration = Duration::from_secs(1);

/// The ticks of this process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ticks {
    /// When the last tick was handled.
    last: Option<Instant>,
    /// When the first tick after the last pause was handled.
    resumed_at: Option<Instant>,
}

impl Ticks {
    /// Records the time of a tick, and of the end of a pause if there was one before it.
    pub fn record(&mut self, now: Instant) {
        let paused = |at: Instant| now.saturating_duration_since(at) >= PAUSE_MIN;
        if self.last.is_some_and(paused) {
            self.resumed_at = Some(now);
        }
        self.last = Some(now);
    }

    /// Returns whether no successor can exist: this incarnation can't have been fenced, as the lease
    /// state says and as no pause kept a later one away.
    pub fn is_sole_owner(&self, lease_state: LeaseState, now: Instant) -> bool {
        let leased = matches!(lease_state, LeaseState::Confirmed | LeaseState::StoreDown);
        leased && !self.was_paused(now)
    }

    /// Returns whether this process is or was paused so recently that a change of its lease state
    /// may not have arrived yet.
    fn was_paused(&self, now: Instant) -> bool {
        let is_paused = |at: Instant| now.saturating_duration_since(at) >= PAUSE_MIN;
        let just_resumed = |at: Instant| now.saturating_duration_since(at) < PAUSE_MIN;
        self.last.is_some_and(is_paused) || self.resumed_at.is_some_and(just_resumed)
    }
}
