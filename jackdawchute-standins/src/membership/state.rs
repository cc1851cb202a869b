//! A membership list whose changes become visible only after a lag.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use jackdawchute_ports::{Member, MembershipList};

/// The visible list, and the changes that become visible later.
///
/// ```
/// use std::time::{Duration, Instant};
/// use jackdawchute_standins::membership::LaggingList;
///
/// let start = Instant::now();
/// let mut list = LaggingList::new(Duration::from_secs(2));
/// list.set(start, Vec::new());
/// assert!(list.changed_since(start + Duration::from_secs(1), 0).is_none());
/// assert!(list.changed_since(start + Duration::from_secs(2), 0).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct LaggingList {
    visible: MembershipList,
    pending: VecDeque<(Instant, Vec<Member>)>,
    lag: Duration,
}

impl LaggingList {
    /// Creates an empty list whose changes become visible after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Sets the lag of later changes, but not of pending ones.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Replaces the members; the change becomes visible after the lag.
    pub fn set(&mut self, now: Instant, mut members: Vec<Member>) {
        members.sort_by(|left, right| left.id.cmp(&right.id));
        self.pending.push_back((now + self.lag, members));
    }

    /// Returns the visible list if it is newer than `known_version`.
    pub fn changed_since(&mut self, now: Instant, known_version: u64) -> Option<MembershipList> {
        self.advance(now);
        (self.visible.version > known_version).then(|| self.visible.clone())
    }

    fn advance(&mut self, now: Instant) {
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, members)) = self.pending.pop_front() {
                self.visible.version += 1;
                self.visible.members = members;
            }
        }
    }
}
