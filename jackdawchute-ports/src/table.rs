//! The transactional table service.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::Result;

/// The key of a row; `/` separates its parts.
pub type RowKey = SmolStr;
/// The commit that last changed a row, ascending over the whole table; 0 stands for no row.
pub type RowVersion = u64;
/// Names one write, so that its fate can be looked up after a lost answer.
pub type WriteId = SmolStr;

/// A row as the table holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: RowKey,
    /// The commit that last changed it.
    pub version: RowVersion,
    /// The content; JSON text by convention. `None` in a scan marks a deleted row.
    pub value: Option<String>,
}

/// What must hold for a commit to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row to look at.
    pub key: RowKey,
    /// Its expected version; 0 if it must not exist.
    pub version: RowVersion,
}

/// One change of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row to change.
    pub key: RowKey,
    /// The new content, or `None` to delete the row.
    pub value: Option<String>,
}

/// A transaction: all the writes take effect if all the conditions hold, else none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Names this write; a second commit with the same id answers as the first did.
    pub write_id: WriteId,
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What changes.
    pub writes: Vec<Write>,
}

/// What became of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum CommitOutcome {
    /// All the writes took effect at this version.
    Committed {
        /// The version that the written rows now have.
        version: RowVersion,
    },
    /// A condition did not hold; nothing changed.
    Conflict {
        /// The first row whose condition failed.
        key: RowKey,
        /// The version that it has.
        version: RowVersion,
    },
}

/// The rows under a prefix that changed after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// The changed rows in key order; deleted ones have no value.
    pub rows: Vec<Row>,
    /// The table's version at the time of the scan, for the next one.
    pub version: RowVersion,
}

/// The platform's transactional table service.
#[async_trait]
pub trait Table: Send + Sync + 'static {
    /// Reads one row.
    ///
    /// # Errors
    /// Any error means that nothing was learnt.
    async fn read(&self, key: &str) -> Result<Option<Row>>;

    /// Reads the rows under `prefix` that changed after `changed_after`; 0 reads all.
    ///
    /// # Errors
    /// Any error means that nothing was learnt.
    async fn scan(&self, prefix: &str, changed_after: RowVersion) -> Result<Scan>;

    /// Tries a transaction.
    ///
    /// # Errors
    /// [`Error::Unknown`](crate::Error::Unknown) leaves open whether it took effect; look up the
    /// written rows before relying on either.
    async fn commit(&self, commit: Commit) -> Result<CommitOutcome>;
}
