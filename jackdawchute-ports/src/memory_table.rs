//! An in-memory table for the embedded platform and for tests.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use async_trait::async_trait;

use crate::{
    Commit, CommitOutcome, Condition, Result, Row, RowKey, RowVersion, Scan, Table, WriteId,
};

/// How many outcomes are retained by write id; the oldest is dropped first.
const RETAINED_OUTCOMES_MAX: usize = 100_000;

/// A transactional table in memory; its content ends with the process.
///
/// ```
/// use jackdawchute_ports::{Commit, CommitOutcome, MemoryTable, Write};
///
/// let table = MemoryTable::default();
/// let write = Write { key: "a".into(), value: Some("1".into()) };
/// let outcome = table.apply(Commit { writes: vec![write], ..Commit::default() });
/// assert_eq!(outcome, CommitOutcome::Committed { version: 1 });
/// ```
#[derive(Debug, Default)]
pub struct MemoryTable {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    version: RowVersion,
    rows: BTreeMap<RowKey, Row>,
    outcomes: HashMap<WriteId, CommitOutcome>,
    outcome_order: VecDeque<WriteId>,
}

impl MemoryTable {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a row, or `None` if it does not exist or is deleted.
    pub fn get(&self, key: &str) -> Option<Row> {
        self.state()
            .rows
            .get(key)
            .filter(|row| row.value.is_some())
            .cloned()
    }

    /// Returns the rows under `prefix` that changed after `changed_after`, deleted ones included; 0
    /// returns all rows that exist.
    pub fn changes(&self, prefix: &str, changed_after: RowVersion) -> Scan {
        let state = self.state();
        let rows = state
            .rows
            .range(RowKey::new(prefix)..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row)
            .filter(|row| row.version > changed_after)
            .filter(|row| changed_after > 0 || row.value.is_some())
            .cloned()
            .collect();
        Scan {
            rows,
            version: state.version,
        }
    }

    /// Applies a transaction; a repeated write id returns the outcome of the first.
    pub fn apply(&self, commit: Commit) -> CommitOutcome {
        self.state().apply(commit)
    }
}

impl State {
    fn apply(&mut self, commit: Commit) -> CommitOutcome {
        if let Some(outcome) = self.outcomes.get(&commit.write_id) {
            return outcome.clone();
        }
        let outcome = match self.failed_condition(&commit.conditions) {
            Some((key, version)) => CommitOutcome::Conflict { key, version },
            None => self.write(&commit),
        };
        self.retain_outcome(commit.write_id, outcome.clone());
        outcome
    }

    fn failed_condition(&self, conditions: &[Condition]) -> Option<(RowKey, RowVersion)> {
        conditions.iter().find_map(|condition| {
            let row = self
                .rows
                .get(&condition.key)
                .filter(|row| row.value.is_some());
            let version = row.map_or(0, |row| row.version);
            (version != condition.version).then(|| (condition.key.clone(), version))
        })
    }

    fn write(&mut self, commit: &Commit) -> CommitOutcome {
        self.version += 1;
        let version = self.version;
        for write in &commit.writes {
            let row = Row {
                key: write.key.clone(),
                version,
                value: write.value.clone(),
            };
            self.rows.insert(write.key.clone(), row);
        }
        CommitOutcome::Committed { version }
    }

    fn retain_outcome(&mut self, write_id: WriteId, outcome: CommitOutcome) {
        if write_id.is_empty() {
            return;
        }
        self.outcomes.insert(write_id.clone(), outcome);
        self.outcome_order.push_back(write_id);
        if self.outcome_order.len() > RETAINED_OUTCOMES_MAX {
            if let Some(oldest) = self.outcome_order.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }
}

#[async_trait]
impl Table for MemoryTable {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        Ok(self.get(key))
    }

    async fn scan(&self, prefix: &str, changed_after: RowVersion) -> Result<Scan> {
        Ok(self.changes(prefix, changed_after))
    }

    async fn commit(&self, commit: Commit) -> Result<CommitOutcome> {
        Ok(self.apply(commit))
    }
}
