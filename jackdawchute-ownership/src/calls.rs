//! The calls to the table and to peers, which run in tokio tasks of their own.

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

/// The result of a call, sent as a message to the ownership task.
#[derive(Debug)]
pub(crate) enum CallFinished {
    /// The table's answer to a commit.
    Commit(WriteId, TableResult<CommitOutcome>),
    /// This incarnation's row, read for the commit with this write id.
    OwnRow(WriteId, TableResult<Option<Versioned<IncarnationRow>>>),
    /// The changed rows; `None` if the scan failed.
    Scan(Option<ScannedRows>),
    /// The journals for these groups; `None` if they could not be read.
    LoadJournals(Vec<GroupId>, Option<Journals>),
    /// The keys of the rows in an incarnation's journal; `None` if they could not be read.
    ListJournal(IncarnationId, Option<Vec<RowKey>>),
    /// A peer's answer to a call that forwards a commit.
    CallPeer {
        /// The peer that was called.
        peer: IncarnationId,
        /// The write id of the commit.
        write_id: WriteId,
        /// When the call was sent; a promise counts from here.
        asked_at: Instant,
        /// The answer, or why there is none.
        answer: Result<Reply, CallError>,
    },
}

/// Asks the ownership task for a promise not to fence a holder, after a failed forward.
#[derive(Debug)]
pub(crate) struct RequestPromise {
    /// The holder whose commit was to be forwarded.
    pub holder: IncarnationId,
    /// Whether the outcome of its commit is unknown.
    pub outcome_unknown: bool,
    /// Receives the answer to the holder's call.
    pub reply: oneshot::Sender<Reply>,
}

/// How many times the timeout of one call a scan of both kinds of rows may take; no append waits
/// for it.
const SCAN_TIMEOUT_FACTOR: u32 = 4;
/// How many times the timeout of one call a read of whole journals may take.
const JOURNAL_TIMEOUT_FACTOR: u32 = 10;

/// Runs a call to the table; an answer that does not come in time counts as lost.
async fn with_timeout<T>(
    step: &'static str,
    timeout: Duration,
    call: impl Future<Output = TableResult<T>>,
) -> TableResult<T> {
    let result = tokio::time::timeout(timeout, call).await;
    result.unwrap_or_else(|_| Err(timed_out(step)))
}

fn timed_out(step: &'static str) -> TableError {
    TableError::Unknown(step, "table".into(), "no answer in time".into())
}

/// Runs one call and sends its result to the ownership task.
pub(crate) async fn run(effect: Effect, targets: CallTargets, task: WeakAddress<OwnershipTask>) {
    if let Effect::Commit(commit) = effect {
        return send_commit(commit, targets, task).await;
    }
    if let Some(finished) = execute(effect, targets).await {
        let _ = task.send(finished).detach().await;
    }
}

/// What calls need: the table, the peers and the timeout.
pub(crate) struct CallTargets {
    /// The id of this incarnation.
    pub me: IncarnationId,
    /// The table service.
    pub table: Arc<dyn Table>,
    /// Sends calls to other instances.
    pub peers: Arc<dyn PeerCalls>,
    /// How long one call to the table may take.
    pub call_timeout: Duration,
}

/// Sends a commit. At the timeout its answer is reported as lost; if it still arrives later, it is
/// reported too, so that commits succeed on a table that is slower than the timeout.
async fn send_commit(commit: Commit, targets: CallTargets, task: WeakAddress<OwnershipTask>) {
    let write_id = commit.write_id.clone();
    let mut call = targets.table.commit(commit);
    let (result, is_lost) = match tokio::time::timeout(targets.call_timeout, &mut call).await {
        Ok(result) => (result, false),
        Err(_) => (Err(timed_out("commit")), true),
    };
    let finished = CallFinished::Commit(write_id.clone(), result);
    let _ = task.send(finished).detach().await;
    if is_lost {
        if let Ok(outcome) = call.await {
            let finished = CallFinished::Commit(write_id, Ok(outcome));
            let _ = task.send(finished).detach().await;
        }
    }
}

