//! The calls to the table and to peers, run outside of the task.

use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_ports::{
    Commit, CommitOutcome, Error as TableError, Result as TableResult, Row, RowKey, RowVersion,
    Table, WriteId,
};
use jackdawchute_types::{CallError, GroupId, IncarnationId};
use tokio::sync::oneshot;
use xtra::WeakAddress;

use crate::{
    effect::Effect,
    messages::{Call, PeerCalls, Reply},
    replay::{segments, Journals},
    rows::{
        decode, incarnation_key, journal_prefix, IncarnationRow, GROUP_PREFIX, INCARNATION_PREFIX,
    },
    task::OwnershipTask,
    view::{ScannedRows, Versioned},
};

/// The result of a call, as a message to the task.
#[derive(Debug)]
pub(crate) enum Finished {
    /// Of a commit.
    Commit(WriteId, TableResult<CommitOutcome>),
    /// The own row.
    OwnRow(WriteId, TableResult<Option<Versioned<IncarnationRow>>>),
    /// The changed rows.
    Scan(Option<ScannedRows>),
    /// The journals for these groups.
    Load(Vec<GroupId>, Option<Journals>),
    /// The rows of a journal.
    ListJournal(IncarnationId, Option<Vec<RowKey>>),
    /// A peer's answer about a commit.
    CallPeer {
        /// The peer.
        peer: IncarnationId,
        /// The commit.
        write_id: WriteId,
        /// When it was asked.
        asked: Instant,
        /// What it answered.
        answer: Result<Reply, CallError>,
    },
}

/// Asks the task for a promise not to fence a holder.
#[derive(Debug)]
pub(crate) struct AskHoldOff {
    /// The holder.
    pub holder: IncarnationId,
    /// Whether its commit may have taken effect.
    pub in_doubt: bool,
    /// Whom to answer.
    pub reply: oneshot::Sender<Reply>,
}

/// How many times a scan of both kinds of rows may take as long as one call; nothing waits for it.
const SCAN_TIMEOUT_FACTOR: u32 = 4;
/// How many times a call that reads a whole journal may take as long as another one.
const JOURNAL_TIMEOUT_FACTOR: u32 = 10;

/// An answer that does not come in time counts as lost.
async fn bounded<T>(
    step: &'static str,
    timeout: Duration,
    call: impl Future<Output = TableResult<T>>,
) -> TableResult<T> {
    let result = tokio::time::timeout(timeout, call).await;
    result.unwrap_or_else(|_| Err(lost(step)))
}

fn lost(step: &'static str) -> TableError {
    TableError::Unknown(step, "table".into(), "no answer in time".into())
}

/// Runs one call and sends its result to the task.
pub(crate) async fn run(effect: Effect, way: Way, task: WeakAddress<OwnershipTask>) {
    if let Effect::Commit(commit) = effect {
        return send_commit(commit, way, task).await;
    }
    if let Some(finished) = ask(effect, way).await {
        let _ = task.send(finished).detach().await;
    }
}

/// Where calls go.
pub(crate) struct Way {
    /// The own incarnation.
    pub me: IncarnationId,
    /// The table.
    pub table: Arc<dyn Table>,
    /// The peers.
    pub peers: Arc<dyn PeerCalls>,
    /// How long an answer may take.
    pub timeout: Duration,
}

/// Sends a commit. An answer out of time counts as lost, and is told all the same when it comes,
/// so that a table which is slower than the timeout still takes commits.
async fn send_commit(commit: Commit, way: Way, task: WeakAddress<OwnershipTask>) {
    let write_id = commit.write_id.clone();
    let mut call = way.table.commit(commit);
    let (result, is_lost) = match tokio::time::timeout(way.timeout, &mut call).await {
        Ok(result) => (result, false),
        Err(_) => (Err(lost("commit")), true),
    };
    let finished = Finished::Commit(write_id.clone(), result);
    let _ = task.send(finished).detach().await;
    if is_lost {
        if let Ok(outcome) = call.await {
            let finished = Finished::Commit(write_id, Ok(outcome));
            let _ = task.send(finished).detach().await;
        }
    }
}

