//! A wrapper of the table that counts the calls to it.

use std::sync::Arc;

use async_trait::async_trait;
use jackdawchute_ports::{Commit, CommitOutcome, Error, Result, Row, RowVersion, Scan, Table};

use crate::Metrics;

/// Passes calls on to a table and counts them by call and outcome.
pub(crate) struct CountedTable {
    table: Arc<dyn Table>,
    metrics: Metrics,
}

impl CountedTable {
    pub(crate) fn new(table: Arc<dyn Table>, metrics: Metrics) -> Self {
        Self { table, metrics }
    }

    fn count<T>(&self, call: &'static str, result: Result<T>) -> Result<T> {
        let outcome = match &result {
            Ok(_) => "answered",
            Err(Error::Unavailable(..)) => "unavailable",
            Err(Error::Unknown(..)) => "unknown",
            Err(Error::Rejected(..)) => "rejected",
            Err(Error::Protocol(..)) => "protocol",
            Err(Error::Fenced(..)) => "fenced",
        };
        self.metrics.table_call(call, outcome);
        result
    }
}

#[async_trait]
impl Table for CountedTable {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        self.count("read", self.table.read(key).await)
    }

    async fn scan(&self, prefix: &str, changed_after: RowVersion) -> Result<Scan> {
        self.count("scan", self.table.scan(prefix, changed_after).await)
    }

    async fn commit(&self, commit: Commit) -> Result<CommitOutcome> {
        self.count("commit", self.table.commit(commit).await)
    }
}
