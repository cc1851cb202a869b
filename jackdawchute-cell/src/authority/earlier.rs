//! What a leader knows of the authority of its predecessors.

use std::{
    cmp::Ordering,
    collections::BTreeMap,
    time::{Duration, Instant},
};

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

/// The most leaders that a claim names; with more, those before the replaced one count as unknown.
const NAMED_MAX: usize = 16;

/// The leader that a claim replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replaced {
    /// Its epoch.
    pub epoch: Epoch,
    /// The epochs before it whose leaders may still have authority: none once it has saved that, else
    /// those that its own claim named. `None` if they are unknown.
    pub earlier: Option<Vec<Epoch>>,
}

impl Replaced {
    /// Returns the epochs that the claim names: no leader of another one before it has authority then.
    ///
    /// ```
    /// use jackdawchute_cell::authority::Replaced;
    ///
    /// let settled = Replaced { epoch: 4, earlier: Some(Vec::new()) };
    /// assert_eq!(settled.named_by_claim(), Some(vec![4]));
    /// let unsettled = Replaced { epoch: 5, earlier: settled.named_by_claim() };
    /// assert_eq!(unsettled.named_by_claim(), Some(vec![5, 4]));
    /// ```
    pub fn named_by_claim(&self) -> Option<Vec<Epoch>> {
        let earlier = self.earlier.as_ref()?;
        let named = std::iter::once(&self.epoch).chain(earlier);
        (earlier.len() < NAMED_MAX).then(|| named.copied().collect())
    }
}

/// Until when the leaders before an epoch may have authority, as far as the epoch's leader knows.
#[derive(Clone, Debug)]
pub struct EarlierLeaders {
    claimed_at: Instant,
    /// Until when the replaced leader, and those before it that are named, may have authority.
    named_until: BTreeMap<Epoch, Instant>,
    /// Until when other earlier leaders may have authority.
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
    /// let replaced = Replaced { epoch: 1, earlier: Some(Vec::new()) };
    /// assert!(EarlierLeaders::new(Some(replaced), now).until() >= now + PROMISED_MAX);
    /// ```
    pub fn new(replaced: Option<Replaced>, claimed_at: Instant) -> Self {
        let unknown = claimed_at + on_other_clocks(PROMISED_MAX);
        let all_named = replaced.as_ref().is_none_or(|it| it.earlier.is_some());
        let epochs = replaced
            .into_iter()
            .flat_map(|it| it.earlier.into_iter().flatten().chain([it.epoch]));
        Self {
            claimed_at,
            named_until: epochs.map(|epoch| (epoch, unknown)).collect(),
            others_until: if all_named { claimed_at } else { unknown },
        }
    }

    /// Records what an instance knows, this one or one that sent a heartbeat.
    ///
    /// The leader that acknowledged it needed its promise from its last confirmation on, which was
    /// before the claim of the next epoch, whichever claims came after that.
    pub fn testified(&mut self, by: &Acknowledged) {
        let named = self.named_until.keys();
        let (first, last) = (named.clone().next(), named.clone().next_back());
        let (Some(&first), Some(&last)) = (first, last) else {
            return;
        };
        if !by.counts(self.claimed_at) || by.epoch > last {
            return;
        }
        let leader_until = by.leader_until(self.claimed_at);
        for (epoch, until) in &mut self.named_until {
            *until = match epoch.cmp(&by.epoch) {
                Ordering::Less => by.earlier_until.min(*until),
                Ordering::Equal => leader_until.min(*until),
                Ordering::Greater => *until,
            };
        }
        if by.epoch >= first {
            self.others_until = self.others_until.min(by.earlier_until);
        } else if by.epoch + 1 == first {
            let others_until = leader_until.max(by.earlier_until);
            self.others_until = self.others_until.min(others_until);
        }
    }

    /// Records that a leader has stopped by `at`: its process has ended, or it has confirmed that it
    /// knows of a successor.
    pub fn stopped(&mut self, epoch: Epoch, at: Instant) {
        if let Some(until) = self.named_until.get_mut(&epoch) {
            *until = at.min(*until);
        }
    }

    /// Returns until when any earlier leader may have authority.
    pub fn until(&self) -> Instant {
        let named = self.named_until.values().copied();
        named.fold(self.others_until, Instant::max)
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
