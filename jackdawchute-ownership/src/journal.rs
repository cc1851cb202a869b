//! The index of an incarnation's own journal, and what to trim from it.

use std::collections::BTreeMap;

use jackdawchute_types::{Epoch, GroupId};

use crate::{
    rows::{Segment, SegmentEntry, SegmentNumber},
    EntryKey,
};

/// How many entries beyond twice the live ones the journal may hold before it is trimmed.
const SLACK_ENTRIES: usize = 256;
/// The most live entries that one commit appends again, unless a single segment has more.
const TRIMMED_ENTRIES_MAX: usize = 512;
/// The most segments that one commit deletes.
const TRIMMED_SEGMENTS_MAX: usize = 32;

/// A group in one epoch: identifies what an owner wrote for the group.
pub type GroupEpoch = (GroupId, Epoch);

/// The last value of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LiveEntry {
    /// The value; `None` is a tombstone: the key was removed, and an inherited value is hidden.
    value: Option<String>,
    /// The segment of this journal that holds it, or `None` if only an earlier owner's journal
    /// does.
    segment: Option<SegmentNumber>,
}

/// The oldest segments, and the entries in them that are still live.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trim {
    /// The live entries, to append again.
    pub entries: Segment,
    /// The segments, to delete in the same transaction.
    pub segments: Vec<SegmentNumber>,
}

/// The index of the journal: where the last value of each key is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Journal {
    segments: BTreeMap<SegmentNumber, Vec<(GroupEpoch, EntryKey)>>,
    group_epochs: BTreeMap<GroupEpoch, BTreeMap<EntryKey, LiveEntry>>,
    entries_len: usize,
}

impl Journal {
    /// Begins a group's epoch with inherited state, which is not in this journal yet.
    pub fn inherit(&mut self, group_epoch: GroupEpoch, state: &BTreeMap<EntryKey, String>) {
        let inherited = state.iter().map(|(key, value)| {
            let live = LiveEntry {
                value: Some(value.clone()),
                segment: None,
            };
            (key.clone(), live)
        });
        self.group_epochs.insert(group_epoch, inherited.collect());
    }

    /// Returns up to `max` inherited entries that this journal does not hold yet.
    pub fn unjournaled(&self, group_epoch: &GroupEpoch, max: usize) -> Segment {
        let live = self.group_epochs.get(group_epoch).into_iter().flatten();
        live.filter(|(_, live)| live.segment.is_none())
            .take(max)
            .map(|(key, live)| entry(group_epoch, key, live))
            .collect()
    }

    /// Indexes a segment that was committed.
    ///
    /// A removed key leaves a tombstone only in group epochs that still inherit (those for which
    /// `without_inherited` is false), where it hides an inherited value. Within one journal it
    /// needs none, since the oldest segments are deleted first.
    pub fn segment_committed(
        &mut self,
        number: SegmentNumber,
        segment: Segment,
        without_inherited: impl Fn(&GroupEpoch) -> bool,
    ) {
        let mut index = Vec::with_capacity(segment.len());
        self.entries_len += segment.len();
        for entry in segment {
            let group_epoch = (entry.group, entry.epoch);
            index.push((group_epoch.clone(), entry.key.clone()));
            let is_without_inherited = without_inherited(&group_epoch);
            let live = self.group_epochs.entry(group_epoch).or_default();
            if entry.value.is_none() && is_without_inherited {
                live.remove(&entry.key);
                continue;
            }
            let value = entry.value;
            let segment = Some(number);
            live.insert(entry.key, LiveEntry { value, segment });
        }
        self.segments.insert(number, index);
    }

    /// Removes deleted segments from the index.
    pub fn segments_deleted(&mut self, numbers: &[SegmentNumber]) {
        for number in numbers {
            let index = self.segments.remove(number).unwrap_or_default();
            self.entries_len -= index.len();
        }
    }

    /// Drops the tombstones, which are not needed once the group epoch inherits nothing.
    pub fn clear_inherited(&mut self, group_epoch: &GroupEpoch) {
        if let Some(live) = self.group_epochs.get_mut(group_epoch) {
            live.retain(|_, live| live.value.is_some());
        }
    }

    /// Removes a group epoch whose entries are not needed any more.
    pub fn remove(&mut self, group_epoch: &GroupEpoch) {
        self.group_epochs.remove(group_epoch);
    }

    /// Returns the indexed group epochs.
    pub fn group_epochs(&self) -> impl Iterator<Item = &GroupEpoch> {
        self.group_epochs.keys()
    }

    /// Whether a group epoch has no live entry.
    pub fn is_empty(&self, group_epoch: &GroupEpoch) -> bool {
        let live = self.group_epochs.get(group_epoch).into_iter().flatten();
        live.filter(|(_, live)| live.value.is_some()).count() == 0
    }

    /// Returns the live state of a group epoch.
    pub fn state(&self, group_epoch: &GroupEpoch) -> Vec<(EntryKey, String)> {
        let live = self.group_epochs.get(group_epoch).into_iter().flatten();
        live.filter_map(|(key, live)| Some((key.clone(), live.value.clone()?)))
            .collect()
    }

    /// Returns how many entries all segments hold together.
    pub fn entries_len(&self) -> usize {
        self.entries_len
    }

    /// Returns what the next commit trims: nothing while the journal is within its bound, which is
    /// twice its live entries plus a fixed number.
    pub fn trim(&self) -> Trim {
        let live: usize = self.group_epochs.values().map(BTreeMap::len).sum();
        let bound = 2 * live + SLACK_ENTRIES;
        let mut trim = Trim::default();
        if self.entries_len <= bound {
            return trim;
        }
        for (number, index) in self.segments.iter().take(TRIMMED_SEGMENTS_MAX) {
            let kept = self.live_entries(*number, index);
            if !trim.segments.is_empty() && trim.entries.len() + kept.len() > TRIMMED_ENTRIES_MAX {
                break;
            }
            trim.entries.extend(kept);
            trim.segments.push(*number);
        }
        trim
    }

    /// Returns the entries of a segment that hold the last value of their keys.
    fn live_entries(&self, number: SegmentNumber, index: &[(GroupEpoch, EntryKey)]) -> Segment {
        let mut kept: BTreeMap<(&GroupEpoch, &EntryKey), SegmentEntry> = BTreeMap::new();
        for (group_epoch, key) in index {
            let live = self
                .group_epochs
                .get(group_epoch)
                .and_then(|live| live.get(key));
            if let Some(live) = live.filter(|live| live.segment == Some(number)) {
                kept.insert((group_epoch, key), entry(group_epoch, key, live));
            }
        }
        kept.into_values().collect()
    }
}

fn entry((group, epoch): &GroupEpoch, key: &EntryKey, live: &LiveEntry) -> SegmentEntry {
    SegmentEntry {
        group: group.clone(),
        epoch: *epoch,
        key: key.clone(),
        value: live.value.clone(),
    }
}
