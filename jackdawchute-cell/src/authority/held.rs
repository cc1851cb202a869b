//! The authority that a leader holds.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use jackdawchute_timer::BootTime;
use jackdawchute_types::IncarnationId;

use super::{CONFIRMED_FOR, MEMBER_FOR, PROMISED_MAX};

/// How long before a member's promise ends the next one is asked for.
const RENEW_BEFORE: Duration = Duration::from_millis(250);
/// The shortest time between two requests to one member.
const ASK_PERIOD: Duration = Duration::from_millis(150);
/// The age of the last confirmation from which promises are asked for.
const ASK_FROM_AGE: Duration = Duration::from_millis(500);

/// What a leader's authority rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthorityState {
    /// The store has confirmed the epoch recently.
    Confirmed,
    /// All members promise not to claim the epoch.
    Promised,
    /// Another instance may hold the epoch.
    Ended,
}

/// An instance that may claim the epoch and relies on being asked for a promise first.
#[derive(Clone, Debug)]
struct Member {
    incarnation: IncarnationId,
    acknowledged_at: BootTime,
    promised_until: BootTime,
    asked_at: Option<BootTime>,
}

/// The authority of one leader, from its claim on.
#[derive(Clone, Debug)]
pub struct Authority {
    confirmed_at: BootTime,
    members: BTreeMap<SocketAddr, Member>,
}

impl Authority {
    /// Returns the authority of a leader whose successful claim was sent at `claim_sent_at`.
    pub fn new(claim_sent_at: BootTime) -> Self {
        Self {
            confirmed_at: claim_sent_at,
            members: BTreeMap::new(),
        }
    }

    /// Records that a call that was sent at `sent_at` showed this leader's epoch at the store.
    ///
    /// Members whose last heartbeat is too old are dropped. Only a confirmation allows that: a
    /// leader without one can't tell a member that is gone from one beyond a partition.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_cell::authority::{Authority, CONFIRMED_FOR};
    ///
    /// let mut authority = Authority::new(Duration::from_secs(1));
    /// authority.confirm(Duration::from_secs(2));
    /// assert_eq!(authority.until(), Duration::from_secs(17)); // no member needs to promise
    /// # let address = "127.0.0.1:9".parse().expect("a valid address");
    /// authority.acknowledge(address, &"entry-1".into(), Duration::from_secs(2));
    /// assert_eq!(authority.until(), Duration::from_secs(2) + CONFIRMED_FOR);
    /// ```
    pub fn confirm(&mut self, sent_at: BootTime) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
        let confirmed_at = self.confirmed_at;
        self.members
            .retain(|_, member| member.acknowledged_at + MEMBER_FOR >= confirmed_at);
    }

    /// Records that the heartbeat of an instance is about to be acknowledged.
    ///
    /// An address belongs to one process at a time, so that a new incarnation replaces an earlier
    /// one.
    pub fn acknowledge(&mut self, address: SocketAddr, incarnation: &IncarnationId, now: BootTime) {
        self.member(address, incarnation, now).acknowledged_at = now;
    }

    /// Records that an instance will not claim the epoch any more, as it is shutting down.
    pub fn withdraw(&mut self, address: SocketAddr) {
        self.members.remove(&address);
    }

    /// Records a promise for `promised_for`, which counts from when it was asked for.
    pub fn promised(
        &mut self,
        address: SocketAddr,
        incarnation: &IncarnationId,
        asked_at: BootTime,
        promised_for: Duration,
    ) {
        let member = self.member(address, incarnation, asked_at);
        member.promised_until = member.promised_until.max(asked_at + promised_for);
    }

    fn member(
        &mut self,
        address: SocketAddr,
        incarnation: &IncarnationId,
        now: BootTime,
    ) -> &mut Member {
        let new = || Member {
            incarnation: incarnation.clone(),
            acknowledged_at: now,
            promised_until: Duration::ZERO,
            asked_at: None,
        };
        let member = self.members.entry(address).or_insert_with(new);
        if member.incarnation != *incarnation {
            *member = new();
        }
        member
    }

    /// Returns when the last call was sent that confirmed the epoch at the store.
    pub fn confirmed_at(&self) -> BootTime {
        self.confirmed_at
    }

    /// Returns until when the leader may act.
    pub fn until(&self) -> BootTime {
        let promised_max = self.confirmed_at + PROMISED_MAX;
        let promises = self.members.values().map(|member| member.promised_until);
        let promised = promises.min().unwrap_or(promised_max).min(promised_max);
        promised.max(self.confirmed_at + CONFIRMED_FOR)
    }

    /// Returns what the authority rests on.
    pub fn state(&self, now: BootTime) -> AuthorityState {
        if now < self.confirmed_at + CONFIRMED_FOR {
            AuthorityState::Confirmed
        } else if now < self.until() {
            AuthorityState::Promised
        } else {
            AuthorityState::Ended
        }
    }

    /// Returns the members to ask for a promise now, and records that they are asked.
    pub fn take_promises_due(&mut self, now: BootTime) -> Vec<SocketAddr> {
        if now < self.confirmed_at + ASK_FROM_AGE {
            return Vec::new();
        }
        let due = self.members.iter_mut().filter(|(_, member)| {
            let asked_recently = member.asked_at.is_some_and(|at| now < at + ASK_PERIOD);
            !asked_recently && member.promised_until < now + RENEW_BEFORE
        });
        due.map(|(address, member)| {
            member.asked_at = Some(now);
            *address
        })
        .collect()
    }

    /// Returns the members whose promise is missing.
    pub fn without_promise(&self, now: BootTime) -> usize {
        let is_missing = |member: &&Member| member.promised_until <= now;
        self.members.values().filter(is_missing).count()
    }
}
