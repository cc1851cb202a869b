//! The rows of a cell in the store.

use std::net::SocketAddr;

use jackdawchute_scheduler::RowTable;
use jackdawchute_types::{Epoch, IncarnationId};
use serde::{Deserialize, Serialize};

/// The part that all rows of a cell lie in.
pub(crate) const PART: &str = "cell";
/// The table of the row that names the scheduling instance.
pub(crate) const LEADER_TABLE: &str = "leader";
/// The table of the row that each commit rewrites.
pub(crate) const HEAD_TABLE: &str = "head";
/// The key of both rows.
pub(crate) const SOLE_KEY: &str = "cell";

/// The row that names the scheduling instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaderRecord {
    pub(crate) epoch: Epoch,
    pub(crate) incarnation: IncarnationId,
    pub(crate) address: SocketAddr,
}

/// The row that each commit rewrites; tells whether a commit without an answer took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeadRecord {
    pub(crate) epoch: Epoch,
    pub(crate) commits: u64,
}

/// The table of a kind of saved row.
pub(crate) fn table(kind: RowTable) -> &'static str {
    match kind {
        RowTable::Jobs => "jobs",
        RowTable::Progress => "progress",
        RowTable::Ended => "ended",
        RowTable::Workers => "workers",
    }
}

/// All kinds of saved rows, in the order in which they are taken over.
pub(crate) const KINDS: [RowTable; 4] = [
    RowTable::Workers,
    RowTable::Jobs,
    RowTable::Progress,
    RowTable::Ended,
];

/// Encodes a record of this module.
pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    serde_json::to_vec(record).expect("plain structs of numbers and text always encode")
}
