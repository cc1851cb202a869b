//! Functions that build what the tests use.

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

pub(crate) fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        ..Configuration::embedded().expect("the embedded configuration is valid")
    }
}

pub(crate) fn change(base: u64, author: &str) -> apply::Options {
    apply::Options {
        candidate: configuration(base),
        author: author.into(),
        reason: "a test".into(),
        write_id: format!("{author}-{base}").into(),
        written: UNIX_EPOCH + Duration::from_secs(1),
    }
}

pub(crate) fn class_exception(class: &str, set: Override) -> Exception {
    Exception {
        class: Some(class.into()),
        set,
        reason: "a test".into(),
        ..Exception::default()
    }
}

pub(crate) async fn table_at(version: u64) -> FaultyTable {
    let table = FaultyTable::default();
    for base in 0..version {
        let accepted = apply::apply(&table, change(base, "ana")).await;
        accepted.expect("nothing hinders the change");
    }
    table
}

/// What a call to the table meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// It has no effect and says so.
    Down,
    /// A commit takes effect and its answer is lost.
    AnswerLost,
    /// A commit has no effect, and its answer is lost.
    RequestLost,
}

/// A table whose next commits and reads fail as told.
#[derive(Debug, Default)]
pub(crate) struct FaultyTable {
    pub(crate) inner: MemoryTable,
    pub(crate) rows_read: AtomicUsize,
    down: AtomicU32,
    commits: Mutex<Vec<Fault>>,
    rival: Mutex<Option<apply::Options>>,
}

impl FaultyTable {
    pub(crate) fn set_down(&self, down: bool) {
        self.down.store(u32::from(down), Ordering::SeqCst);
    }

    /// The faults of the next commits, in order.
    pub(crate) fn set_commits(&self, faults: &[Fault]) {
        let mut commits = self.commits.lock().unwrap_or_else(PoisonError::into_inner);
        *commits = faults.iter().rev().copied().collect();
    }

    /// A change that another operator makes between the next read and its commit.
    pub(crate) fn set_rival(&self, rival: apply::Options) {
        *self.rival.lock().unwrap_or_else(PoisonError::into_inner) = Some(rival);
    }

    async fn let_rival_win(&self) {
        let rival = self
            .rival
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(rival) = rival {
            let accepted = apply::apply(&self.inner, rival).await;
            accepted.expect("nothing hinders the rival");
        }
    }

    fn check(&self, step: &'static str) -> Result<()> {
        if self.down.load(Ordering::SeqCst) == 0 {
            return Ok(());
        }
        Err(Error::Unavailable(step, "table".into(), "down".into()))
    }

    fn next_fault(&self) -> Fault {
        let mut commits = self.commits.lock().unwrap_or_else(PoisonError::into_inner);
        commits.pop().unwrap_or(Fault::None)
    }
}

#[async_trait]
impl Table for FaultyTable {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        self.check("read row")?;
        Ok(self.inner.get(key))
    }

    async fn scan(&self, prefix: &str, changed_after: RowVersion) -> Result<Scan> {
        self.check("scan rows")?;
        let scan = self.inner.changes(prefix, changed_after);
        self.rows_read.fetch_add(scan.rows.len(), Ordering::SeqCst);
        Ok(scan)
    }

    async fn commit(&self, commit: Commit) -> Result<CommitOutcome> {
        self.check("commit")?;
        self.let_rival_win().await;
        let lost = || Error::Unknown("commit", "table".into(), "connection reset".into());
        match self.next_fault() {
            Fault::None => Ok(self.inner.apply(commit)),
            Fault::Down => Err(Error::Unavailable("commit", "table".into(), "down".into())),
            Fault::AnswerLost => {
                self.inner.apply(commit);
                Err(lost())
            }
            Fault::RequestLost => Err(lost()),
        }
    }
}
