//! What the decisions ask the task to do.

use std::net::SocketAddr;

use jackdawchute_ports::{Commit, RowVersion, WriteId};
use jackdawchute_types::{GroupId, IncarnationId};

use crate::{messages::Call, GroupEvent, Result};

/// Names an append until it is answered.
pub type AppendId = u64;

/// One thing to do; the results come back through [`State`](crate::state::State).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Bring this commit to the table.
    Commit(Commit),
    /// Read the own row, for the fate of this write.
    ReadOwnRow(WriteId),
    /// Read the rows that changed after these versions.
    Scan {
        /// For incarnations.
        incarnations_after: RowVersion,
        /// For groups.
        groups_after: RowVersion,
    },
    /// Read whole journals for these groups.
    Load {
        /// The groups to adopt.
        groups: Vec<GroupId>,
        /// Whose journals.
        sources: Vec<IncarnationId>,
    },
    /// Read which rows the journal of a fenced incarnation has.
    ListJournal(IncarnationId),
    /// Ask one peer.
    CallPeer {
        /// The peer.
        peer: IncarnationId,
        /// Where it listens.
        address: SocketAddr,
        /// The call.
        call: Call,
    },
    /// Answer an append.
    Answer(AppendId, Result<()>),
    /// Drop an append without an answer: its outcome cannot be known any more.
    DropAppend(AppendId),
    /// Tell the subscribers.
    Publish(GroupEvent),
    /// Answer the requests to hand everything over.
    HandedOver(Result<()>),
}
