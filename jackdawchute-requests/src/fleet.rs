//! The minions of each service group, from the membership list.

use std::collections::BTreeMap;

use jackdawchute_platform::{MemberRole, MemberState, MembershipList};
use jackdawchute_types::{GroupId, MinionId};

use crate::{minion::Minion, service_group};

/// The listed minions of one group.
pub(crate) type Listed = BTreeMap<MinionId, Minion>;

/// Sorts the minions of a list by their group.
pub(crate) fn minions_by_group(list: &MembershipList) -> BTreeMap<GroupId, Listed> {
    let mut fleet: BTreeMap<GroupId, Listed> = BTreeMap::new();
    for member in &list.members {
        let MemberRole::Minion { service, slots, .. } = &member.role else {
            continue;
        };
        let mut minion = Minion::new(member.address, *slots);
        minion.live = member.state == MemberState::Live;
        fleet
            .entry(service_group(service, &member.failure_domain))
            .or_default()
            .insert(member.id.clone(), minion);
    }
    fleet
}
