//! The task that owns the membership list.

use std::time::{Duration, Instant};

use jackdawchute_ports::MembershipList;
use xtra::prelude::*;

use super::{ChangedSince, LaggingList, SetAvailability, SetLag, SetMembers};

/// The task that owns a lagging list and whether it answers.
#[derive(Debug, xtra::Actor)]
pub struct MembershipTask {
    list: LaggingList,
    available: bool,
}

/// The list was set to refuse requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused;

impl MembershipTask {
    /// Creates an empty list whose changes become visible after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            list: LaggingList::new(lag),
            available: true,
        }
    }
}

impl Handler<SetMembers> for MembershipTask {
    type Return = ();

    async fn handle(&mut self, set: SetMembers, _context: &mut Context<Self>) {
        self.list.set(Instant::now(), set.0);
    }
}

impl Handler<SetLag> for MembershipTask {
    type Return = ();

    async fn handle(&mut self, set: SetLag, _context: &mut Context<Self>) {
        self.list.set_lag(set.0);
    }
}

impl Handler<SetAvailability> for MembershipTask {
    type Return = ();

    async fn handle(&mut self, set: SetAvailability, _context: &mut Context<Self>) {
        self.available = set.0;
    }
}

impl Handler<ChangedSince> for MembershipTask {
    type Return = Result<Option<MembershipList>, Refused>;

    async fn handle(
        &mut self,
        changed: ChangedSince,
        _context: &mut Context<Self>,
    ) -> Self::Return {
        if !self.available {
            return Err(Refused);
        }
        Ok(self.list.changed_since(Instant::now(), changed.0))
    }
}
