//! The minions of each service group, from the membership list.

use std::{collections::BTreeMap, net::SocketAddr};

use jackdawchute_ports::{MemberRole, MemberState, MembershipList};
use jackdawchute_types::{GroupId, MinionId};

use crate::{minion::Minion, service_group};

/// Names the place of a key group among its grants.
const KEY_PLACE: &str = "keys";
/// The keys that one key group may have under way at a time.
const KEYS_UNDER_WAY_MAX: u32 = 1_000_000;

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

/// What stands in for the minions of a key group: one place at no address.
pub(crate) fn key_place() -> Listed {
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    let place = Minion::new(nowhere, KEYS_UNDER_WAY_MAX);
    Listed::from([(KEY_PLACE.into(), place)])
}
