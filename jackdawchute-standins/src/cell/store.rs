//! An in-memory transactional store.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use async_trait::async_trait;
use jackdawchute_cell::{
    Error, Page, Result, RowChanges, Store, StoreRow, Transaction, TransactionOutcome, Write,
};
use jackdawchute_types::whole_ms;
use smol_str::SmolStr;
use tokio::sync::watch;

use super::access::Access;
use crate::lock::lock;

/// The most bytes of a row in base64, as the users' platform states it.
const ROW_BYTES_MAX: usize = 65_536;
/// The most entries of a transaction.
const TRANSACTION_ENTRIES_MAX: usize = 100;
/// The most bytes of a transaction.
const TRANSACTION_BYTES_MAX: usize = 1_000_000;

fn base64_bytes(value: &[u8]) -> usize {
    value.len().div_ceil(3) * 4
}

type RowName = (SmolStr, SmolStr, SmolStr);

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    /// Rows by table, part and key; deleted rows stay, with `None` as their value.
    rows: BTreeMap<RowName, StoreRow>,
}

/// The rows, shared by the handles of all instances.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    rows: Arc<Mutex<Rows>>,
    changed: watch::Sender<u64>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self {
            rows: Arc::default(),
            changed: watch::channel(0).0,
        }
    }
}

/// A handle to the store for one instance, with the faults that this instance sees.
#[derive(Clone, Debug)]
pub struct StoreHandle {
    store: MemoryStore,
    access: Access,
    /// The response to every n-th transaction is lost; 0 loses none.
    lose_every: Arc<AtomicU64>,
    transactions: Arc<AtomicU64>,
    /// The duration of each transaction, in milliseconds.
    delay_ms: Arc<AtomicU64>,
}

impl MemoryStore {
    /// Returns a new handle, for one instance.
    pub fn handle(&self) -> StoreHandle {
        StoreHandle {
            store: self.clone(),
            access: Access::default(),
            lose_every: Arc::default(),
            transactions: Arc::default(),
            delay_ms: Arc::default(),
        }
    }

    /// Returns why the store takes no such transaction, whatever rows it has; `None` if it does.
    fn rejection(transaction: &Transaction) -> Option<String> {
        let entries = transaction.expected.len() + transaction.writes.len();
        let bytes = |write: &Write| write.value.as_ref().map_or(0, |value| base64_bytes(value));
        let largest = transaction.writes.iter().max_by_key(|write| bytes(write));
        let all_bytes: usize = transaction.writes.iter().map(bytes).sum();
        if entries > TRANSACTION_ENTRIES_MAX {
            return Some(format!("{entries} entries"));
        }
        if let Some(write) = largest.filter(|write| bytes(write) > ROW_BYTES_MAX) {
            return Some(format!("row {} of {} bytes", write.key, bytes(write)));
        }
        (all_bytes > TRANSACTION_BYTES_MAX).then(|| format!("{all_bytes} bytes"))
    }

    fn apply(&self, transaction: &Transaction) -> TransactionOutcome {
        let mut state = lock(&self.rows);
        let name =
            |table: &SmolStr, key: &SmolStr| (table.clone(), transaction.part.clone(), key.clone());
        let version_of = |state: &Rows, table, key| {
            let row = state.rows.get(&name(table, key));
            row.filter(|row| row.value.is_some())
                .map_or(0, |row| row.version)
        };
        let conditions_hold = transaction
            .expected
            .iter()
            .all(|(table, key, version)| version_of(&state, table, key) == *version);
        if !conditions_hold {
            let rows = transaction
                .expected
                .iter()
                .filter_map(|(table, key, _)| state.rows.get(&name(table, key)).cloned());
            return TransactionOutcome::Conflict {
                rows: rows.collect(),
            };
        }
        state.version += 1;
        let version = state.version;
        for write in &transaction.writes {
            let row = StoreRow {
                table: write.table.clone(),
                key: write.key.clone(),
                value: write.value.clone(),
                version,
            };
            state.rows.insert(name(&write.table, &write.key), row);
        }
        drop(state);
        self.changed.send_replace(version);
        TransactionOutcome::Committed { version }
    }
}

impl StoreHandle {
    /// Denies this instance access until called with `false`.
    pub fn deny(&self, denied: bool) {
        self.access.set_denied(denied);
    }

    /// Leaves all calls of this instance without effect and answer until called with `false`, as a
    /// network that loses them.
    pub fn silence(&self, silent: bool) {
        self.access.set_silent(silent);
    }

    /// Loses the response to each `every`th transaction, which takes effect; 0 loses none.
    pub fn lose_answers(&self, every: u64) {
        self.lose_every.store(every, Ordering::Relaxed);
    }

    /// Makes each transaction from now on take `delay`.
    pub fn slow_down(&self, delay: Duration) {
        self.delay_ms.store(whole_ms(delay), Ordering::Relaxed);
    }
}

#[async_trait]
impl Store for StoreHandle {
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome> {
        self.access.pass_call("transact").await?;
        if let Some(cause) = MemoryStore::rejection(transaction) {
            return Err(Error::Rejected("transact", "store".to_owned(), cause));
        }
        let delay_ms = self.delay_ms.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let transacted = self.store.apply(transaction);
        self.access.pass_answer("transact").await?;
        let number = self.transactions.fetch_add(1, Ordering::Relaxed) + 1;
        let every = self.lose_every.load(Ordering::Relaxed);
        if every > 0 && number % every == 0 {
            let cause = "the response was lost".to_owned();
            return Err(Error::Unknown("transact", "store".to_owned(), cause));
        }
        Ok(transacted)
    }

    async fn read(&self, table: &str, part: &str, from: Option<&str>) -> Result<Page> {
        self.access.pass_call("read rows").await?;
        let state = lock(&self.store.rows);
        let matches = |((in_table, in_part, key), row): &(&RowName, &StoreRow)| {
            in_table == table
                && in_part == part
                && row.value.is_some()
                && from.is_none_or(|from| key.as_str() >= from)
        };
        let rows = state.rows.iter().filter(matches);
        Ok(Page {
            rows: rows.map(|(_, row)| row.clone()).collect(),
            has_more: false,
            version: state.version,
        })
    }

    async fn follow(&self, table: &str, after: u64, wait: Duration) -> Result<RowChanges> {
        let mut changed = self.store.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            self.access.pass_call("follow table").await?;
            changed.mark_unchanged();
            let (mut rows, version) = {
                let state = lock(&self.store.rows);
                let rows = state
                    .rows
                    .iter()
                    .filter(|((in_table, _, _), row)| in_table == table && row.version > after);
                let rows: Vec<StoreRow> = rows.map(|(_, row)| row.clone()).collect();
                (rows, state.version)
            };
            rows.sort_by_key(|row| row.version);
            if !rows.is_empty() {
                return Ok(RowChanges::Rows(rows, version));
            }
            // `changed` never fails: this handle owns a sender of the channel.
            let change = tokio::time::timeout_at(deadline, changed.changed()).await;
            if change.is_err() {
                self.access.pass_answer("follow table").await?;
                return Ok(RowChanges::Rows(Vec::new(), version));
            }
        }
    }
}
