//! Functions that build configurations and changes, and a table that fails on request.

use std::{
    sync::{
        atomic::{AtomicU32, AtomicUsize, Ordering},
        Mutex, PoisonError,
    },
    time::{Duration, UNIX_EPOCH},
};

use async_trait::async_trait;
use jackdawchute_configuration::{apply, Configuration, Exception, Override};
use jackdawchute_ports::{
    Commit, CommitOutcome, Error, MemoryTable, Result, Row, RowVersion, Scan, Table,
};

/// Returns the embedded configuration with another version.
pub(crate) fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        ..Configuration::embedded().expect("the embedded document passes its checks")
    }
}

/// Returns a change by `author` of the accepted version `base_version`.
pub(crate) fn change(base_version: u64, author: &str) -> apply::Options {
    apply::Options {
        candidate: configuration(base_version),
        author: author.into(),
        reason: "a test".into(),
        write_id: format!("{author}-{base_version}").into(),
        written: UNIX_EPOCH + Duration::from_secs(1),
    }
}

/// Returns an exception that sets values for a class.
pub(crate) fn class_exception(class: &str, set: Override) -> Exception {
    Exception {
        class: Some(class.into()),
        set,
        reason: "a test".into(),
        ..Exception::default()
    }
}

/// Returns a table in which changes by `ana` led to `version`.
pub(crate) async fn table_at(version: u64) -> FaultyTable {
    let table = FaultyTable::default();
    for base_version in 0..version {
        let accepted = apply::apply(&table, change(base_version, "ana")).await;
        accepted.expect("the table has no fault, and the change is made from its version");
    }
    table
}

/// How a commit fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The commit takes effect and is answered.
    None,
    /// The commit has no effect, and the answer says so.
    Down,
    /// The commit takes effect, but its answer is lost.
    AnswerLost,
    /// The commit has no effect, and no answer says so.
    RequestLost,
}

/// An in-memory table whose calls fail as a test sets it.
#[derive(Debug, Default)]
pub(crate) struct FaultyTable {
    /// The table without faults.
    pub(crate) inner: MemoryTable,
    /// The number of rows that all scans returned.
    pub(crate) rows_scanned: AtomicUsize,
    down: AtomicU32,
    /// The faults of the next commits, in reverse order.
    commit_faults: Mutex<Vec<Fault>>,
    rival_change: Mutex<Option<apply::Options>>,
}

impl FaultyTable {
    /// Sets whether every call fails without effect.
    pub(crate) fn set_down(&self, down: bool) {
        self.down.store(u32::from(down), Ordering::SeqCst);
    }

    /// Sets the faults of the next commits, in order; later ones have none.
    pub(crate) fn set_commit_faults(&self, faults: &[Fault]) {
        let mut commit_faults = self
            .commit_faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *commit_faults = faults.iter().rev().copied().collect();
    }

    /// Sets a change that another operator makes just before the next commit.
    pub(crate) fn set_rival_change(&self, rival: apply::Options) {
        *self
            .rival_change
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(rival);
    }

    async fn apply_rival_change(&self) {
        let rival = self
            .rival_change
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(rival) = rival {
            let accepted = apply::apply(&self.inner, rival).await;
            accepted.expect("the rival's change is made from the accepted version");
        }
    }

    fn fail_if_down(&self, step: &'static str) -> Result<()> {
        if self.down.load(Ordering::SeqCst) == 0 {
            return Ok(());
        }
        Err(Error::Unavailable(step, "table".into(), "down".into()))
    }

    fn next_commit_fault(&self) -> Fault {
        let mut commit_faults = self
            .commit_faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        commit_faults.pop().unwrap_or(Fault::None)
    }
}

#[async_trait]
impl Table for FaultyTable {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        self.fail_if_down("read row")?;
        Ok(self.inner.get(key))
    }

    async fn scan(&self, prefix: &str, changed_after: RowVersion) -> Result<Scan> {
        self.fail_if_down("scan rows")?;
        let scan = self.inner.changes(prefix, changed_after);
        self.rows_scanned
            .fetch_add(scan.rows.len(), Ordering::SeqCst);
        Ok(scan)
    }

    async fn commit(&self, commit: Commit) -> Result<CommitOutcome> {
        self.fail_if_down("commit")?;
        self.apply_rival_change().await;
        let unknown = || Error::Unknown("commit", "table".into(), "connection reset".into());
        match self.next_commit_fault() {
            Fault::None => Ok(self.inner.apply(commit)),
            Fault::Down => Err(Error::Unavailable("commit", "table".into(), "down".into())),
            Fault::AnswerLost => {
                self.inner.apply(commit);
                Err(unknown())
            }
            Fault::RequestLost => Err(unknown()),
        }
    }
}
