//! Calls that the task has made for it, and the messages that bring their answers back.

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

/// What calls need.
pub(crate) struct Outbound {
    pub incarnation: IncarnationId,
    pub owner_calls: Arc<dyn OwnerCalls>,
    pub task: WeakAddress<JobsTask>,
}

/// Entries on their way to the journal; they keep their order.
pub(crate) struct PendingAppend {
    pub entries: Vec<JournalEntry>,
    pub after: AfterAppend,
    pub task: WeakAddress<JobsTask>,
}

/// The journal's answer.
pub(crate) struct Appended {
    entries: Vec<JournalEntry>,
    after: AfterAppend,
    result: Result<(), JournalError>,
}

/// Another owner's answer.
pub(crate) struct Answered {
    after: AfterCall,
    result: Result<Result<Reply, Refusal>, CallError>,
}

/// A worker's answer.
pub(crate) enum WorkerAnswer {
    Started(WorkerId, TaskAttempt, Result<StartOutcome, PlatformError>),
    Stopped(WorkerId, TaskAttempt, bool),
    Reported(WorkerId, Option<WorkerReport>),
}

/// Hands entries to the journal in the order of the decisions.
pub(crate) async fn forward_appends(
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
        tokio::spawn(bring_back(pending, result));
    }
}

async fn bring_back(pending: PendingAppend, result: oneshot::Receiver<Result<(), JournalError>>) {
    // Without an answer the journal's task has ended, and with it this instance.
    if let (Ok(result), Some(task)) = (result.await, pending.task.try_upgrade()) {
        let appended = Appended {
            entries: pending.entries,
            after: pending.after,
            result,
        };
        let _ = task.send(appended).await;
    }
}

impl Outbound {
    /// Calls an owner and brings the answer back.
    pub async fn call(&self, owner: Owner, call: Call, after: AfterCall) {
        let result = if owner.incarnation == self.incarnation {
            self.call_self(call).await
        } else {
            self.owner_calls.call(&owner, call).await
        };
        if let Some(task) = self.task.try_upgrade() {
            let _ = task.send(Answered { after, result }).await;
        }
    }

    async fn call_self(&self, call: Call) -> Result<Result<Reply, Refusal>, CallError> {
        let (reply, result) = oneshot::channel();
        let lost = || CallError::Unknown("call own task", "self".into(), "no answer".into());
        let task = self.task.try_upgrade().ok_or_else(lost)?;
        let _ = task.send(Incoming { call, reply }).await;
        drop(task);
        result.await.map_err(|_| lost())
    }

    /// Calls a worker and brings the answer back.
    pub async fn call_worker(&self, worker: WorkerId, port: Arc<dyn WorkerPort>, call: WorkerCall) {
        let answer = match call {
            WorkerCall::Start(start) => {
                let id = TaskAttempt {
                    task: start.task.clone(),
                    attempt: start.attempt,
                };
                let result = port.start(start).await;
                if let Err(error) = &result {
                    spdlog::warn!("start of {} on {}: {}", id.task, worker, error);
                }
                WorkerAnswer::Started(worker, id, result)
            }
            WorkerCall::Stop(id) => {
                let done = port.stop(id.task.clone(), id.attempt).await.is_ok();
                WorkerAnswer::Stopped(worker, id, done)
            }
            WorkerCall::Report => WorkerAnswer::Reported(worker, port.report().await.ok()),
            WorkerCall::Renew(tasks, lease) => {
                let tasks = tasks.into_iter().map(|id| id.task).collect();
                if let Err(error) = port.renew(tasks, lease).await {
                    spdlog::warn!("renewal on {}: {}", worker, error);
                }
                return;
            }
        };
        if let Some(task) = self.task.try_upgrade() {
            let _ = task.send(answer).await;
        }
    }
}

impl Appended {
    /// Goes on with what waited.
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
            } => racks.journaled(call, &rack, answers, result.is_ok(), now.instant),
            AfterAppend::Nothing => Vec::new(),
        }
    }
}

impl Answered {
    /// Goes on with what waited.
    pub fn apply(self, homes: &mut HomeGroups, racks: &mut RackGroups, now: Now) -> Vec<Effect> {
        match (self.after, self.result) {
            (AfterCall::HoldAnswered(id, round), result) => {
                homes.hold_answered(&id, round, result, now)
            }
            (AfterCall::RackAnswered(ids), result) => homes.rack_answered(&ids, result, now),
            (AfterCall::EventsReported(events), Ok(Ok(Reply::Acknowledged))) => {
                racks.events_acknowledged(events, now.instant)
            }
            (AfterCall::EventsReported(_), _) => Vec::new(),
            (AfterCall::Nothing, result) => homes.rack_answered(&[], result, now),
        }
    }
}

impl WorkerAnswer {
    /// Takes the answer in.
    pub fn apply(self, racks: &mut RackGroups, now: Instant) -> Vec<Effect> {
        match self {
            Self::Started(worker, id, result) => {
                racks.started(&worker, &id, result, now);
                racks.report_events(now)
            }
            Self::Stopped(worker, id, done) => {
                racks.stopped(&worker, &id, done, now);
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
