//! The platform's services that an instance uses, as traits.

use std::time::Duration;

use async_trait::async_trait;
use jackdawchute_scheduler::{
    AdviceAnswer, AdviceRequest, RenewAnswer, RenewOrder, StartAnswer, StartOrder, StopOrder,
    WorkerEntry,
};
use jackdawchute_types::WorkerId;
use smol_str::SmolStr;

use crate::{Result, Routes};

/// A row of the store, as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRow {
    /// The table that the row is in.
    pub table: SmolStr,
    /// The key of the row, unique in its table and part.
    pub key: SmolStr,
    /// The content of the row; `None` for a row that was removed.
    pub value: Option<Vec<u8>>,
    /// The version of the transaction that last changed the row; 0 for a row that does not exist.
    pub version: u64,
}

/// A change of one row in a [`Transaction`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The table that the row is in.
    pub table: SmolStr,
    /// The key of the row.
    pub key: SmolStr,
    /// The new content, or `None` to remove the row.
    pub value: Option<Vec<u8>>,
}

/// Changes that take effect together if all expected versions match.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The part of the store that holds all rows of the transaction.
    pub part: SmolStr,
    /// The conditions: table, key and expected version of a row, 0 for one that must not exist.
    pub expected: Vec<(SmolStr, SmolStr, u64)>,
    /// The changes to make if all conditions hold.
    pub writes: Vec<Write>,
}

/// The store's answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The transaction took effect.
    Committed {
        /// The version that the written rows now have.
        version: u64,
    },
    /// A condition did not hold, and nothing was written.
    Conflict {
        /// The current rows that the conditions name, without those that do not exist.
        rows: Vec<StoreRow>,
    },
}

/// A consistent read of some rows of one table and part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows in the order of their keys.
    pub rows: Vec<StoreRow>,
    /// Whether there are rows after the last one of this page.
    pub has_more: bool,
    /// The newest version of the store at the time of the read.
    pub version: u64,
}

/// The changes of a table after some version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowChanges {
    /// The changed rows in the order of their changes, and the version to continue from.
    Rows(Vec<StoreRow>, u64),
    /// The store no longer keeps the changes since that version; read the whole table instead.
    HistoryLost,
}

/// The platform's transactional store.
#[async_trait]
pub trait Store: Send + Sync + 'static {
    /// Executes a transaction once.
    ///
    /// # Errors
    /// After [`Error::Unknown`](crate::Error::Unknown) the transaction may have taken effect, or
    /// may still do so.
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome>;

    /// Reads a page of rows, starting at the key `from` or at the first row.
    ///
    /// # Errors
    /// The store did not answer, or not with a page.
    async fn read(&self, table: &str, part: &str, from: Option<&str>) -> Result<Page>;

    /// Waits up to `wait` for changes of a table after the version `after`.
    ///
    /// # Errors
    /// The store did not answer, or not with changes.
    async fn follow(&self, table: &str, after: u64, wait: Duration) -> Result<RowChanges>;
}

/// Reads all rows of a table and part, page by page; the version is that of the first page.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let store = jackdawchute_standins::cell::MemoryStore::default().handle();
/// let page = jackdawchute_cell::read_all(&store, "jobs", "cell").await;
/// assert!(page.expect("the store does not refuse its clients").rows.is_empty());
/// # }
/// ```
///
/// # Errors
/// A page could not be read.
pub async fn read_all(store: &dyn Store, table: &str, part: &str) -> Result<Page> {
    let mut all = store.read(table, part, None).await?;
    while all.has_more {
        let last = all.rows.last().map(|row| row.key.clone());
        let page = store.read(table, part, last.as_deref()).await?;
        let before = all.rows.len();
        let new = page.rows.into_iter();
        all.rows
            .extend(new.filter(|row| Some(&row.key) != last.as_ref()));
        all.has_more = page.has_more && all.rows.len() > before;
    }
    Ok(all)
}

/// The whole list of workers, or its changes.
#[derive(Clone, Debug)]
pub enum WorkersUpdate {
    /// The whole list, and the version of the store to continue from.
    All(Vec<WorkerEntry>, u64),
    /// The changed entries, `None` for those that no longer name a usable worker, and the version
    /// of the store to continue from.
    Changed(Vec<(WorkerId, Option<WorkerEntry>)>, u64),
    /// The store no longer keeps the changes since that version; read the whole list instead.
    HistoryLost,
}

/// The configuration, if it has changed.
#[derive(Clone, Debug)]
pub enum ConfigurationUpdate {
    /// The newest configuration, and the version of the store to continue from.
    Current(Routes, u64),
    /// Nothing changed up to this version of the store.
    Unchanged(u64),
    /// The store no longer keeps the changes since that version; read the whole configuration
    /// instead.
    HistoryLost,
    /// The store has a configuration that cannot be read; the changes go on from this version.
    Unreadable(u64),
}

/// The platform's lists of workers and of the operators' configuration.
#[async_trait]
pub trait Directory: Send + Sync + 'static {
    /// Reads all workers, or waits up to `wait` for changes after the version `after`.
    ///
    /// # Errors
    /// The list could not be read.
    async fn workers(&self, after: Option<u64>, wait: Duration) -> Result<WorkersUpdate>;

    /// Reads the configuration, or waits up to `wait` for a change after the version `after`.
    ///
    /// # Errors
    /// The configuration could not be read.
    async fn configuration(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<ConfigurationUpdate>;
}

/// The interface to the platform's workers.
#[async_trait]
pub trait Workers: Send + Sync + 'static {
    /// Orders a worker to start a run of a task.
    async fn start(&self, order: &StartOrder) -> StartAnswer;

    /// Orders a worker to stop a run, or never to start it if it has not been started yet; returns
    /// the worker's clock.
    ///
    /// # Errors
    /// No confirmation was received; the run may have been stopped all the same.
    async fn stop(&self, order: &StopOrder) -> Result<Duration>;

    /// Renews a worker's lease and returns its running and ended runs.
    ///
    /// # Errors
    /// No confirmation was received; the lease may have been renewed all the same.
    async fn renew(&self, order: &RenewOrder) -> Result<RenewAnswer>;
}

/// The platform's service that tells which workers may run a step.
#[async_trait]
pub trait Advisor: Send + Sync + 'static {
    /// Asks which of a request's workers may run its step, and waits up to `timeout`.
    ///
    /// # Errors
    /// The advisor did not answer, or not with advice.
    async fn advise(&self, request: &AdviceRequest, timeout: Duration) -> Result<AdviceAnswer>;
}
