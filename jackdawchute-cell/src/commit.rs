//! Extends the cell's chain of commits, one at a time.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::CommitBatch;
use jackdawchute_types::Epoch;
use spdlog::warn;
use tokio::sync::watch;

use crate::{
    rows::{encode, table, HeadRecord, HEAD_TABLE, PART, SOLE_KEY},
    settings::COMMIT_PAUSE,
    Error, Metrics, Store, Transaction, TransactionOutcome, Write,
};

/// Where the chain ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) epoch: Epoch,
    pub(crate) commits: u64,
    pub(crate) version: u64,
}

/// Another instance has taken the chain over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fenced;

/// The transaction that appends a batch after `head`.
pub(crate) fn transaction(head: Head, batch: &CommitBatch) -> Transaction {
    let record = HeadRecord {
        epoch: head.epoch,
        commits: head.commits + 1,
    };
    let mut writes = vec![Write {
        table: HEAD_TABLE.into(),
        key: SOLE_KEY.into(),
        value: Some(encode(&record)),
    }];
    writes.extend(batch.changes.iter().map(|change| Write {
        table: table(change.table).into(),
        key: change.key.clone(),
        value: change.value.clone(),
    }));
    Transaction {
        part: PART.into(),
        expected: vec![(HEAD_TABLE.into(), SOLE_KEY.into(), head.version)],
        writes,
    }
}

/// Reads where the chain ends after a try to append to `head`.
pub(crate) fn outcome(head: Head, transacted: TransactionOutcome) -> Result<Head, Fenced> {
    let next = Head {
        commits: head.commits + 1,
        ..head
    };
    match transacted {
        TransactionOutcome::Committed { version } => Ok(Head { version, ..next }),
        TransactionOutcome::Conflict { rows } => {
            let row = rows.into_iter().find(|row| row.table == HEAD_TABLE);
            let row = row.ok_or(Fenced)?;
            let record: Option<HeadRecord> = row
                .value
                .as_deref()
                .and_then(|value| serde_json::from_slice(value).ok());
            let own = HeadRecord {
                epoch: next.epoch,
                commits: next.commits,
            };
            // An earlier try took effect, and its answer was lost.
            if record == Some(own) {
                return Ok(Head {
                    version: row.version,
                    ..next
                });
            }
            Err(Fenced)
        }
    }
}

/// Why a batch was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotAppended {
    /// Another instance has taken the chain over.
    Fenced,
    /// No try had an effect, and none will have one later.
    Refused,
}

/// Appends a batch.
///
/// The same transaction is repeated, as its condition lets it take effect once at most. It is given
/// up only if the store has refused every try for `patience`: a try without an answer may take
/// effect later.
pub(crate) async fn append(
    store: Arc<dyn Store>,
    head: Head,
    batch: &CommitBatch,
    patience: Duration,
    trouble: &watch::Sender<Option<Instant>>,
    metrics: &Metrics,
) -> Result<Head, NotAppended> {
    let transaction = transaction(head, batch);
    let began_at = Instant::now();
    let mut open = false;
    let mut tries: u32 = 0;
    loop {
        let asked_at = Instant::now();
        match store.transact(&transaction).await {
            Ok(transacted) => {
                metrics.committed(asked_at.elapsed(), transaction.writes.len());
                if trouble.send_replace(None).is_some() {
                    warn!("store answers again", kv: { tries = tries });
                }
                return outcome(head, transacted).map_err(|Fenced| NotAppended::Fenced);
            }
            Err(error) => {
                metrics.commit_failed();
                open |= !matches!(error, Error::Unavailable(..));
                if trouble.borrow().is_none() {
                    warn!("commit failed", kv: {
                        epoch = head.epoch, commits = head.commits, cause: = error
                    });
                    trouble.send_replace(Some(asked_at));
                }
                tries += 1;
                if !open && began_at.elapsed() >= patience {
                    return Err(NotAppended::Refused);
                }
                tokio::time::sleep(COMMIT_PAUSE * tries.min(4)).await;
            }
        }
    }
}
