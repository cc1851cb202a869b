//! The messages that the ownership task receives and sends.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use jackdawchute_ports::{Commit, CommitOutcome, Row};
use jackdawchute_types::{
    duration_ms, CallError, ConfigurationVersion, Epoch, GroupId, IncarnationId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::oneshot;
use xtra::{prelude::MessageChannel, refcount::Weak};

use crate::{Directory, Result};

/// The key of a journal entry, unique within its group.
pub type EntryKey = SmolStr;

/// One change of a group's journaled state; the last value of a key wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The group whose state changes.
    pub group: GroupId,
    /// The key that is set or removed.
    pub key: EntryKey,
    /// The new value, or `None` to remove the key.
    pub value: Option<String>,
}

/// Asks to journal entries, all of them in one commit; the commit may hold other appends too.
///
/// The reply is sent once the entries are known to be in the journal, or known never to get there.
/// An effect whose intent is among the entries may be sent only after `Ok`. A reply that is dropped
/// leaves the outcome unknown: this incarnation was fenced, and its row was deleted before it could
/// read whether its last commit had taken effect.
#[derive(Debug)]
pub struct Append {
    /// The entries; either all of them are journaled or none.
    pub entries: Vec<JournalEntry>,
    /// Receives the result.
    pub reply: oneshot::Sender<Result<()>>,
}

/// A change in whether this incarnation serves a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupEvent {
    /// This incarnation has become the group's owner, and the group's state is rebuilt.
    Claimed {
        /// The claimed group.
        group: GroupId,
        /// This incarnation's epoch for the group.
        epoch: Epoch,
        /// The state replayed from the journals of earlier owners.
        entries: Arc<Vec<(EntryKey, String)>>,
        /// The previous owner if it was fenced; `None` if it released the group or there was none.
        fenced_owner: Option<IncarnationId>,
    },
    /// This incarnation does not serve the group any more: it is about to release it, or was
    /// fenced.
    Lost {
        /// The lost group.
        group: GroupId,
    },
}

/// Whether this incarnation may act as the owner of its groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The table confirmed a renewal within the lease time.
    Confirmed,
    /// The lease has run out, but every unfenced peer has promised not to fence this incarnation:
    /// the table is down for all of them.
    StoreDown,
    /// The lease has run out and some peer has made no promise: a successor may exist.
    CutOff,
    /// A successor has fenced this incarnation; its process ends.
    Fenced,
}

/// The groups that should have an owner. A group that is no longer listed is released once its
/// state is empty.
#[derive(Clone, Debug)]
pub struct DesiredGroups(pub Arc<BTreeSet<GroupId>>);

/// Subscribes to the [`GroupEvent`]s of the groups whose id begins with `prefix`; groups already
/// served are reported at once.
#[derive(Debug)]
pub struct SubscribeGroups {
    /// The prefix of the group ids, such as `rack/`.
    pub prefix: SmolStr,
    /// Receives the events.
    pub subscriber: MessageChannel<GroupEvent, (), Weak>,
}

/// Subscribes to the directory: the current one is sent at once, then each new one.
#[derive(Debug)]
pub struct SubscribeDirectory {
    /// Receives the directory.
    pub subscriber: MessageChannel<Arc<Directory>, (), Weak>,
}

/// Subscribes to this incarnation's lease state: the current one is sent at once, then each new
/// one.
#[derive(Debug)]
pub struct SubscribeLeaseState {
    /// Receives the lease state.
    pub subscriber: MessageChannel<LeaseState, (), Weak>,
}

/// Sets the configuration version that this instance applies; the next renewal writes it to the
/// incarnation's row.
#[derive(Clone, Copy, Debug)]
pub struct ReportConfiguration(pub ConfigurationVersion);

/// Asks to release every group to peers; the reply is sent when none is owned any more.
#[derive(Debug)]
pub struct HandOver {
    /// Receives `Ok` when no group is owned any more, or an error if this incarnation was fenced.
    pub reply: oneshot::Sender<Result<()>>,
}

/// A call from one instance to the ownership task of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub enum Call {
    /// Asks the callee to commit to the table on behalf of a holder that does not reach it.
    #[serde(rename = "carry")]
    ForwardCommit {
        /// The incarnation that makes the commit.
        holder: IncarnationId,
        /// The holder's commit; it takes effect at most once, however many instances send it.
        commit: Commit,
    },
    /// Notifies the callee that groups were released: it scans for changed rows at once.
    #[serde(rename = "look")]
    RowsChanged,
    /// Announces an incarnation that has joined, also to a callee that does not reach the table.
    Announce {
        /// The incarnation that has joined.
        incarnation: IncarnationId,
        /// The address of its peer listener.
        peer_address: SocketAddr,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// The callee forwarded the commit and the table answered.
    #[serde(rename = "carried")]
    CommitForwarded {
        /// The table's answer.
        outcome: CommitOutcome,
        /// The holder's row, which the callee reads after a conflict.
        row: Option<Row>,
    },
    /// The callee does not reach the table either.
    #[serde(rename = "not-carried")]
    CommitNotForwarded {
        /// The incarnation that answers.
        incarnation: IncarnationId,
        /// How long the callee promises not to fence the holder; zero for no promise. The callee
        /// counts it from its answer, the holder from when it sent the call.
        #[serde(with = "duration_ms", rename = "hold_off_ms")]
        hold_off: Duration,
        /// Whether the outcome of the commit is unknown; false if it is known not to have happened.
        #[serde(rename = "in_doubt")]
        outcome_unknown: bool,
    },
    /// The callee has received a [`Call::RowsChanged`] or [`Call::Announce`].
    #[serde(rename = "looking")]
    Acknowledged,
}

/// A call that arrived from a peer.
#[derive(Debug)]
pub struct Incoming {
    /// The call to carry out.
    pub call: Call,
    /// Receives the answer; dropped without one if the ownership task ends before it can answer.
    pub reply: oneshot::Sender<Reply>,
}

/// Sends calls to the ownership tasks of other instances.
#[async_trait]
pub trait PeerCalls: Send + Sync + 'static {
    /// Calls the instance that listens at `peer`.
    ///
    /// # Errors
    /// The error says whether the peer may have acted on the call.
    async fn call(&self, peer: SocketAddr, call: Call) -> std::result::Result<Reply, CallError>;
}

/// A [`PeerCalls`] without peers, for an instance that runs alone; every call fails as not
/// delivered.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

#[async_trait]
impl PeerCalls for NoPeers {
    async fn call(&self, peer: SocketAddr, _call: Call) -> std::result::Result<Reply, CallError> {
        let cause = "this instance runs alone".to_owned();
        Err(CallError::NotDelivered(
            "call a peer",
            peer.to_string(),
            cause,
        ))
    }
}

/// Until when this incarnation may act as an owner; sent with each change.
///
/// Compare it with the clock right before each send: the lease state that arrived as a message may
/// be out of date if its receiver was paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseExpiry(pub Instant);

/// Subscribes to the expiry of this incarnation's owner lease: the current one is sent at once,
/// then each new one.
#[derive(Debug)]
pub struct SubscribeLeaseExpiry {
    /// Receives the expiry.
    pub subscriber: MessageChannel<LeaseExpiry, (), Weak>,
}
