//! What the ownership task takes and sends.

use std::{collections::BTreeSet, sync::Arc};

use jackdawchute_types::{ConfigurationVersion, Epoch, GroupId, IncarnationId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::oneshot;
use xtra::{prelude::MessageChannel, refcount::Weak};

use crate::{Directory, Result};

/// The key of a journal entry within its group.
pub type EntryKey = SmolStr;

/// One change of a group's journaled state: the last value of a key wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The group it belongs to.
    pub group: GroupId,
    /// The key, unique in the group.
    pub key: EntryKey,
    /// The new value, or `None` to forget the key.
    pub value: Option<String>,
}

/// Asks to journal entries together, in one commit with whatever else waits.
///
/// The reply is sent once they surely are in the journal or surely never will be. An effect that
/// the entries announce may be sent only after `Ok`.
#[derive(Debug)]
pub struct Append {
    /// The entries; all or none.
    pub entries: Vec<JournalEntry>,
    /// Gets the result.
    pub reply: oneshot::Sender<Result<()>>,
}

/// What happened to a group that this incarnation owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupEvent {
    /// This incarnation owns the group now.
    Adopted {
        /// The group.
        group: GroupId,
        /// The new epoch.
        epoch: Epoch,
        /// The journaled state that was taken over.
        entries: Arc<Vec<(EntryKey, String)>>,
        /// The owner before, unless it handed the group over itself.
        fenced: Option<IncarnationId>,
    },
    /// This incarnation does not own the group any more, or is about to hand it over.
    Lost {
        /// The group.
        group: GroupId,
    },
}

/// Whether this incarnation may act as the owner of its groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The table confirmed its row within the lease time.
    Confirmed,
    /// The table is down, also for every unfenced peer: nobody can fence it.
    StoreDown,
    /// Neither the table nor its peers can be reached: a successor may exist.
    CutOff,
    /// A successor fenced it; the process ends.
    Fenced,
}

/// The groups that should have an owner; groups no longer named are let go once empty.
#[derive(Clone, Debug)]
pub struct DesiredGroups(pub Arc<BTreeSet<GroupId>>);

/// Asks for the [`GroupEvent`]s of the groups whose id begins with `prefix`, also of those
/// already owned.
#[derive(Debug)]
pub struct SubscribeGroups {
    /// The first part of the group ids, such as `rack/`.
    pub prefix: SmolStr,
    /// Where the events go.
    pub subscriber: MessageChannel<GroupEvent, (), Weak>,
}

/// Asks for the directory, now and at each change.
#[derive(Debug)]
pub struct SubscribeDirectory {
    /// Where it goes.
    pub subscriber: MessageChannel<Arc<Directory>, (), Weak>,
}

/// Asks for this incarnation's standing, now and at each change.
#[derive(Debug)]
pub struct SubscribeStanding {
    /// Where it goes.
    pub subscriber: MessageChannel<Standing, (), Weak>,
}

/// The configuration version that this instance applies, written with its next renewal.
#[derive(Clone, Copy, Debug)]
pub struct ReportConfiguration(pub ConfigurationVersion);

/// Asks to give every group to peers; the reply is sent when none is left.
#[derive(Debug)]
pub struct HandOver {
    /// Gets `Ok` when nothing is owned any more.
    pub reply: oneshot::Sender<Result<()>>,
}
