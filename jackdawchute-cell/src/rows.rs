//! The rows of a cell in the store.

use std::net::SocketAddr;

use jackdawchute_scheduler::RowTable;
use jackdawchute_types::{Epoch, IncarnationId};
use serde::{Deserialize, Serialize};

/// The part of the store that holds all rows of the cell.
pub(crate) const PART: &str = "cell";
/// The table of the row that names the leader.
pub(crate) const LEADER_TABLE: &str = "leader";
/// The table of the row that each commit rewrites.
pub(crate) const HEAD_TABLE: &str = "head";
/// The key of the only row in the leader table and in the head table.
pub(crate) const SOLE_KEY: &str = "cell";

/// The content of the row that names the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaderRecord {
    pub(crate) epoch: Epoch,
    pub(crate) incarnation: IncarnationId,
    /// Where peers reach the leader.
    pub(crate) address: SocketAddr,
}

/// The content of the row that each commit rewrites.
///
/// It shows whether a commit whose answer was lost took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeadRecord {
    pub(crate) epoch: Epoch,
    /// The number of commits in this epoch, without the claim.
    pub(crate) commits: u64,
    /// Whether no leader of an earlier epoch has authority any more.
    #[serde(default)]
    pub(crate) settled: bool,
}

/// Returns the name in the store of a table of saved rows.
pub(crate) fn table_name(table: RowTable) -> &'static str {
    match table {
        RowTable::Jobs => "jobs",
        RowTable::Progress => "progress",
        RowTable::Ended => "ended",
        RowTable::Workers => "workers",
    }
}

/// The tables of saved rows, in the order in which a new leader recovers them.
pub(crate) const RECOVERED_TABLES: [RowTable; 4] = [
    RowTable::Workers,
    RowTable::Jobs,
    RowTable::Progress,
    RowTable::Ended,
];

/// Encodes a record of this module.
pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    serde_json::to_vec(record).expect("plain structs of numbers and text always encode")
}
