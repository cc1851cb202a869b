//! Follows the leader row in the store.

use std::sync::Arc;

use spdlog::error;
use xtra::{prelude::*, refcount::Weak};

use super::{ElectionTask, LeaderSeen};
use crate::{
    claim::LeaderRow,
    reachability::Reachability,
    rows::{LEADER_TABLE, PART, SOLE_KEY},
    settings::{FOLLOW_PAUSE, FOLLOW_WAIT},
    Result, RowChanges, Store, StoreRow,
};

/// Passes each change of the leader row on for as long as the task lives.
pub(super) async fn follow_leader(store: Arc<dyn Store>, task: Address<ElectionTask, Weak>) {
    let mut after: Option<u64> = None;
    let mut reachability = Reachability::new("leader row");
    while task.is_connected() {
        let news = match after {
            None => read_leader(store.as_ref()).await,
            Some(version) => next_leader(store.as_ref(), version).await,
        };
        reachability.note(news.is_ok());
        match news {
            Ok((rows, version)) => {
                after = version;
                let first = rows.is_empty();
                for row in rows {
                    if task.send(LeaderSeen(Some(row))).await.is_err() {
                        return;
                    }
                }
                if first && task.send(LeaderSeen(None)).await.is_err() {
                    return;
                }
            }
            Err(_) => {
                after = None;
                tokio::time::sleep(FOLLOW_PAUSE).await;
            }
        }
    }
}

type LeaderNews = (Vec<LeaderRow>, Option<u64>);

async fn read_leader(store: &dyn Store) -> Result<LeaderNews> {
    let page = store.read(LEADER_TABLE, PART, None).await?;
    Ok((leader_rows(page.rows), Some(page.version)))
}

async fn next_leader(store: &dyn Store, version: u64) -> Result<LeaderNews> {
    match store.follow(LEADER_TABLE, version, FOLLOW_WAIT).await? {
        RowChanges::Rows(rows, version) => Ok((leader_rows(rows), Some(version))),
        RowChanges::HistoryLost => Ok((Vec::new(), None)),
    }
}

fn leader_rows(rows: Vec<StoreRow>) -> Vec<LeaderRow> {
    let decode = |row: StoreRow| {
        let value = row.value.filter(|_| row.key == SOLE_KEY)?;
        match serde_json::from_slice(&value) {
            Ok(record) => Some(LeaderRow {
                record,
                version: row.version,
            }),
            Err(cause) => {
                error!("leader row does not decode", kv: { cause: = cause });
                None
            }
        }
    };
    rows.into_iter().filter_map(decode).collect()
}
