//! What the ownership task takes and sends.

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
/// the entries announce may be sent only after `Ok`. A reply that is dropped leaves the outcome
/// unknown: this incarnation was fenced, and all trace of it deleted, before it learnt the fate of
/// its last commit.
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
    Claimed {
        /// The group.
        group: GroupId,
        /// The new epoch.
        epoch: Epoch,
        /// The journaled state that was taken over.
        entries: Arc<Vec<(EntryKey, String)>>,
        /// The owner before, unless it handed the group over itself.
        fenced_owner: Option<IncarnationId>,
    },
    /// This incarnation does not own the group any more, or is about to hand it over.
    Lost {
        /// The group.
        group: GroupId,
    },
}

/// Whether this incarnation may act as the owner of its groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
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
pub struct SubscribeLeaseState {
    /// Where it goes.
    pub subscriber: MessageChannel<LeaseState, (), Weak>,
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

/// What one instance asks of the ownership task of another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub enum Call {
    /// Asks to bring a holder's commit to the table, which the holder does not reach itself.
    #[serde(rename = "carry")]
    ForwardCommit {
        /// The holder.
        holder: IncarnationId,
        /// Its commit; whoever brings it, it takes effect at most once.
        commit: Commit,
    },
    /// Tells that groups were given up: the callee reads the changed rows at once.
    #[serde(rename = "look")]
    RowsChanged,
    /// Tells of an incarnation that has joined, also if the callee does not reach the table.
    Announce {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Where its peer listener is.
        peer_address: SocketAddr,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// The table answered.
    #[serde(rename = "carried")]
    CommitForwarded {
        /// What it answered.
        outcome: CommitOutcome,
        /// The holder's row, read after a conflict.
        row: Option<Row>,
    },
    /// The callee does not reach the table either.
    #[serde(rename = "not-carried")]
    CommitNotForwarded {
        /// Who answers.
        incarnation: IncarnationId,
        /// How long it promises not to fence the holder, counted from its answer; zero for no
        /// promise.
        #[serde(with = "duration_ms", rename = "hold_off_ms")]
        hold_off: Duration,
        /// Whether the commit may have taken effect all the same.
        in_doubt: bool,
    },
    /// The callee has taken notice.
    #[serde(rename = "looking")]
    Acknowledged,
}

/// A call that arrived from a peer.
#[derive(Debug)]
pub struct Incoming {
    /// The call.
    pub call: Call,
    /// Gets the answer; dropped without one if the table's answer cannot be used.
    pub reply: oneshot::Sender<Reply>,
}

/// Carries calls to the ownership tasks of other instances.
#[async_trait]
pub trait PeerCalls: Send + Sync + 'static {
    /// Calls the instance that listens at `peer`.
    ///
    /// # Errors
    /// Tells whether the peer may have acted on the call.
    async fn call(&self, peer: SocketAddr, call: Call) -> std::result::Result<Reply, CallError>;
}

/// No peers: for an instance that runs alone.
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
/// Compare it with the clock right before each send: a standing that arrived as a message may be
/// old when its receiver was paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseExpiry(pub Instant);

/// Asks for the end of the lease, now and at each change.
#[derive(Debug)]
pub struct SubscribeLeaseExpiry {
    /// Where it goes.
    pub subscriber: MessageChannel<LeaseExpiry, (), Weak>,
}
