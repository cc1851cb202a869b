//! The content of one commit, before it is encoded.

use jackdawchute_ports::{Commit, Condition, RowKey, RowVersion, Write, WriteId};
use jackdawchute_types::{GroupId, IncarnationId};

use crate::{
    effect::AppendId,
    rows::{
        encode, group_key, incarnation_key, segment_key, GroupRow, IncarnationRow, Segment,
        SegmentNumber,
    },
    JournalEntry,
};

/// An append that waits for a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedAppend {
    /// The append to answer.
    pub append: AppendId,
    /// The entries to journal.
    pub entries: Vec<JournalEntry>,
}

/// Why a group's row changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupChange {
    /// This incarnation becomes the owner.
    Claim,
    /// This incarnation releases the group.
    Release,
    /// The owner's journal holds all of the group's state now, so that the row lists no earlier
    /// owners.
    ClearInherited,
}

/// A write of a group's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupWrite {
    /// The group whose row is written.
    pub group: GroupId,
    /// The version that the row must still have; 0 for no row.
    pub expected_version: RowVersion,
    /// The new row.
    pub row: GroupRow,
    /// Why the row changes.
    pub change: GroupChange,
}

/// A write that marks the row of an expired incarnation as fenced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The incarnation to fence.
    pub incarnation: IncarnationId,
    /// The version that was unchanged for the takeover time; the row must still have it.
    pub expected_version: RowVersion,
    /// The row with its `fenced_by` set.
    pub row: IncarnationRow,
}

/// All that one commit does besides renewing this incarnation's row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommitPlan {
    /// The appends whose entries are in the commit.
    pub appends: Vec<QueuedAppend>,
    /// The new segment: first the live entries of trimmed segments and those copied from earlier
    /// owners' journals, then those of the appends.
    pub segment: Segment,
    /// The segments of this incarnation's journal to delete.
    pub trimmed: Vec<SegmentNumber>,
    /// The group rows to write.
    pub groups: Vec<GroupWrite>,
    /// The incarnation to fence.
    pub fence: Option<Fence>,
    /// The rows of fenced incarnations to delete.
    pub deleted: Vec<RowKey>,
}

impl CommitPlan {
    /// Whether the commit only renews this incarnation's row.
    pub fn is_empty(&self) -> bool {
        self == &Self::default()
    }

    /// Builds the transaction. It is conditional on the version of this incarnation's row, so that
    /// it takes effect at most once, and never after a fence.
    pub fn commit(
        &self,
        me: &str,
        own_row_version: RowVersion,
        own_row: &IncarnationRow,
        write_id: WriteId,
    ) -> Commit {
        let mut commit = Commit {
            write_id,
            conditions: vec![Condition {
                key: incarnation_key(me),
                version: own_row_version,
            }],
            writes: vec![put(incarnation_key(me), encode(own_row))],
        };
        if !self.segment.is_empty() {
            let key = segment_key(me, own_row.head - 1);
            commit.writes.push(put(key, encode(&self.segment)));
        }
        for write in &self.groups {
            let key = group_key(&write.group);
            add_condition(&mut commit, &key, write.expected_version);
            commit.writes.push(put(key, encode(&write.row)));
        }
        if let Some(fence) = &self.fence {
            let key = incarnation_key(&fence.incarnation);
            add_condition(&mut commit, &key, fence.expected_version);
            commit.writes.push(put(key, encode(&fence.row)));
        }
        let trimmed = self.trimmed.iter().map(|number| segment_key(me, *number));
        let deleted = trimmed.chain(self.deleted.iter().cloned());
        commit
            .writes
            .extend(deleted.map(|key| Write { key, value: None }));
        commit
    }
}

fn put(key: RowKey, value: String) -> Write {
    Write {
        key,
        value: Some(value),
    }
}

fn add_condition(commit: &mut Commit, key: &RowKey, version: RowVersion) {
    commit.conditions.push(Condition {
        key: key.clone(),
        version,
    });
}
