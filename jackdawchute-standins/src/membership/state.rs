//! A list whose changes show only after a lag.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use jackdawchute_ports::{Member, MembershipList};

/// The list as it shows, and the changes that do not show yet.
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
    shown: MembershipList,
    pending: VecDeque<(Instant, Vec<Member>)>,
    lag: Duration,
}

impl LaggingList {
    /// An empty list whose changes show after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Sets the lag of later changes.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Replaces the members; this shows after the lag.
    pub fn set(&mut self, now: Instant, mut members: Vec<Member>) {
        members.sort_by(|left, right| left.id.cmp(&right.id));
        self.pending.push_back((now + self.lag, members));
    }

    /// The list as it shows, if it is newer than `known_version`.
    pub fn changed_since(&mut self, now: Instant, known_version: u64) -> Option<MembershipList> {
        self.advance(now);
        (self.shown.version > known_version).then(|| self.shown.clone())
    }

    fn advance(&mut self, now: Instant) {
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, members)) = self.pending.pop_front() {
                self.shown.version += 1;
                self.shown.members = members;
            }
        }
    }
}
