//! What this instance holds of the grants that owners gave it.

use std::{collections::BTreeMap, time::Duration};

use jackdawchute_types::{Epoch, GroupId};

use crate::{Grant, GrantId, Returned};

/// The grants whose requests are not done, and the earliest epoch that may still be used.
///
/// Without the epoch a grant of a former owner could arrive after the new owner was told that
/// nothing is held, and both would give the same slot away.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    held: BTreeMap<(GroupId, Epoch, GrantId), Grant>,
    epochs: BTreeMap<GroupId, Epoch>,
}

impl Holder {
    /// Registers a grant; `false` if it must be given back unsent.
    ///
    /// `elapsed` is the time from the sending of the call to the arrival of the grant.
    pub fn hold(&mut self, grant: Grant, elapsed: Duration) -> bool {
        let earliest = self.epochs.get(&grant.group).copied().unwrap_or(0);
        let in_transit = elapsed.saturating_sub(grant.waited);
        if grant.epoch < earliest || in_transit > grant.transit_max {
            return false;
        }
        self.held
            .insert((grant.group.clone(), grant.epoch, grant.id), grant);
        true
    }

    /// Forgets a grant whose request is done.
    pub fn give_back(&mut self, returned: &Returned) {
        self.held
            .remove(&(returned.group.clone(), returned.epoch, returned.grant));
    }

    /// Tells the new owner of `group` what is held, and bars grants of epochs before `epoch`.
    pub fn tell(&mut self, group: &GroupId, epoch: Epoch) -> Vec<Grant> {
        let earliest = self.epochs.entry(group.clone()).or_insert(0);
        *earliest = epoch.max(*earliest);
        let first = (group.clone(), Epoch::MIN, GrantId::MIN);
        let last = (group.clone(), Epoch::MAX, GrantId::MAX);
        self.held
            .range(first..=last)
            .map(|(_, grant)| grant.clone())
            .collect()
    }
}
