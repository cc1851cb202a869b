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

/// Entries that wait for a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedAppend {
    /// Whom to answer.
    pub append: AppendId,
    /// The entries.
    pub entries: Vec<JournalEntry>,
}

/// Why a group's row changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupChange {
    /// This incarnation becomes the owner.
    Claim,
    /// It gives the group up.
    Release,
    /// Its own journal holds all of the group's state now.
    ClearInherited,
}

/// A change of a group's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupWrite {
    /// The group.
    pub group: GroupId,
    /// The version that the row must have.
    pub expected: RowVersion,
    /// The new row.
    pub row: GroupRow,
    /// Why.
    pub change: GroupChange,
}

/// A row to mark as fenced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// Whose row.
    pub incarnation: IncarnationId,
    /// The version at which it stood still.
    pub expected: RowVersion,
    /// The marked row.
    pub row: IncarnationRow,
}

/// Everything that one commit does besides renewing the own row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommitPlan {
    /// The appends whose entries it carries.
    pub appends: Vec<QueuedAppend>,
    /// The new segment, with entries that are written again in front.
    pub segment: Segment,
    /// The own segments to delete.
    pub trimmed: Vec<SegmentNumber>,
    /// The group rows to change.
    pub groups: Vec<GroupWrite>,
    /// The incarnation to fence.
    pub fence: Option<Fence>,
    /// Rows of fenced incarnations to delete.
    pub deleted: Vec<RowKey>,
}

impl CommitPlan {
    /// Whether there is nothing to do but to renew.
    pub fn is_empty(&self) -> bool {
        self == &Self::default()
    }

    /// The transaction: it depends on the own row's version, so that it takes effect at most once
    /// and never after a fence.
    pub fn commit(
        &self,
        me: &str,
        own_version: RowVersion,
        own_row: &IncarnationRow,
        write_id: WriteId,
    ) -> Commit {
        let mut commit = Commit {
            write_id,
            conditions: vec![Condition {
                key: incarnation_key(me),
                version: own_version,
            }],
            writes: vec![put(incarnation_key(me), encode(own_row))],
        };
        if !self.segment.is_empty() {
            let key = segment_key(me, own_row.head - 1);
            commit.writes.push(put(key, encode(&self.segment)));
        }
        for write in &self.groups {
            let key = group_key(&write.group);
            depend(&mut commit, &key, write.expected);
            commit.writes.push(put(key, encode(&write.row)));
        }
        if let Some(fence) = &self.fence {
            let key = incarnation_key(&fence.incarnation);
            depend(&mut commit, &key, fence.expected);
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

fn depend(commit: &mut Commit, key: &RowKey, version: RowVersion) {
    commit.conditions.push(Condition {
        key: key.clone(),
        version,
    });
}
