//! A table in memory, for the embedded platform and for tests.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use async_trait::async_trait;

use crate::{
    Commit, CommitOutcome, Condition, Result, Row, RowKey, RowVersion, Scan, Table, WriteId,
};

/// How many answers are remembered by write id.
const REMEMBERED_WRITES_MAX: usize = 100_000;

/// A transactional table that lives as long as its process.
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
    answers: HashMap<WriteId, CommitOutcome>,
    answer_order: VecDeque<WriteId>,
}

impl MemoryTable {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads a live row.
    pub fn get(&self, key: &str) -> Option<Row> {
        self.state()
            .rows
            .get(key)
            .filter(|row| row.value.is_some())
            .cloned()
    }

    /// Reads the rows under `prefix` that changed after `changed_after`.
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

    /// Applies a transaction; a repeated write id gets its first answer.
    pub fn apply(&self, commit: Commit) -> CommitOutcome {
        self.state().apply(commit)
    }
}

impl State {
    fn apply(&mut self, commit: Commit) -> CommitOutcome {
        if let Some(answer) = self.answers.get(&commit.write_id) {
            return answer.clone();
        }
        let answer = match self.failed_condition(&commit.conditions) {
            Some((key, version)) => CommitOutcome::Conflict { key, version },
            None => self.write(&commit),
        };
        self.remember(commit.write_id, answer.clone());
        answer
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

    fn remember(&mut self, write_id: WriteId, answer: CommitOutcome) {
        if write_id.is_empty() {
            return;
        }
        self.answers.insert(write_id.clone(), answer);
        self.answer_order.push_back(write_id);
        if self.answer_order.len() > REMEMBERED_WRITES_MAX {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
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
