//! A transactional store in memory.

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
    Error, Page, Result, RowChanges, Store, StoreRow, Transaction, TransactionOutcome,
};
use jackdawchute_types::whole_ms;
use smol_str::SmolStr;
use tokio::sync::watch;

use super::door::Door;
use crate::lock::lock;

type RowName = (SmolStr, SmolStr, SmolStr);

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    /// By table, part and key; removed rows stay without a value.
    rows: BTreeMap<RowName, StoreRow>,
}

/// The state that all handles share.
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

/// One instance's way to the store.
#[derive(Clone, Debug)]
pub struct StoreHandle {
    store: MemoryStore,
    door: Door,
    /// Every how many transactions the answer is lost; 0 for never.
    lose_every: Arc<AtomicU64>,
    transactions: Arc<AtomicU64>,
    /// How long each transaction takes, in milliseconds.
    delay_ms: Arc<AtomicU64>,
}

impl MemoryStore {
    /// A way to the store for one instance.
    pub fn handle(&self) -> StoreHandle {
        StoreHandle {
            store: self.clone(),
            door: Door::default(),
            lose_every: Arc::default(),
            transactions: Arc::default(),
            delay_ms: Arc::default(),
        }
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
        let holds = transaction
            .expected
            .iter()
            .all(|(table, key, version)| version_of(&state, table, key) == *version);
        if !holds {
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
    /// Turns this instance away from now on, or serves it again.
    pub fn deny(&self, denied: bool) {
        self.door.shut(denied);
    }

    /// Loses the answer of each `every`th transaction; 0 loses none.
    pub fn lose_answers(&self, every: u64) {
        self.lose_every.store(every, Ordering::Relaxed);
    }

    /// Has each transaction take so long from now on.
    pub fn slow_down(&self, delay: Duration) {
        self.delay_ms.store(whole_ms(delay), Ordering::Relaxed);
    }
}

#[async_trait]
impl Store for StoreHandle {
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome> {
        self.door.pass("transact")?;
        let delay_ms = self.delay_ms.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let transacted = self.store.apply(transaction);
        let number = self.transactions.fetch_add(1, Ordering::Relaxed) + 1;
        let every = self.lose_every.load(Ordering::Relaxed);
        if every > 0 && number % every == 0 {
            let cause = "the answer was lost".to_owned();
            return Err(Error::Unknown("transact", "store".to_owned(), cause));
        }
        Ok(transacted)
    }

    async fn read(&self, table: &str, part: &str, from: Option<&str>) -> Result<Page> {
        self.door.pass("read rows")?;
        let state = lock(&self.store.rows);
        let wanted = |((in_table, in_part, key), row): &(&RowName, &StoreRow)| {
            in_table == table
                && in_part == part
                && row.value.is_some()
                && from.is_none_or(|from| key.as_str() >= from)
        };
        let rows = state.rows.iter().filter(wanted);
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
            self.door.pass("follow table")?;
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
            // The sender lives as long as this handle.
            let news = tokio::time::timeout_at(deadline, changed.changed()).await;
            if news.is_err() {
                return Ok(RowChanges::Rows(Vec::new(), version));
            }
        }
    }
}
