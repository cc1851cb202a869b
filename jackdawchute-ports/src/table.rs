//! The port to the transactional table service.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::Result;

/// The key of a row, with parts separated by `/`.
pub type RowKey = SmolStr;
/// The version of the commit that last changed a row, ascending over the whole table; 0 means that
/// the row does not exist.
pub type RowVersion = u64;
/// The id of one commit; a caller that lost the response repeats the commit with the same id and
/// gets the first outcome.
pub type WriteId = SmolStr;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: RowKey,
    /// The version of the commit that last changed the row.
    pub version: RowVersion,
    /// The content, JSON text by convention; `None` in a scan marks a deleted row.
    pub value: Option<String>,
}

/// A condition that must hold for a commit to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key of the row to check.
    pub key: RowKey,
    /// The expected version of the row; 0 if it must not exist.
    pub version: RowVersion,
}

/// One change of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row to change.
    pub key: RowKey,
    /// The new content, or `None` to delete the row.
    pub value: Option<String>,
}

/// A transaction: all the writes take effect if all the conditions hold, else none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// The id of this commit; a second commit with the same id returns the first one's outcome.
    pub write_id: WriteId,
    /// The conditions, which must all hold.
    pub conditions: Vec<Condition>,
    /// The writes, which take effect together.
    pub writes: Vec<Write>,
}

/// The outcome of a commit.
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
        /// The actual version of that row.
        version: RowVersion,
    },
}

/// The rows under a prefix that changed after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// The changed rows in key order; deleted ones have no value.
    pub rows: Vec<Row>,
    /// The table's version at the time of the scan; the next scan starts after it.
    pub version: RowVersion,
}

/// The platform's transactional table service.
#[async_trait]
pub trait Table: Send + Sync + 'static {
    /// Reads one row.
    ///
    /// # Errors
    /// On any error nothing was read.
    async fn read(&self, key: &str) -> Result<Option<Row>>;

    /// Reads the rows under `prefix` that changed after `changed_after`; 0 reads all.
    ///
    /// # Errors
    /// On any error nothing was read.
    async fn scan(&self, prefix: &str, changed_after: RowVersion) -> Result<Scan>;

    /// Commits a transaction if its conditions hold.
    ///
    /// # Errors
    /// After [`Error::Unknown`](crate::Error::Unknown) the commit may have taken effect; read the
    /// written rows to find out.
    async fn commit(&self, commit: Commit) -> Result<CommitOutcome>;
}
