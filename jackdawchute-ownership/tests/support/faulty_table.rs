//! One instance's access to the table, with faults.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use async_trait::async_trait;
use jackdawchute_ports::{
    Commit, CommitOutcome, Error, MemoryTable, Result, Row, RowVersion, Scan, Table, WriteId,
};

/// What is wrong with an instance's access to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Calls work as usual.
    None,
    /// No call takes effect, and the caller knows it.
    Down,
    /// Commits take effect but their answers are lost; reads succeed.
    AnswersLost,
    /// Commits take effect but their answers are lost; reads fail.
    AnswersLostAndReadsFail,
    /// Commits do not take effect and their outcome is unknown; reads succeed.
    CommitsLost,
    /// Commits take effect only after this delay, and their outcome is unknown; reads succeed.
    CommitsLate(Duration),
    /// Calls take this much longer.
    Slow(Duration),
    /// Calls never return and do not take effect.
    Hang,
}

/// A table in memory behind a fault that can be changed at any time.
pub struct FaultyTable {
    pub table: Arc<MemoryTable>,
    fault: Mutex<Fault>,
    pub commits: AtomicU64,
    pub reads: AtomicU64,
    pub late_commits: Arc<AtomicU64>,
    pub bytes_written: AtomicU64,
}

impl FaultyTable {
    pub fn new(table: Arc<MemoryTable>) -> Self {
        Self {
            table,
            fault: Mutex::new(Fault::None),
            commits: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            late_commits: Arc::default(),
            bytes_written: AtomicU64::new(0),
        }
    }

    pub fn set(&self, fault: Fault) {
        *self.fault.lock().unwrap() = fault;
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap()
    }

    async fn apply_fault(&self, step: &'static str) -> Result<()> {
        match self.fault() {
            Fault::AnswersLostAndReadsFail if step != "commit" => Err(Error::Unavailable(
                step,
                "table".into(),
                "reads fail".into(),
            )),
            Fault::Down => Err(Error::Unavailable(step, "table".into(), "down".into())),
            Fault::Slow(delay) => {
                tokio::time::sleep(delay).await;
                Ok(())
            }
            Fault::Hang => std::future::pending().await,
            _ => Ok(()),
        }
    }

    fn count(&self, commit: &Commit) {
        self.commits.fetch_add(1, Ordering::Relaxed);
        let bytes = serde_json::to_string(commit).unwrap().len();
        self.bytes_written
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

fn outcome_unknown() -> Error {
    Error::Unknown("commit", "table".into(), "answer lost".into())
}

#[async_trait]
impl Table for FaultyTable {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        self.apply_fault("read").await?;
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(self.table.get(key))
    }

    async fn scan(&self, prefix: &str, changed_after: RowVersion) -> Result<Scan> {
        self.apply_fault("scan").await?;
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(self.table.changes(prefix, changed_after))
    }

    async fn commit(&self, mut commit: Commit) -> Result<CommitOutcome> {
        self.apply_fault("commit").await?;
        self.count(&commit);
        // A table that does not remember write ids is the harder case: conditions alone must make a
        // repeated commit harmless.
        commit.write_id = WriteId::default();
        match self.fault() {
            Fault::AnswersLost | Fault::AnswersLostAndReadsFail => {
                self.table.apply(commit);
                Err(outcome_unknown())
            }
            Fault::CommitsLost => Err(outcome_unknown()),
            Fault::CommitsLate(delay) => {
                let table = Arc::clone(&self.table);
                let arrived = Arc::clone(&self.late_commits);
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    table.apply(commit);
                    arrived.fetch_add(1, Ordering::Relaxed);
                });
                Err(outcome_unknown())
            }
            _ => Ok(self.table.apply(commit)),
        }
    }
}
