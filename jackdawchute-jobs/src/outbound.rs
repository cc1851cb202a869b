//! Calls that run outside the jobs task, and the messages that return their answers to it.

use std::{sync::Arc, time::Instant};

use jackdawchute_ownership::{Append, Error as JournalError, JournalEntry, Owner};
use jackdawchute_ports::{Error as PlatformError, StartOutcome, WorkerPort, WorkerReport};
use jackdawchute_types::{CallError, IncarnationId, Refusal, WorkerId};
use tokio::sync::{mpsc, oneshot};
use xtra::{prelude::*, WeakAddress};

use crate::{
    effect::{AfterAppend, AfterCall, Effect, Now, WorkerCall},
    home::HomeGroups,
    rack::RackGroups,
    task::JobsTask,
    Call, Incoming, OwnerCalls, Reply, TaskAttempt,
};

/// The handles that calls to owners and workers need.
pub(crate) struct Outbound {
    /// This incarnation; calls to it stay in this process.
    pub incarnation: IncarnationId,
    pub owner_calls: Arc<dyn OwnerCalls>,
    pub task: WeakAddress<JobsTask>,
}

/// An append to the journal, queued in the order of the decisions.
pub(crate) struct PendingAppend {
    pub entries: Vec<JournalEntry>,
    pub after: AfterAppend,
    pub task: WeakAddress<JobsTask>,
}

/// The result of an append.
pub(crate) struct AppendResult {
    entries: Vec<JournalEntry>,
    after: AfterAppend,
    result: Result<(), JournalError>,
}

/// The answer of an owner to a call.
pub(crate) struct OwnerAnswer {
    after: AfterCall,
    result: Result<Result<Reply, Refusal>, CallError>,
}

/// The answer of a worker to a call.
pub(crate) enum WorkerAnswer {
    Started(WorkerId, TaskAttempt, Result<StartOutcome, PlatformError>),
    /// `true` if the worker confirmed the stop.
    Stopped(WorkerId, TaskAttempt, bool),
    /// `None` if the call failed.
    Reported(WorkerId, Option<WorkerReport>),
}

/// Sends queued appends to the journal one after the other, without waiting for their results.
pub(crate) async fn send_appends(
    journal: MessageChannel<Append, ()>,
    mut queue: mpsc::UnboundedReceiver<PendingAppend>,
) {
    while let Some(pending) = queue.recv().await {
        let (reply, result) = oneshot::channel();
        let append = Append {
            entries: pending.entries.clone(),
            reply,
        };
        if journal.send(append).detach().await.is_err() {
            return;
        }
        tokio::spawn(report_append(pending, result));
    }
}

/// Sends the result of an append to the jobs task.
async fn report_append(
    pending: PendingAppend,
    result: oneshot::Receiver<Result<(), JournalError>>,
) {
    // A dropped reply means that the journal's task has ended, and with it this instance.
    if let (Ok(result), Some(task)) = (result.await, pending.task.try_upgrade()) {
        let appended = AppendResult {
            entries: pending.entries,
            after: pending.after,
            result,
        };
        let _ = task.send(appended).await;
    }
}

impl Outbound {
    /// Calls an owner and sends the answer to the jobs task.
    pub async fn call(&self, owner: Owner, call: Call, after: AfterCall) {
        let result = if owner.incarnation == self.incarnation {
            self.call_self(call).await
        } else {
            self.owner_calls.call(&owner, call).await
        };
        if let Some(task) = self.task.try_upgrade() {
            let _ = task.send(OwnerAnswer { after, result }).await;
        }
    }

    /// Sends a call to the jobs task of this process, as if a peer had made it.
    async fn call_self(&self, call: Call) -> Result<Result<Reply, Refusal>, CallError> {
        let (reply, result) = oneshot::channel();
        let no_answer = || CallError::Unknown("call own task", "self".into(), "no answer".into());
        let task = self.task.try_upgrade().ok_or_else(no_answer)?;
        let _ = task.send(Incoming { call, reply }).await;
        drop(task);
        result.await.map_err(|_| no_answer())
    }

