//! The paths of one instance to the workers, and the store's rows as this instance sees them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use jackdawchute_cell::{
    Page, Result as StoreResult, RowChanges, Store, StoreRow, Transaction, TransactionOutcome,
};

use crate::{
    cell::StoreHandle,
    proxy::{spawn_proxy, ProxyFaults, RunningProxy},
    Result,
};

/// The proxies by which an instance reaches each worker.
pub(super) struct WorkerPaths(Vec<RunningProxy>);

impl WorkerPaths {
    /// Starts a proxy for each worker address.
    pub(super) async fn start(listen: SocketAddr, workers: &[SocketAddr]) -> Result<Self> {
        let mut paths = Vec::new();
        for worker in workers {
            paths.push(spawn_proxy(listen, Some(*worker)).await?);
        }
        Ok(Self(paths))
    }

    /// Returns the store with the addresses of these paths in place of those of `workers`.
    pub(super) fn store(&self, store: StoreHandle, workers: &[SocketAddr]) -> Arc<dyn Store> {
        let quoted = |address: &SocketAddr| format!("\"{address}\"");
        let own = self.0.iter().map(|path| quoted(&path.address));
        Arc::new(PathStore {
            store,
            addresses: workers.iter().map(quoted).zip(own).collect(),
        })
    }

    /// Sets the faults of the path to the worker with this index.
    pub(super) async fn set_faults(&self, worker: usize, faults: ProxyFaults) -> Result<()> {
        self.0[worker].set_faults(faults).await
    }
}

/// A store in whose rows an instance reads and writes the addresses of its own paths.
///
/// The rows that a leader saves have worker addresses too; without the translation its successor
/// would call workers by the paths of its predecessor.
struct PathStore {
    store: StoreHandle,
    /// The quoted addresses in the store's rows, and what the instance has in their place.
    addresses: Vec<(String, String)>,
}

impl PathStore {
    fn to_instance(&self, mut row: StoreRow) -> StoreRow {
        let addresses = self.addresses.iter().map(|(listed, own)| (listed, own));
        row.value = row.value.map(|value| replace_all(value, addresses));
        row
    }

    fn rows_to_instance(&self, rows: Vec<StoreRow>) -> Vec<StoreRow> {
        rows.into_iter().map(|row| self.to_instance(row)).collect()
    }
}

/// Replaces each first text of the pairs by the second; values other than UTF-8 stay as they are.
fn replace_all<'a>(
    value: Vec<u8>,
    pairs: impl Iterator<Item = (&'a String, &'a String)>,
) -> Vec<u8> {
    match String::from_utf8(value) {
        Ok(text) => pairs
            .fold(text, |text, (from, to)| text.replace(from, to))
            .into_bytes(),
        Err(other) => other.into_bytes(),
    }
}

#[async_trait]
impl Store for PathStore {
    async fn transact(&self, transaction: &Transaction) -> StoreResult<TransactionOutcome> {
        let mut transaction = transaction.clone();
        for write in &mut transaction.writes {
            let addresses = self.addresses.iter().map(|(listed, own)| (own, listed));
            let value = write.value.take();
            write.value = value.map(|value| replace_all(value, addresses));
        }
        let outcome = self.store.transact(&transaction).await?;
        Ok(match outcome {
            TransactionOutcome::Conflict { rows } => TransactionOutcome::Conflict {
                rows: self.rows_to_instance(rows),
            },
            committed => committed,
        })
    }

    async fn read(&self, table: &str, part: &str, from: Option<&str>) -> StoreResult<Page> {
        let page = self.store.read(table, part, from).await?;
        Ok(Page {
            rows: self.rows_to_instance(page.rows),
            ..page
        })
    }

    async fn follow(&self, table: &str, after: u64, wait: Duration) -> StoreResult<RowChanges> {
        Ok(match self.store.follow(table, after, wait).await? {
            RowChanges::Rows(rows, version) => {
                RowChanges::Rows(self.rows_to_instance(rows), version)
            }
            lost => lost,
        })
    }
}
