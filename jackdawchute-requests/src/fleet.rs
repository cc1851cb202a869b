//! The minions of each service group, from the membership list.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use jackdawchute_ports::{MemberRole, MemberState, MembershipList};
use jackdawchute_types::{GroupId, MinionId};

use crate::{minion::Minion, service_group};

/// The id of the stand-in for a minion in a key group.
const KEY_GROUP_MINION: &str = "keys";
/// How many keyed requests of one key group may hold a grant at a time.
const KEY_GROUP_SLOTS: u32 = 1_000_000;

/// The minions that the membership list names for one group.
pub(crate) type ListedMinions = BTreeMap<MinionId, Minion>;

/// Groups the minions of the membership list by service and failure domain.
pub(crate) fn minions_by_group(list: &MembershipList) -> BTreeMap<GroupId, ListedMinions> {
    let mut fleet: BTreeMap<GroupId, ListedMinions> = BTreeMap::new();
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

/// Marks the minions of `fleet` that `former` has in another group at the same address: requests that
/// the owner of that group granted may run on them until `moved_until`.
pub(crate) fn mark_moved(
    fleet: &mut BTreeMap<GroupId, ListedMinions>,
    former: &BTreeMap<GroupId, ListedMinions>,
    moved_until: Instant,
) {
    let places = former.iter().flat_map(|(group, minions)| {
        let of_group = move |(id, minion)| (id, (group, minion));
        minions.iter().map(of_group)
    });
    let places: BTreeMap<&MinionId, (&GroupId, &Minion)> = places.collect();
    for (group, minions) in fleet {
        for (id, minion) in minions {
            if let Some((former_group, listed)) = places.get(id) {
                let is_moved = *former_group != group && listed.address == minion.address;
                minion.moved_until = match is_moved {
                    true => Some(moved_until),
                    false => listed.moved_until,
                };
            }
        }
    }
}

/// Returns the stand-in for the minions of a key group, which has no real address.
pub(crate) fn key_group_minions() -> ListedMinions {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let stand_in = Minion::new(unspecified, KEY_GROUP_SLOTS);
    ListedMinions::from([(KEY_GROUP_MINION.into(), stand_in)])
}
