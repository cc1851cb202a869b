//! Follows the leader row in the store, for the election task.

use std::sync::Arc;

use spdlog::error;
use xtra::{prelude::*, refcount::Weak};

use super::{
    handlers::{LeaderRowRead, StoreFailed},
    ElectionTask, LeaderRowReceived,
};
use crate::{
    claim::LeaderRow,
    reachability::Reachability,
    rows::{LEADER_TABLE, PART, SOLE_KEY},
    settings::{FOLLOW_PAUSE, FOLLOW_WAIT},
    Result, RowChanges, Store, StoreRow,
};

/// Sends each change of the leader row to the election task until that task ends.
pub(super) async fn follow_leader(store: Arc<dyn Store>, task: Address<ElectionTask, Weak>) {
    let mut after: Option<u64> = None;
    let mut reachability = Reachability::new("leader row");
    while task.is_connected() {
        let rows = match after {
            None => read_leader_rows(store.as_ref()).await,
            Some(version) => wait_for_leader_rows(store.as_ref(), version).await,
        };
        reachability.record(rows.is_ok());
        match rows {
            Ok((rows, version)) => {
                after = version;
                let unchanged = rows.is_empty();
                for row in rows {
                    if task.send(LeaderRowRead(row)).await.is_err() {
                        return;
                    }
                }
                if unchanged && task.send(LeaderRowReceived(None)).await.is_err() {
                    return;
                }
            }
            Err(_) => {
                after = None;
                if task.send(StoreFailed).await.is_err() {
                    return;
                }
                tokio::time::sleep(FOLLOW_PAUSE).await;
            }
        }
    }
}

/// Leader rows as read, and the version to follow the table from; `None` to read it anew.
type LeaderRows = (Vec<LeaderRow>, Option<u64>);

async fn read_leader_rows(store: &dyn Store) -> Result<LeaderRows> {
    let page = store.read(LEADER_TABLE, PART, None).await?;
    Ok((decode_rows(page.rows), Some(page.version)))
}

async fn wait_for_leader_rows(store: &dyn Store, version: u64) -> Result<LeaderRows> {
    match store.follow(LEADER_TABLE, version, FOLLOW_WAIT).await? {
        RowChanges::Rows(rows, version) => Ok((decode_rows(rows), Some(version))),
        RowChanges::HistoryLost => Ok((Vec::new(), None)),
    }
}

pub(super) fn decode_rows(rows: Vec<StoreRow>) -> Vec<LeaderRow> {
    let decode = |row: StoreRow| {
        let value = row.value.filter(|_| row.key == SOLE_KEY)?;
        match serde_json::from_slice(&value) {
            Ok(record) => Some(LeaderRow {
                record,
                version: row.version,
            }),
            Err(cause) => {
                error!("invalid leader row in the store", kv: { cause: = cause });
                None
            }
        }
    };
    rows.into_iter().filter_map(decode).collect()
}
