//! A table that fails on purpose, for one instance.

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

/// What is wrong with the way to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// No call has an effect, and the caller knows it.
    Down,
    /// Commits take effect and their answers are lost; reads work.
    AnswersLost,
    /// Commits take effect and their answers are lost; nothing can be read.
    Deaf,
    /// Commits have no effect yet and their answers are lost; reads work.
    CommitsLost,
    /// Commits take effect after the delay although their answers are lost; reads work.
    CommitsLate(Duration),
    /// Calls take this long.
    Slow(Duration),
    /// Calls never return, and have no effect.
    Hang,
}

/// One instance's way to the table.
pub struct FaultyTable {
    pub table: Arc<MemoryTable>,
    fault: Mutex<Fault>,
    pub commits: AtomicU64,
    pub reads: AtomicU64,
    pub arrived_late: Arc<AtomicU64>,
    pub bytes_written: AtomicU64,
}

impl FaultyTable {
    pub fn new(table: Arc<MemoryTable>) -> Self {
        Self {
            table,
            fault: Mutex::new(Fault::None),
            commits: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            arrived_late: Arc::default(),
            bytes_written: AtomicU64::new(0),
        }
    }

    pub fn set(&self, fault: Fault) {
        *self.fault.lock().unwrap() = fault;
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap()
    }

    async fn before(&self, step: &'static str) -> Result<()> {
        match self.fault() {
            Fault::Deaf if step != "commit" => {
                Err(Error::Unavailable(step, "table".into(), "deaf".into()))
            }
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

fn lost() -> Error {
    Error::Unknown("commit", "table".into(), "answer lost".into())
}

#[async_trait]
impl Table for FaultyTable {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        self.before("read").await?;
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(self.table.get(key))
    }

    async fn scan(&self, prefix: &str, changed_after: RowVersion) -> Result<Scan> {
        self.before("scan").await?;
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(self.table.changes(prefix, changed_after))
    }

    async fn commit(&self, mut commit: Commit) -> Result<CommitOutcome> {
        self.before("commit").await?;
        self.count(&commit);
        // A table that remembers no write ids is the harder one: its conditions must do.
        commit.write_id = WriteId::default();
        match self.fault() {
            Fault::AnswersLost | Fault::Deaf => {
                self.table.apply(commit);
                Err(lost())
            }
            Fault::CommitsLost => Err(lost()),
            Fault::CommitsLate(delay) => {
                let table = Arc::clone(&self.table);
                let arrived = Arc::clone(&self.arrived_late);
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    table.apply(commit);
                    arrived.fetch_add(1, Ordering::Relaxed);
                });
                Err(lost())
            }
            _ => Ok(self.table.apply(commit)),
        }
    }
}
