//! What a leader knows of the authority of its predecessors.

use std::time::{Duration, Instant};

use jackdawchute_types::Epoch;

use super::{ACKNOWLEDGED_FOR, CLOCK_RATE_MIN, CONFIRMED_FOR, PROMISED_FOR, PROMISED_MAX};

/// What an instance knows from the leader that acknowledged it last.
///
/// An instance that tells it to the leader of a later epoch makes no further promise to the earlier
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledged {
    /// The epoch of that leader.
    pub epoch: Epoch,
    /// When the acknowledged heartbeat was sent.
    pub sent_at: Instant,
    /// Until when leaders before that epoch may have had authority.
    pub earlier_until: Instant,
    /// Until when the instance has promised that leader not to claim the epoch.
    pub promised_until: Instant,
}

impl Acknowledged {
    /// Returns whether the leader counted the instance as a member when an epoch was claimed.
    fn counts(&self, claimed_at: Instant) -> bool {
        claimed_at <= self.sent_at + ACKNOWLEDGED_FOR
    }

    /// Returns until when the leader of the acknowledged epoch may have authority, if a later epoch
    /// was claimed by `claimed_at`.
    fn leader_until(&self, claimed_at: Instant) -> Instant {
        let promised = self.promised_until + (on_other_clocks(PROMISED_FOR) - PROMISED_FOR);
        promised.max(claimed_at + on_other_clocks(CONFIRMED_FOR))
    }
}

/// The leader that a claim replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replaced {
    /// Its epoch.
    pub epoch: Epoch,
    /// Whether it had saved that no leader before it had authority any more.
    pub settled: bool,
}

/// Until when the leaders before an epoch may have authority, as far as the epoch's leader knows.
#[derive(Clone, Copy, Debug)]
pub struct EarlierLeaders {
    replaced: Option<Replaced>,
    claimed_at: Instant,
    /// Until when the replaced leader may have authority.
    replaced_until: Instant,
    /// Until when the leaders before the replaced one may have authority.
    others_until: Instant,
}

impl EarlierLeaders {
    /// Returns what is known after a claim whose answer was received at `claimed_at`.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_cell::authority::{EarlierLeaders, Replaced, PROMISED_MAX};
    ///
    /// let now = Instant::now();
    /// assert_eq!(EarlierLeaders::new(None, now).until(), now);
    /// let replaced = Replaced { epoch: 1, settled: true };
    /// assert!(EarlierLeaders::new(Some(replaced), now).until() >= now + PROMISED_MAX);
    /// ```
    pub fn new(replaced: Option<Replaced>, claimed_at: Instant) -> Self {
        let unknown = claimed_at + on_other_clocks(PROMISED_MAX);
        let settled = replaced.is_none_or(|replaced| replaced.settled);
        Self {
            replaced,
            claimed_at,
            replaced_until: replaced.map_or(claimed_at, |_| unknown),
            others_until: if settled { claimed_at } else { unknown },
        }
    }

    /// Records what an instance knows, this one or one that sent a heartbeat.
    pub fn testified(&mut self, by: &Acknowledged) {
        let Some(replaced) = self.replaced.filter(|_| by.counts(self.claimed_at)) else {
            return;
        };
        let leader_until = by.leader_until(self.claimed_at);
        if by.epoch == replaced.epoch {
            self.replaced_until = self.replaced_until.min(leader_until);
            self.others_until = self.others_until.min(by.earlier_until);
        } else if by.epoch + 1 == replaced.epoch {
            let others_until = leader_until.max(by.earlier_until);
            self.others_until = self.others_until.min(others_until);
        }
    }

    /// Records that the replaced leader has stopped by `at`: its process has ended, or it has
    /// confirmed that it knows of its successor.
    pub fn replaced_stopped(&mut self, at: Instant) {
        self.replaced_until = self.replaced_until.min(at);
    }

    /// Returns until when any earlier leader may have authority.
    pub fn until(&self) -> Instant {
        self.replaced_until.max(self.others_until)
    }

    /// Returns for how long any earlier leader may still have authority.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.until().saturating_duration_since(now)
    }
}

/// Returns the longest time on this instance's clock that another's clock may take for `duration`.
fn on_other_clocks(duration: Duration) -> Duration {
    duration.div_f64(CLOCK_RATE_MIN)
}
