//! Assigns groups to incarnations evenly, by rendezvous hashing with bounded loads.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
};

use jackdawchute_types::{GroupId, IncarnationId};
use twox_hash::XxHash64;

/// The owner of each group, or `None` if no live incarnation owns it.
pub type Owners = BTreeMap<GroupId, Option<IncarnationId>>;

/// Returns the rendezvous weight of an incarnation for a group; every instance computes the same.
pub fn weight(group: &str, incarnation: &str) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(group.as_bytes());
    hasher.write_u8(0);
    hasher.write(incarnation.as_bytes());
    hasher.finish()
}

/// Returns the candidate with the highest weight for a key.
pub fn preferred<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a IncarnationId>,
) -> Option<&'a IncarnationId> {
    candidates.into_iter().max_by_key(|id| weight(key, id))
}

/// Returns the groups without an owner that are assigned to `me`.
///
/// Owned groups stay with their owners. The others are assigned in the order of their ids, each to
/// the incarnation with the highest weight among those below their share.
///
/// ```
/// use std::collections::BTreeSet;
/// use jackdawchute_ownership::assign::{claims, Owners};
///
/// let groups: Owners = ["g1", "g2"].map(|id| (id.into(), None)).into();
/// let live = BTreeSet::from(["a".into(), "b".into()]);
/// assert_eq!(claims(&groups, &live, "a").len(), 1);
/// ```
pub fn claims(groups: &Owners, live: &BTreeSet<IncarnationId>, me: &str) -> Vec<GroupId> {
    let mut loads = loads(groups, live);
    let unowned = groups.iter().filter(|(_, owner)| owner.is_none());
    let mut mine = Vec::new();
    for (group, _) in unowned {
        let Some(owner) = choose(group, &loads, groups.len()) else {
            continue;
        };
        if owner == me {
            mine.push(group.clone());
        }
        *loads.entry(owner).or_default() += 1;
    }
    mine
}

/// Returns the group that `me` should release for balance, if it has more than its share: the owned
/// one with the lowest weight.
pub fn excess(groups: &Owners, live: &BTreeSet<IncarnationId>, me: &str) -> Option<GroupId> {
    let loads = loads(groups, live);
    let mine = *loads.get(me)?;
    let floor = groups.len() / loads.len();
    let ceiling = groups.len().div_ceil(loads.len());
    let someone_is_short = loads.values().any(|load| *load < floor);
    let above = mine > ceiling || (mine > floor && someone_is_short);
    let owned = groups
        .iter()
        .filter(|(_, owner)| owner.as_deref() == Some(me));
    let least_preferred = owned.min_by_key(|(group, _)| weight(group, me));
    least_preferred
        .filter(|_| above)
        .map(|(group, _)| group.clone())
}

/// Counts the groups that each live incarnation owns.
fn loads(groups: &Owners, live: &BTreeSet<IncarnationId>) -> BTreeMap<IncarnationId, usize> {
    let mut loads: BTreeMap<_, _> = live.iter().map(|id| (id.clone(), 0)).collect();
    for owner in groups.values().flatten() {
        if let Some(load) = loads.get_mut(owner) {
            *load += 1;
        }
    }
    loads
}

/// Picks the incarnation for one group: the one with the highest weight among those below the load
/// limit.
fn choose(
    group: &str,
    loads: &BTreeMap<IncarnationId, usize>,
    groups_len: usize,
) -> Option<IncarnationId> {
    let floor = groups_len.checked_div(loads.len())?;
    let least = *loads.values().min()?;
    let limit = if least < floor { floor } else { least + 1 };
    let below = loads.iter().filter(|(_, load)| **load < limit);
    preferred(group, below.map(|(id, _)| id)).cloned()
}
