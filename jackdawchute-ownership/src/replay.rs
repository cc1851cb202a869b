//! Rebuilds a group's state from the journals of its earlier owners.

use std::collections::BTreeMap;

use jackdawchute_ports::Scan;
use jackdawchute_types::IncarnationId;

use crate::{
    rows::{decode, journal_prefix, GroupRow, JournalSource, Segments},
    EntryKey,
};

/// The journals that were read, by the incarnation that wrote them.
pub type Journals = BTreeMap<IncarnationId, Segments>;

/// Decodes the segments of one journal from a scan; `None` if one of them does not decode.
pub fn segments(incarnation: &str, scan: &Scan) -> Option<Segments> {
    let prefix = journal_prefix(incarnation);
    scan.rows
        .iter()
        .filter_map(|row| Some((row.key.strip_prefix(&prefix)?, row.value.as_ref()?)))
        .map(|(number, value)| Some((number.parse().ok()?, decode(value)?)))
        .collect()
}

/// Returns the row of a group after `me` has claimed it.
///
/// ```
/// use jackdawchute_ownership::{replay::claimed_row, rows::GroupRow};
///
/// let old = GroupRow { owner: Some("a".into()), epoch: 3, inherited: Vec::new() };
/// let new = claimed_row(&old, "b");
/// assert_eq!((new.epoch, new.inherited[0].incarnation.as_str()), (4, "a"));
/// ```
pub fn claimed_row(old: &GroupRow, me: &str) -> GroupRow {
    let released = released_row(old);
    GroupRow {
        owner: Some(me.into()),
        epoch: old.epoch + 1,
        inherited: released.inherited,
    }
}

/// Returns the row of a group after its owner has released it; the owner is added to the earlier
/// owners, since its journal still holds the group's state.
pub fn released_row(old: &GroupRow) -> GroupRow {
    let last = old.owner.clone().map(|incarnation| JournalSource {
        incarnation,
        epoch: old.epoch,
    });
    GroupRow {
        owner: None,
        epoch: old.epoch,
        inherited: old.inherited.iter().cloned().chain(last).collect(),
    }
}

/// Returns the live state of a group: the entries that each source wrote in its epoch, where later
/// ones override earlier ones.
pub fn replay(
    group: &str,
    sources: &[JournalSource],
    journals: &Journals,
) -> BTreeMap<EntryKey, String> {
    let mut live = BTreeMap::new();
    for source in sources {
        let Some(segments) = journals.get(&source.incarnation) else {
            continue;
        };
        let entries = segments.values().flatten();
        for entry in entries.filter(|e| e.group == group && e.epoch == source.epoch) {
            match &entry.value {
                Some(value) => live.insert(entry.key.clone(), value.clone()),
                None => live.remove(&entry.key),
            };
        }
    }
    live
}
