//! The promises of an instance not to claim the epoch, and its claims.

use std::time::{Duration, Instant};

use jackdawchute_types::Epoch;

use super::PROMISED_FOR;

/// Whether an instance may promise, and when it may claim.
///
/// A claim whose answer was lost may take effect for as long as the leader row is unchanged, so that
/// nothing can be promised until then.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClaimState {
    promised_until: Option<Instant>,
    /// The highest epoch that this incarnation has read at the store.
    read_epoch: Option<Epoch>,
    /// Whether a claim is about to be sent or has been sent without an answer so far.
    under_way: bool,
    /// Whether an earlier claim got no answer, and the leader row has not changed since.
    unresolved: bool,
    /// Whether the leader row has changed since the claim that is under way was begun.
    overtaken: bool,
}

impl ClaimState {
    /// Records that this incarnation has read an epoch at the store, not heard of it from a peer.
    pub fn epoch_read(&mut self, epoch: Epoch) {
        self.read_epoch = self.read_epoch.max(Some(epoch));
    }

    /// Promises the leader of `epoch` not to claim the next one, and returns for how long; `None` if
    /// a claim may take effect, or if the store has not shown this epoch as the last one.
    ///
    /// An earlier incarnation may have told the leader of a later epoch that it promises nothing to
    /// this one. What was read at the store since shows that there was no such leader before.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use jackdawchute_cell::authority::{ClaimState, PROMISED_FOR};
    ///
    /// let now = Instant::now();
    /// let mut state = ClaimState::default();
    /// assert_eq!(state.promise(3, now), None);
    /// state.epoch_read(3);
    /// assert_eq!(state.promise(3, now), Some(PROMISED_FOR));
    /// assert_eq!(state.begin_claim(now), PROMISED_FOR);
    /// assert_eq!(state.promise(3, now), None);
    /// ```
    pub fn promise(&mut self, epoch: Epoch, now: Instant) -> Option<Duration> {
        if self.may_take_effect() || self.read_epoch != Some(epoch) {
            return None;
        }
        self.promised_until = Some(now + PROMISED_FOR);
        Some(PROMISED_FOR)
    }

    /// Begins a claim and returns how long it must wait for the last promise to end.
    pub fn begin_claim(&mut self, now: Instant) -> Duration {
        self.under_way = true;
        self.overtaken = false;
        self.promised_until(now).saturating_duration_since(now)
    }

    /// Ends a claim; `answered` tells that the store told its outcome, and `sent` that it may have
    /// arrived.
    pub fn end_claim(&mut self, sent: bool, answered: bool) {
        self.under_way = false;
        if answered || self.overtaken {
            self.unresolved = false;
        } else if sent {
            self.unresolved = true;
        }
    }

    /// Records that the leader row has changed, so that no earlier claim can take effect.
    pub fn row_changed(&mut self) {
        self.unresolved = false;
        self.overtaken = true;
    }

    /// Returns whether a claim of this instance may still take effect.
    pub fn may_take_effect(&self) -> bool {
        self.under_way || self.unresolved
    }

    /// Returns until when this instance has promised not to claim the epoch; `now` if it has not.
    pub fn promised_until(&self, now: Instant) -> Instant {
        self.promised_until.unwrap_or(now).max(now)
    }
}
