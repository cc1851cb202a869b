//! The effects that the state asks the task to perform.

use std::net::SocketAddr;

use jackdawchute_ports::{Commit, RowVersion, WriteId};
use jackdawchute_types::{GroupId, IncarnationId};

use crate::{messages::Call, GroupEvent, Result};

/// Identifies an append until it is answered or dropped.
pub type AppendId = u64;

/// One action for the task; its result comes back as a call on [`State`](crate::state::State).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send this commit to the table.
    Commit(Commit),
    /// Read this incarnation's row, to find out whether the commit with this write id took effect.
    ReadOwnRow(WriteId),
    /// Read the rows that changed after these versions.
    Scan {
        /// The version up to which rows of incarnations are known; 0 reads all.
        incarnations_after: RowVersion,
        /// The version up to which rows of groups are known; 0 reads all.
        groups_after: RowVersion,
    },
    /// Read whole journals, to rebuild the state of newly claimed groups.
    LoadJournals {
        /// The claimed groups.
        groups: Vec<GroupId>,
        /// The earlier owners whose journals to read.
        sources: Vec<IncarnationId>,
    },
    /// List the keys of the rows in a fenced incarnation's journal, for garbage collection.
    ListJournal(IncarnationId),
    /// Call one peer.
    CallPeer {
        /// The peer to call.
        peer: IncarnationId,
        /// The address of the peer's listener.
        address: SocketAddr,
        /// The message to send.
        call: Call,
    },
    /// Answer an append with its result.
    AnswerAppend(AppendId, Result<()>),
    /// Drop an append without an answer, because its outcome can no longer be known.
    DropAppend(AppendId),
    /// Send an event to the subscribers of its group.
    Publish(GroupEvent),
    /// Answer all pending handover requests.
    AnswerHandOvers(Result<()>),
}
