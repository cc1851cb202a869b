//! Appends commits to the cell's chain, one at a time.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::CommitBatch;
use jackdawchute_types::Epoch;
use spdlog::{error, warn};
use tokio::sync::watch;

use crate::{
    calls::SentAt,
    rows::{encode, table_name, HeadRecord, HEAD_TABLE, PART, SOLE_KEY},
    settings::COMMIT_PAUSE,
    Error, Metrics, Store, Transaction, TransactionOutcome, Write,
};

/// The end of the chain, as the leader last wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) epoch: Epoch,
    /// The number of commits in this epoch, without the claim.
    pub(crate) commits: u64,
    /// The version of the head row, which the next commit expects.
    pub(crate) version: u64,
    /// Whether no leader of an earlier epoch has authority any more.
    pub(crate) settled: bool,
}

/// Another instance has claimed a later epoch, so that this one cannot commit any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fenced;

/// Returns the transaction that appends a batch after `head`.
pub(crate) fn transaction(head: Head, batch: &CommitBatch) -> Transaction {
    let record = HeadRecord {
        epoch: head.epoch,
        commits: head.commits + 1,
        settled: head.settled,
    };
    let mut writes = vec![Write {
        table: HEAD_TABLE.into(),
        key: SOLE_KEY.into(),
        value: Some(encode(&record)),
    }];
    writes.extend(batch.changes.iter().map(|change| Write {
        table: table_name(change.table).into(),
        key: change.key.clone(),
        value: change.value.clone(),
    }));
    Transaction {
        part: PART.into(),
        expected: vec![(HEAD_TABLE.into(), SOLE_KEY.into(), head.version)],
        writes,
    }
}

/// Returns the end of the chain after an attempt to append to `head`.
pub(crate) fn appended_head(head: Head, outcome: TransactionOutcome) -> Result<Head, Fenced> {
    let next = Head {
        commits: head.commits + 1,
        ..head
    };
    match outcome {
        TransactionOutcome::Committed { version } => Ok(Head { version, ..next }),
        TransactionOutcome::Conflict { rows } => {
            let row = rows.into_iter().find(|row| row.table == HEAD_TABLE);
            let row = row.ok_or(Fenced)?;
            let record: Option<HeadRecord> = row
                .value
                .as_deref()
                .and_then(|value| serde_json::from_slice(value).ok());
            let expected = HeadRecord {
                epoch: next.epoch,
                commits: next.commits,
                settled: head.settled,
            };
            // An earlier attempt took effect, and its answer was lost.
            if record == Some(expected) {
                return Ok(Head {
                    version: row.version,
                    ..next
                });
            }
            Err(Fenced)
        }
    }
}

/// A batch that was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Appended {
    /// The end of the chain after it.
    pub(crate) head: Head,
    /// When the attempt was sent that the store answered, and so confirmed the epoch.
    pub(crate) sent_at: SentAt,
    /// The time from that attempt to the store's answer.
    pub(crate) store_took: Duration,
}

/// Why a batch was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotAppended {
    /// Another instance has claimed a later epoch.
    Fenced,
    /// The store refused all attempts; none has taken effect or will do so later.
    Unavailable,
    /// The store takes no such transaction, now or later.
    Rejected,
}

/// Appends a batch after `head`, and repeats the attempt until its outcome is known.
///
/// All attempts send the same transaction, whose condition lets it take effect once at most. They
/// end without a commit only if the store has refused each of them for `outage_max`: an attempt
/// without an answer may take effect later; or if the store rejects the transaction itself. After
/// an attempt without an answer, a rejection ends the epoch, as a later leader reads in the rows
/// what took effect. `outage_since` is set from the first failure on until
/// the store answers.
pub(crate) async fn append(
    store: Arc<dyn Store>,
    head: Head,
    batch: &CommitBatch,
    outage_max: Duration,
    outage_since: &watch::Sender<Option<Instant>>,
    metrics: &Metrics,
) -> Result<Appended, NotAppended> {
    let transaction = transaction(head, batch);
    let started_at = Instant::now();
    let mut outcome_unknown = false;
    let mut tries: u32 = 0;
    loop {
        let sent = SentAt::now();
        let sent_at = sent.at;
        match store.transact(&transaction).await {
            Ok(outcome) => {
                metrics.committed(sent_at.elapsed(), transaction.writes.len());
                if outage_since.send_replace(None).is_some() {
                    warn!("store outage ended", kv: { tries = tries });
                }
                let store_took = sent_at.elapsed();
                return appended_head(head, outcome)
                    .map(|head| Appended {
                        head,
                        sent_at: sent,
                        store_took,
                    })
                    .map_err(|Fenced| NotAppended::Fenced);
            }
            Err(error @ Error::Rejected(..)) => {
                metrics.commit_rejected();
                outage_since.send_replace(None);
                error!("commit rejected by the store", kv: {
                    epoch = head.epoch, commits = head.commits, rows = transaction.writes.len(),
                    outcome_unknown = outcome_unknown, cause: = error
                });
                return Err(match outcome_unknown {
                    true => NotAppended::Fenced,
                    false => NotAppended::Rejected,
                });
            }
            Err(error) => {
                metrics.commit_failed();
                outcome_unknown |= !matches!(error, Error::Unavailable(..));
                if outage_since.borrow().is_none() {
                    warn!("commit failed", kv: {
                        epoch = head.epoch, commits = head.commits, cause: = error
                    });
                    outage_since.send_replace(Some(sent_at));
                }
                tries += 1;
                if !outcome_unknown && started_at.elapsed() >= outage_max {
                    return Err(NotAppended::Unavailable);
                }
                tokio::time::sleep(COMMIT_PAUSE * tries.min(4)).await;
            }
        }
    }
}
