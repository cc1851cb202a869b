//! One instance of the journal specification.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    sync::Arc,
};

use jackdawchute_ports::{Commit, RowVersion, WriteId};
use jackdawchute_types::{Epoch, IncarnationId};

use crate::{
    plan::CommitPlan,
    rows::{IncarnationRow, Segment},
    takeover::RowObservation,
    EntryKey,
};

/// The progress of an instance's claim of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GroupPhase {
    /// Another instance owns the group, or none does.
    None,
    /// Claimed; the journals of earlier owners are still to be read.
    Loading(Epoch),
    /// Served; its inherited state is not in the instance's journal yet.
    CopyingInherited(Epoch),
    /// Served from the instance's journal.
    Complete(Epoch),
}

/// What a commit is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CommitPurpose {
    /// To renew the instance's row.
    Renewal,
    /// To set the only key to this intent, or to remove it.
    Append(Option<Intent>),
    /// To fence the other instance.
    Fence,
    /// To claim the group with this epoch.
    Claim(Epoch),
    /// To copy inherited state into the instance's journal.
    ClearInherited,
    /// To release the group.
    Release,
}

/// A journaled intent to start a task or send a request: where the effect goes, and until when it
/// may arrive there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Intent {
    /// The index of the instance that journaled it.
    pub instance: usize,
    /// The number of the worker.
    pub worker: usize,
    /// The last tick at which the worker accepts the start.
    pub not_after: u64,
}

impl Intent {
    /// Encodes the intent as an entry's value.
    pub fn value(self) -> String {
        format!("{} {} {}", self.instance, self.worker, self.not_after)
    }

    /// Decodes an intent from an entry's value.
    pub fn parse(value: &str) -> Option<Self> {
        let mut parts = value.split(' ').map(|part| part.parse::<u64>().ok());
        let mut part = || parts.next().flatten();
        Some(Self {
            instance: usize::try_from(part()?).ok()?,
            worker: usize::try_from(part()?).ok()?,
            not_after: part()?,
        })
    }
}

/// The commit of an instance whose outcome it does not know yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SentCommit {
    /// The transaction.
    pub commit: SharedCommit,
    /// What it is for.
    pub purpose: CommitPurpose,
    /// The new content of the instance's row.
    pub row: Arc<IncarnationRow>,
    /// Whether the instance has to read its row to find the outcome: the answer was lost, or
    /// reported that this row had changed.
    pub outcome_unknown: bool,
    /// How often it was sent.
    pub attempts: u8,
}

/// A commit that is cheap to copy; only its write id is hashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedCommit(pub Arc<Commit>);

impl Hash for SharedCommit {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.write_id.hash(state);
    }
}

/// The state of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    /// Its incarnation id.
    pub id: IncarnationId,
    /// Whether it knows that it was fenced.
    pub is_fenced: bool,
    /// The version of its row as it knows it.
    pub own_row_version: RowVersion,
    /// Its row as it knows it.
    pub own_row: Arc<IncarnationRow>,
    /// How many commits it has made since the search began.
    pub commit_count: u64,
    /// The number in its last write id.
    pub last_write_number: u64,
    /// The commit whose outcome it does not know yet.
    pub pending: Option<SentCommit>,
    /// The progress of its claim of the group.
    pub group_phase: GroupPhase,
    /// The group's live entries.
    pub live_entries: BTreeMap<EntryKey, String>,
    /// The effect that it may send but has not sent yet.
    pub unsent_effect: Option<Intent>,
    /// Since when it has seen the other instance's row unchanged.
    pub observation: Option<RowObservation>,
}

impl Instance {
    /// Returns an instance that has just started and has no row in the table yet.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            is_fenced: false,
            own_row_version: 0,
            own_row: Arc::new(IncarnationRow {
                counter: 0,
                head: 0,
                write_id: WriteId::default(),
                configuration_version: 0,
                peer_address: ([127, 0, 0, 1], 1).into(),
                failure_domain: "ala-1".into(),
                seen_version: 0,
                fenced_by: None,
                leaving: false,
            }),
            commit_count: 0,
            last_write_number: 0,
            pending: None,
            group_phase: GroupPhase::None,
            live_entries: BTreeMap::new(),
            unsent_effect: None,
            observation: None,
        }
    }

    /// Whether it may make a commit: it is not fenced and has none pending.
    pub fn is_idle(&self) -> bool {
        !self.is_fenced && self.pending.is_none()
    }

    /// Returns the epoch in which it serves the group, if it does.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.group_phase {
            GroupPhase::CopyingInherited(epoch) | GroupPhase::Complete(epoch) => Some(epoch),
            GroupPhase::None | GroupPhase::Loading(_) => None,
        }
    }

    /// Returns the intent in the group's live entries, if there is one.
    pub fn intent(&self) -> Option<Intent> {
        self.live_entries
            .values()
            .next()
            .and_then(|value| Intent::parse(value))
    }

    /// Makes a commit pending, built as the ownership task builds it.
    pub fn send(&mut self, plan: CommitPlan, purpose: CommitPurpose) {
        self.commit_count += 1;
        self.last_write_number += 1;
        let write_id = WriteId::from(format!("{}/{}", self.id, self.last_write_number));
        let row = IncarnationRow {
            counter: self.own_row.counter + 1,
            head: self.own_row.head + u64::from(!plan.segment.is_empty()),
            write_id: write_id.clone(),
            ..(*self.own_row).clone()
        };
        let commit = plan.commit(&self.id, self.own_row_version, &row, write_id);
        self.pending = Some(SentCommit {
            commit: SharedCommit(Arc::new(commit)),
            purpose,
            row: Arc::new(row),
            outcome_unknown: false,
            attempts: 1,
        });
    }

    /// Returns a segment of one entry for the only key.
    pub fn segment(&self, group: &str, value: Option<Intent>) -> Segment {
        let entry = crate::JournalEntry {
            group: group.into(),
            key: "only".into(),
            value: value.map(Intent::value),
        };
        let epoch = self.epoch().unwrap_or_default();
        vec![crate::rows::SegmentEntry::new(entry, epoch)]
    }
}
