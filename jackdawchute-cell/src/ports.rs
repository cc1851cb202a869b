//! What the instance needs of the platform, as trait objects.

use std::time::Duration;

use async_trait::async_trait;
use jackdawchute_scheduler::{
    AdviceAnswer, AdviceRequest, RenewAnswer, RenewOrder, StartAnswer, StartOrder, StopOrder,
    WorkerEntry,
};
use jackdawchute_types::WorkerId;
use smol_str::SmolStr;

use crate::{Result, Routes};

/// A row of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRow {
    /// Its table.
    pub table: SmolStr,
    /// Its key.
    pub key: SmolStr,
    /// Its content; `None` for a row that was removed.
    pub value: Option<Vec<u8>>,
    /// The transaction that last changed it; 0 for a row that does not exist.
    pub version: u64,
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Its table.
    pub table: SmolStr,
    /// Its key.
    pub key: SmolStr,
    /// The new content, or `None` to remove it.
    pub value: Option<Vec<u8>>,
}

/// Changes that take effect together if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The part of the store that all rows lie in.
    pub part: SmolStr,
    /// Table, key and expected version of rows.
    pub expected: Vec<(SmolStr, SmolStr, u64)>,
    /// The changes.
    pub writes: Vec<Write>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// It took effect at this version.
    Committed {
        /// The version that the written rows now have.
        version: u64,
    },
    /// A condition did not hold; the rows named in the conditions as they are.
    Conflict {
        /// The rows that exist.
        rows: Vec<StoreRow>,
    },
}

/// Rows of one table and part as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows in the order of their keys.
    pub rows: Vec<StoreRow>,
    /// Whether there are further rows.
    pub has_more: bool,
    /// The newest version of the store.
    pub version: u64,
}

/// What changed in a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowChanges {
    /// The changed rows in order, and the version to go on from.
    Rows(Vec<StoreRow>, u64),
    /// The store no longer knows; read the rows instead.
    HistoryLost,
}

/// The platform's transactional store.
#[async_trait]
pub trait Store: Send + Sync + 'static {
    /// Tries a transaction.
    ///
    /// # Errors
    /// [`Error::Unknown`](crate::Error::Unknown) leaves open whether it took or takes effect.
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome>;

    /// Reads rows from the key `from` on.
    ///
    /// # Errors
    /// Any error means that nothing was learnt.
    async fn read(&self, table: &str, part: &str, from: Option<&str>) -> Result<Page>;

    /// Waits at most `wait` for changes of a table after a version.
    ///
    /// # Errors
    /// Any error means that nothing was learnt.
    async fn follow(&self, table: &str, after: u64, wait: Duration) -> Result<RowChanges>;
}

/// Reads all rows of a table and part, page by page; the version is that of the first page.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let store = jackdawchute_standins::cell::MemoryStore::default().handle();
/// let page = jackdawchute_cell::read_all(&store, "jobs", "cell").await;
/// assert!(page.expect("nobody is turned away").rows.is_empty());
/// # }
/// ```
///
/// # Errors
/// Any error means that nothing was learnt.
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

/// News of the listed workers.
#[derive(Clone, Debug)]
pub enum WorkersUpdate {
    /// The whole list, and the version to go on from.
    All(Vec<WorkerEntry>, u64),
    /// Changed entries, `None` for those that no longer name a usable worker.
    Changed(Vec<(WorkerId, Option<WorkerEntry>)>, u64),
    /// The history is gone; ask for the whole list.
    HistoryLost,
}

/// News of the configuration.
#[derive(Clone, Debug)]
pub enum ConfigurationUpdate {
    /// The newest configuration, and the version of the store to go on from.
    Current(Routes, u64),
    /// Nothing changed up to this version of the store.
    Unchanged(u64),
    /// The history is gone; ask for the whole configuration.
    HistoryLost,
}

/// What the platform lists: workers, and the operators' configuration.
#[async_trait]
pub trait Directory: Send + Sync + 'static {
    /// Reads all workers, or waits at most `wait` for changes after a version.
    ///
    /// # Errors
    /// Any error means that nothing was learnt.
    async fn workers(&self, after: Option<u64>, wait: Duration) -> Result<WorkersUpdate>;

    /// Reads the configuration, or waits at most `wait` for a change after a version.
    ///
    /// # Errors
    /// Any error means that nothing was learnt.
    async fn configuration(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<ConfigurationUpdate>;
}

/// The platform's workers.
#[async_trait]
pub trait Workers: Send + Sync + 'static {
    /// Orders the start of a task.
    async fn start(&self, order: &StartOrder) -> StartAnswer;

    /// Orders the stop of a run, which then never starts if it had not; returns the worker's
    /// clock.
    ///
    /// # Errors
    /// The run may or may not have been stopped.
    async fn stop(&self, order: &StopOrder) -> Result<Duration>;

    /// Renews the lease and asks what runs and what ended.
    ///
    /// # Errors
    /// The lease may or may not have been renewed.
    async fn renew(&self, order: &RenewOrder) -> Result<RenewAnswer>;
}

/// Knows which workers may run a step.
#[async_trait]
pub trait Advisor: Send + Sync + 'static {
    /// Asks about the workers of a request.
    ///
    /// # Errors
    /// Any error means that nothing was learnt.
    async fn advise(&self, request: &AdviceRequest, timeout: Duration) -> Result<AdviceAnswer>;
}
