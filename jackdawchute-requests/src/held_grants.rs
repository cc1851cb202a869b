//! What this instance holds of the grants that owners gave it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_types::{Epoch, GroupId};

use crate::{AbandonGrant, Grant, GrantId, ReleaseGrant, State};

/// The grants whose requests may run, and the earliest epoch that may still be used.
///
/// Without the epoch a grant of a former owner could arrive after the new owner was told that
/// nothing is held, and both would give the same slot away.
#[derive(Clone, Debug, Default)]
pub struct HeldGrants {
    held: BTreeMap<(GroupId, Epoch, GrantId), HeldGrant>,
    epochs: BTreeMap<GroupId, Epoch>,
}

#[derive(Clone, Debug)]
struct HeldGrant {
    grant: Grant,
    /// When the request has surely ended, once its answer was given up.
    ends: Option<Instant>,
}

impl HeldGrants {
    /// Registers a grant; `false` if it must be given back unsent.
    ///
    /// `elapsed` is the time from the sending of the call to the arrival of the grant.
    pub fn register(&mut self, grant: Grant, elapsed: Duration) -> bool {
        let earliest = self.epochs.get(&grant.group).copied().unwrap_or(0);
        let in_transit = elapsed.saturating_sub(grant.waited);
        if grant.epoch < earliest || in_transit > grant.transit_max {
            return false;
        }
        let key = (grant.group.clone(), grant.epoch, grant.id);
        self.held.insert(key, HeldGrant { grant, ends: None });
        true
    }

    /// Forgets a grant whose request is done.
    pub fn release(&mut self, release: &ReleaseGrant) {
        let key = (release.group.clone(), release.epoch, release.grant);
        self.held.remove(&key);
    }

    /// Keeps telling of a grant until `ends`, when its request has surely ended.
    pub fn abandon(&mut self, abandon: &AbandonGrant, ends: Instant) {
        let key = (abandon.group.clone(), abandon.epoch, abandon.grant);
        if let Some(held) = self.held.get_mut(&key) {
            held.ends = Some(ends);
        }
    }

    /// Forgets the requests that have surely ended.
    pub fn expire(&mut self, now: Instant) {
        self.held
            .retain(|_, held| held.ends.is_none_or(|ends| now < ends));
    }

    /// Tells the new owner of `group` what is held, and bars grants of epochs before `epoch`.
    pub fn report_to_owner(&mut self, group: &GroupId, epoch: Epoch) -> Vec<Grant> {
        let earliest = self.epochs.entry(group.clone()).or_insert(0);
        *earliest = epoch.max(*earliest);
        let first = (group.clone(), Epoch::MIN, GrantId::MIN);
        let last = (group.clone(), Epoch::MAX, GrantId::MAX);
        let held = self.held.range(first..=last);
        held.map(|(_, held)| held.grant.clone()).collect()
    }
}

impl State {
    /// Registers a grant that this instance holds; `false` if it must be given back unsent.
    pub fn register_grant(&mut self, grant: Grant, elapsed: Duration) -> bool {
        self.held_grants.register(grant, elapsed)
    }

    /// Forgets a grant that this instance held.
    pub fn release_grant(&mut self, release: &ReleaseGrant) {
        self.held_grants.release(release);
    }

    /// Gives up on the answer of a grant that this instance held; its request may still run.
    pub fn abandon_grant(&mut self, abandon: &AbandonGrant, now: Instant) {
        let ends = now + self.settings.grants.ended_after();
        self.held_grants.abandon(abandon, ends);
    }
}