    /// Answers a call to a worker whose address is not known, as it will never be sent.
    pub async fn refuse_worker_call(&self, worker: WorkerId, call: WorkerCall) {
        if !matches!(call, WorkerCall::Report) {
            spdlog::warn!("no address of worker {} is known", worker);
        }
        let answer = match call {
            WorkerCall::Start(start) => {
                let unavailable = PlatformError::Unavailable(
                    "start task",
                    worker.to_string(),
                    "no address is known".into(),
                );
                let id = TaskAttempt {
                    task: start.task,
                    attempt: start.attempt,
                };
                WorkerAnswer::Started(worker, id, Err(unavailable))
            }
            WorkerCall::Stop(id) => WorkerAnswer::Stopped(worker, id, false),
            WorkerCall::Report => WorkerAnswer::Reported(worker, None),
            WorkerCall::Renew(..) => return,
        };
        if let Some(task) = self.task.try_upgrade() {
            let _ = task.send(answer).await;
        }
    }

    /// Calls a worker and sends the answer to the jobs task, except for a renewal, whose effect the
    /// next report shows.
    pub async fn call_worker(&self, worker: WorkerId, port: Arc<dyn WorkerPort>, call: WorkerCall) {
        let answer = match call {
            WorkerCall::Start(start) => {
                let id = TaskAttempt {
                    task: start.task.clone(),
                    attempt: start.attempt,
                };
                let result = port.start(start).await;
                if let Err(error) = &result {
                    spdlog::warn!(
                        "cannot start task {} on worker {}: {}",
                        id.task,
                        worker,
                        error
                    );
                }
                WorkerAnswer::Started(worker, id, result)
            }
            WorkerCall::Stop(id) => {
                let stopped = port.stop(id.task.clone(), id.attempt).await.is_ok();
                WorkerAnswer::Stopped(worker, id, stopped)
            }
            WorkerCall::Report => WorkerAnswer::Reported(worker, port.report().await.ok()),
            WorkerCall::Renew(tasks, lease) => {
                let tasks = tasks.into_iter().map(|id| id.task).collect();
                if let Err(error) = port.renew(tasks, lease).await {
                    spdlog::warn!("cannot renew leases on worker {}: {}", worker, error);
                }
                return;
            }
        };
        if let Some(task) = self.task.try_upgrade() {
            let _ = task.send(answer).await;
        }
    }
}

impl AppendResult {
    /// Continues with the step that waited for the append.
    pub fn apply(self, homes: &mut HomeGroups, racks: &mut RackGroups, now: Now) -> Vec<Effect> {
        let result = self.result;
        match self.after {
            AfterAppend::Accepted(id) => homes.accepted(&id, result, now),
            AfterAppend::Cancelled(id) => homes.cancelled(&id, result, now),
            AfterAppend::Assigned(id, indices) => homes.assigned(&id, &indices, result, now),
            AfterAppend::Ended(call) => homes.ends_journaled(call, &self.entries, result),
            AfterAppend::Intents {
                call,
                rack,
                answers,
            } => racks.intents_journaled(call, &rack, answers, result.is_ok(), now.instant),
            AfterAppend::Lapsed(rack, ids) => {
                racks.lapses_journaled(&rack, &ids, result.is_ok(), now.instant)
            }
            AfterAppend::PredecessorNoted(rack) => {
                racks.predecessor_noted(&rack, result.is_ok());
                Vec::new()
            }
            AfterAppend::Nothing => Vec::new(),
        }
    }
}

impl OwnerAnswer {
    /// Continues with the step that waited for the answer.
    pub fn apply(self, homes: &mut HomeGroups, racks: &mut RackGroups, now: Now) -> Vec<Effect> {
        match (self.after, self.result) {
            (AfterCall::HoldAnswered(id, round), result) => {
                homes.hold_answered(&id, round, result, now)
            }
            (AfterCall::RackAnswered(epoch, ids), result) => {
                homes.rack_answered(epoch, &ids, result, now)
            }
            (AfterCall::EventsReported(events), Ok(Ok(Reply::Acknowledged))) => {
                racks.events_acknowledged(events, now.instant)
            }
            (AfterCall::EventsReported(_), _) => Vec::new(),
            (AfterCall::Nothing, result) => homes.rack_answered(0, &[], result, now),
        }
    }
}

impl WorkerAnswer {
    /// Applies the answer to the rack's state, then reports what changed to home owners.
    pub fn apply(self, racks: &mut RackGroups, now: Instant) -> Vec<Effect> {
        match self {
            Self::Started(worker, id, result) => {
                racks.started(&worker, &id, result, now);
                racks.report_events(now)
            }
            Self::Stopped(worker, id, stopped) => {
                racks.stopped(&worker, &id, stopped, now);
                racks.report_events(now)
            }
            Self::Reported(worker, report) => {
                let mut effects = racks.reported(&worker, report, now);
                effects.extend(racks.report_events(now));
                effects
            }
        }
    }
}
