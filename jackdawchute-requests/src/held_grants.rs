//! The grants that this instance holds as a sender of requests.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_types::{Epoch, GroupId};

use crate::{AbandonGrant, Grant, GrantId, ReleaseGrant, State};

/// The grants whose requests may run, and for each group the earliest epoch that is accepted.
///
/// Without that epoch, a grant of the previous owner could arrive after this instance reported to
/// its successor that it holds none, and both owners would grant the same slot.
#[derive(Clone, Debug, Default)]
pub struct HeldGrants {
    held: BTreeMap<(GroupId, Epoch, GrantId), HeldGrant>,
    earliest_epochs: BTreeMap<GroupId, Epoch>,
}

#[derive(Clone, Debug)]
struct HeldGrant {
    grant: Grant,
    /// When the request is known to have ended; `None` until the grant is abandoned.
    ended_at: Option<Instant>,
}

impl HeldGrants {
    /// Registers a grant; returns `false` if it must be released unsent.
    ///
    /// `elapsed` is the time from sending the call to receiving the grant.
    pub fn register(&mut self, grant: Grant, elapsed: Duration) -> bool {
        let earliest = self.earliest_epochs.get(&grant.group).copied().unwrap_or(0);
        let in_transit = elapsed.saturating_sub(grant.waited);
        if grant.epoch < earliest || in_transit > grant.transit_max {
            return false;
        }
        let key = (grant.group.clone(), grant.epoch, grant.id);
        self.held.insert(
            key,
            HeldGrant {
                grant,
                ended_at: None,
            },
        );
        true
    }

    /// Removes a grant whose request has ended.
    pub fn release(&mut self, release: &ReleaseGrant) {
        let key = (release.group.clone(), release.epoch, release.grant);
        self.held.remove(&key);
    }

    /// Keeps reporting a grant until its request is known to have ended, by what the grant says.
    pub fn abandon(&mut self, abandon: &AbandonGrant, now: Instant) {
        let key = (abandon.group.clone(), abandon.epoch, abandon.grant);
        if let Some(held) = self.held.get_mut(&key) {
            held.ended_at = Some(now + held.grant.ended_after);
        }
    }

    /// Removes the abandoned grants whose requests are known to have ended.
    pub fn expire(&mut self, now: Instant) {
        self.held
            .retain(|_, held| held.ended_at.is_none_or(|ended_at| now < ended_at));
    }

    /// Returns the held grants of `group` to its owner, and rejects grants of epochs before `epoch`
    /// from now on.
    pub fn report_to_owner(&mut self, group: &GroupId, epoch: Epoch) -> Vec<Grant> {
        let earliest = self.earliest_epochs.entry(group.clone()).or_insert(0);
        *earliest = epoch.max(*earliest);
        let first = (group.clone(), Epoch::MIN, GrantId::MIN);
        let last = (group.clone(), Epoch::MAX, GrantId::MAX);
        let held = self.held.range(first..=last);
        held.map(|(_, held)| held.grant.clone()).collect()
    }
}

impl State {
    /// Registers a grant that this instance holds; returns `false` if it must be released unsent.
    pub fn register_grant(&mut self, grant: Grant, elapsed: Duration) -> bool {
        self.held_grants.register(grant, elapsed)
    }

    /// Removes a grant that this instance held.
    pub fn release_grant(&mut self, release: &ReleaseGrant) {
        self.held_grants.release(release);
    }

    /// Abandons a grant whose response was lost; its request may still run.
    pub fn abandon_grant(&mut self, abandon: &AbandonGrant, now: Instant) {
        self.held_grants.abandon(abandon, now);
    }
}
