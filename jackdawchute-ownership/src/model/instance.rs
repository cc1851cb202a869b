//! One instance of the specification.

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

/// How far an instance is with the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Holding {
    /// Another one owns it, or nobody does.
    None,
    /// Claimed; its journals have to be read.
    Loading(Epoch),
    /// Served; its inherited state is not in the own journal yet.
    CopyingInherited(Epoch),
    /// Served from the own journal.
    Complete(Epoch),
}

/// What a commit is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Work {
    /// To renew the own row.
    Renewal,
    /// To journal this value of the only key, or to forget it.
    Append(Option<Intent>),
    /// To fence the other instance.
    Fence,
    /// To own the group with this epoch.
    Claim(Epoch),
    /// To write inherited state into the own journal.
    ClearInherited,
    /// To give the group up.
    Release,
}

/// A journaled intent: where its effect goes, and until when it may arrive there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Intent {
    /// The instance that had it journaled.
    pub by: usize,
    /// The worker, by number.
    pub worker: usize,
    /// The last tick of the worker's clock at which it takes the start.
    pub not_after: u64,
}

impl Intent {
    /// As an entry's value.
    pub fn value(self) -> String {
        format!("{} {} {}", self.by, self.worker, self.not_after)
    }

    /// From an entry's value.
    pub fn parse(value: &str) -> Option<Self> {
        let mut parts = value.split(' ').map(|part| part.parse::<u64>().ok());
        let mut part = || parts.next().flatten();
        Some(Self {
            by: usize::try_from(part()?).ok()?,
            worker: usize::try_from(part()?).ok()?,
            not_after: part()?,
        })
    }
}

/// A commit on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sending {
    /// The commit.
    pub commit: Message,
    /// What it is for.
    pub work: Work,
    /// The own row that it writes.
    pub row: Arc<IncarnationRow>,
    /// Whether its answer was lost.
    pub outcome_unknown: bool,
    /// How often it was sent.
    pub attempts: u8,
}

/// A commit that is cheap to copy and to hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message(pub Arc<Commit>);

impl Hash for Message {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.write_id.hash(state);
    }
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    /// Its incarnation.
    pub id: IncarnationId,
    /// Whether it knows that it was fenced.
    pub is_fenced: bool,
    /// The version of its row as it knows it.
    pub own_version: RowVersion,
    /// Its row as it knows it.
    pub own_row: Arc<IncarnationRow>,
    /// How many commits it made since the search began.
    pub writes: u64,
    /// The number in its next write id.
    pub next_write: u64,
    /// The commit on its way.
    pub sending: Option<Sending>,
    /// How far it is with the group.
    pub holding: Holding,
    /// The live state of the group.
    pub live: BTreeMap<EntryKey, String>,
    /// The effect that it may send, but has not sent yet.
    pub outbox: Option<Intent>,
    /// Its watch over the other instance.
    pub observation: Option<RowObservation>,
}

impl Instance {
    /// A started instance whose row the table has not got yet.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            is_fenced: false,
            own_version: 0,
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
            writes: 0,
            next_write: 0,
            sending: None,
            holding: Holding::None,
            live: BTreeMap::new(),
            outbox: None,
            observation: None,
        }
    }

    /// Whether it may decide something now.
    pub fn is_free(&self) -> bool {
        !self.is_fenced && self.sending.is_none()
    }

    /// The epoch in which it serves the group.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.holding {
            Holding::CopyingInherited(epoch) | Holding::Complete(epoch) => Some(epoch),
            Holding::None | Holding::Loading(_) => None,
        }
    }

    /// The intent that it knows of.
    pub fn intent(&self) -> Option<Intent> {
        self.live
            .values()
            .next()
            .and_then(|value| Intent::parse(value))
    }

    /// Puts a commit on its way, built as the product builds it.
    pub fn send(&mut self, plan: CommitPlan, work: Work) {
        self.writes += 1;
        self.next_write += 1;
        let write_id = WriteId::from(format!("{}/{}", self.id, self.next_write));
        let row = IncarnationRow {
            counter: self.own_row.counter + 1,
            head: self.own_row.head + u64::from(!plan.segment.is_empty()),
            write_id: write_id.clone(),
            ..(*self.own_row).clone()
        };
        let commit = plan.commit(&self.id, self.own_version, &row, write_id);
        self.sending = Some(Sending {
            commit: Message(Arc::new(commit)),
            work,
            row: Arc::new(row),
            outcome_unknown: false,
            attempts: 1,
        });
    }

    /// A segment of one entry for the only key.
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