/// Runs one call other than a commit; `None` if the task needs no result.
async fn execute(effect: Effect, targets: CallTargets) -> Option<CallFinished> {
    let CallTargets {
        me,
        table,
        peers,
        call_timeout,
    } = targets;
    match effect {
        Effect::ReadOwnRow(write_id) => {
            let row = with_timeout(
                "read own row",
                call_timeout,
                table.read(&incarnation_key(&me)),
            )
            .await;
            Some(CallFinished::OwnRow(write_id, row.and_then(parse_own_row)))
        }
        Effect::Scan {
            incarnations_after,
            groups_after,
        } => {
            let scan = scan_rows(table, incarnations_after, groups_after);
            let rows = with_timeout("scan", call_timeout * SCAN_TIMEOUT_FACTOR, scan).await;
            Some(CallFinished::Scan(rows.ok()))
        }
        Effect::LoadJournals { groups, sources } => {
            let load = load_journals(table, sources);
            let journals =
                with_timeout("read journals", call_timeout * JOURNAL_TIMEOUT_FACTOR, load).await;
            Some(CallFinished::LoadJournals(groups, journals.ok()))
        }
        Effect::ListJournal(incarnation) => {
            let prefix = journal_prefix(&incarnation);
            let scan = table.scan(&prefix, 0);
            let scan =
                with_timeout("list journal", call_timeout * JOURNAL_TIMEOUT_FACTOR, scan).await;
            let keys = scan
                .ok()
                .map(|scan| scan.rows.into_iter().map(|row| row.key).collect());
            Some(CallFinished::ListJournal(incarnation, keys))
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
            let asked_at = Instant::now();
            let lost =
                || CallError::Unknown("call", address.to_string(), "no answer in time".into());
            // A peer that forwards a commit waits for the table as long as this instance would.
            let answer = tokio::time::timeout(call_timeout * 2, peers.call(address, call)).await;
            let answer = answer.unwrap_or_else(|_| Err(lost()));
            write_id.map(|write_id| CallFinished::CallPeer {
                peer,
                write_id,
                asked_at,
                answer,
            })
        }
        Effect::Commit(..)
        | Effect::AnswerAppend(..)
        | Effect::DropAppend(..)
        | Effect::Publish(..)
        | Effect::AnswerHandOvers(..) => None,
    }
}

fn parse_own_row(row: Option<Row>) -> TableResult<Option<Versioned<IncarnationRow>>> {
    let Some(row) = row else {
        return Ok(None);
    };
    let content = row.value.as_deref().and_then(decode::<IncarnationRow>);
    let damaged = || {
        TableError::Protocol(
            "read own row",
            row.key.to_string(),
            "not an incarnation row".into(),
        )
    };
    Ok(Some(Versioned {
        version: row.version,
        row: Some(content.ok_or_else(damaged)?),
    }))
}

/// Reads incarnations before groups, so that the row of a group's new owner is read with the group
/// or before it.
async fn scan_rows(
    table: Arc<dyn Table>,
    incarnations_after: RowVersion,
    groups_after: RowVersion,
) -> TableResult<ScannedRows> {
    Ok(ScannedRows {
        incarnations: table.scan(INCARNATION_PREFIX, incarnations_after).await?,
        groups: table.scan(GROUP_PREFIX, groups_after).await?,
    })
}

async fn load_journals(
    table: Arc<dyn Table>,
    sources: Vec<IncarnationId>,
) -> TableResult<Journals> {
    let mut journals = Journals::new();
    for incarnation in sources {
        let scan = table.scan(&journal_prefix(&incarnation), 0).await?;
        let damaged = || {
            let journal = incarnation.to_string();
            TableError::Protocol("read journal", journal, "a row is not a segment".into())
        };
        let segments = segments(&incarnation, &scan).ok_or_else(damaged)?;
        journals.insert(incarnation, segments);
    }
    Ok(journals)
}

/// Forwards a peer's commit to the table; if the table gives no usable answer, the ownership task
/// answers the peer, with a promise if it can give one.
pub(crate) async fn forward(
    table: Arc<dyn Table>,
    task: WeakAddress<OwnershipTask>,
    holder: IncarnationId,
    commit: Commit,
    reply: oneshot::Sender<Reply>,
    timeout: Duration,
) {
    let result = with_timeout("forward commit", timeout, table.commit(commit)).await;
    match result {
        Ok(outcome @ CommitOutcome::Committed { .. }) => {
            let _ = reply.send(Reply::CommitForwarded { outcome, row: None });
        }
        Ok(outcome) => {
            let row = table.read(&incarnation_key(&holder)).await.ok().flatten();
            let _ = reply.send(Reply::CommitForwarded { outcome, row });
        }
        Err(error) => {
            let outcome_unknown = !matches!(error, TableError::Unavailable(..));
            let request = RequestPromise {
                holder,
                outcome_unknown,
                reply,
            };
            let _ = task.send(request).detach().await;
        }
    }
}