/// Runs one call that only asks; `None` if nothing waits for its result.
async fn ask(effect: Effect, way: Way) -> Option<Finished> {
    let Way {
        me,
        table,
        peers,
        timeout,
    } = way;
    match effect {
        Effect::ReadOwnRow(write_id) => {
            let row = bounded("read own row", timeout, table.read(&incarnation_key(&me))).await;
            Some(Finished::OwnRow(write_id, row.and_then(own_row)))
        }
        Effect::Scan {
            incarnations_after,
            groups_after,
        } => {
            let scan = scan(table, incarnations_after, groups_after);
            let changes = bounded("scan", timeout * SCAN_TIMEOUT_FACTOR, scan).await;
            Some(Finished::Scan(changes.ok()))
        }
        Effect::Load { groups, sources } => {
            let load = load(table, sources);
            let journals = bounded("read journals", timeout * JOURNAL_TIMEOUT_FACTOR, load).await;
            Some(Finished::Load(groups, journals.ok()))
        }
        Effect::ListJournal(incarnation) => {
            let prefix = journal_prefix(&incarnation);
            let scan = table.scan(&prefix, 0);
            let scan = bounded("list journal", timeout * JOURNAL_TIMEOUT_FACTOR, scan).await;
            let keys = scan
                .ok()
                .map(|scan| scan.rows.into_iter().map(|row| row.key).collect());
            Some(Finished::ListJournal(incarnation, keys))
        }
        Effect::CallPeer {
            peer,
            address,
            call,
        } => {
            let write_id = match &call {
                Call::ForwardCommit { commit, .. } => Some(commit.write_id.clone()),
                Call::RowsChanged | Call::Announce { .. } => None,
            };
            let asked = Instant::now();
            let lost =
                || CallError::Unknown("call", address.to_string(), "no answer in time".into());
            // The peer waits for the table as long as this instance would.
            let answer = tokio::time::timeout(timeout * 2, peers.call(address, call)).await;
            let answer = answer.unwrap_or_else(|_| Err(lost()));
            write_id.map(|write_id| Finished::CallPeer {
                peer,
                write_id,
                asked,
                answer,
            })
        }
        Effect::Commit(..)
        | Effect::Answer(..)
        | Effect::DropAppend(..)
        | Effect::Publish(..)
        | Effect::HandedOver(..) => None,
    }
}

fn own_row(row: Option<Row>) -> TableResult<Option<Versioned<IncarnationRow>>> {
    let Some(row) = row else {
        return Ok(None);
    };
    let content = row.value.as_deref().and_then(decode::<IncarnationRow>);
    let damaged = || TableError::Protocol("read own row", row.key.to_string(), "not a row".into());
    Ok(Some(Versioned {
        version: row.version,
        row: Some(content.ok_or_else(damaged)?),
    }))
}

/// Reads incarnations before groups, so that a group's new owner is known with it or before it.
async fn scan(
    table: Arc<dyn Table>,
    incarnations_after: RowVersion,
    groups_after: RowVersion,
) -> TableResult<ScannedRows> {
    Ok(ScannedRows {
        incarnations: table.scan(INCARNATION_PREFIX, incarnations_after).await?,
        groups: table.scan(GROUP_PREFIX, groups_after).await?,
    })
}

async fn load(table: Arc<dyn Table>, sources: Vec<IncarnationId>) -> TableResult<Journals> {
    let mut journals = Journals::new();
    for incarnation in sources {
        let scan = table.scan(&journal_prefix(&incarnation), 0).await?;
        let damaged = || {
            let journal = incarnation.to_string();
            TableError::Protocol("read journal", journal, "not a segment".into())
        };
        let segments = segments(&incarnation, &scan).ok_or_else(damaged)?;
        journals.insert(incarnation, segments);
    }
    Ok(journals)
}

/// Brings a peer's commit to the table; without the table, answers with a promise.
pub(crate) async fn forward(
    table: Arc<dyn Table>,
    task: WeakAddress<OwnershipTask>,
    holder: IncarnationId,
    commit: Commit,
    reply: oneshot::Sender<Reply>,
    timeout: Duration,
) {
    let result = bounded("carry commit", timeout, table.commit(commit)).await;
    match result {
        Ok(outcome @ CommitOutcome::Committed { .. }) => {
            let _ = reply.send(Reply::CommitForwarded { outcome, row: None });
        }
        Ok(outcome) => {
            let row = table.read(&incarnation_key(&holder)).await.ok().flatten();
            let _ = reply.send(Reply::CommitForwarded { outcome, row });
        }
        Err(error) => {
            let in_doubt = !matches!(error, TableError::Unavailable(..));
            let ask = AskHoldOff {
                holder,
                in_doubt,
                reply,
            };
            let _ = task.send(ask).detach().await;
        }
    }
}
