//! What the scheduler takes and returns.

use std::{net::SocketAddr, time::Duration};

use jackdawchute_types::{
    Checkpoint, FailureDomainId, FencingToken, JobId, Label, RackId, Resources, RunNumber,
    ServiceId, Ticket, WorkerId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{StepName, TaskName};

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Its id.
    pub worker: WorkerId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The service it runs tasks for.
    pub service: ServiceId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Its rack, where known.
    pub rack: Option<RackId>,
    /// All its labels.
    pub labels: Vec<Label>,
    /// What it has.
    pub capacity: Resources,
    /// The least time until it leaves, where it is about to.
    pub leaving_in: Option<Duration>,
    /// When this life of the worker began, in Unix milliseconds.
    pub started_unix_ms: u64,
}

/// Asks a worker to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskName,
    /// Which of its runs.
    pub run: RunNumber,
    /// What to run.
    pub payload: SmolStr,
    /// What to resume from.
    pub checkpoint: Checkpoint,
    /// The proof that the worker may run the step.
    pub ticket: Option<Ticket>,
    /// The end of the worker's lease on its own clock.
    pub lease_until: Duration,
    /// Orders this controller among others.
    pub token: FencingToken,
}

/// Asks a worker to stop a run, or never to start it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskName,
    /// Which of its runs.
    pub run: RunNumber,
    /// Orders this controller among others.
    pub token: FencingToken,
}

/// Renews a worker's lease and asks what runs and what ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewOrder {
    /// The worker.
    pub worker: WorkerId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The end of the lease on the worker's clock, once that is known.
    pub lease_until: Option<Duration>,
    /// The ends up to this number are saved and may be forgotten.
    pub ends_saved: u64,
    /// How long the worker may wait for an end.
    pub wait: Duration,
    /// Orders this controller among others.
    pub token: FencingToken,
}

/// Why a worker did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher token.
    Fenced,
    /// That run or a later one has ended or was stopped there.
    Superseded,
    /// The lease had lapsed on arrival.
    Late,
    /// It has no room.
    NoRoom,
    /// The ticket is not valid.
    Ticket,
    /// It did nothing, for another reason.
    Other,
}

/// What became of an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The task runs.
    Started {
        /// The worker's clock.
        clock: Duration,
    },
    /// The order had no effect.
    Refused {
        /// Why.
        reason: StartRefusal,
        /// The worker's clock, where it told.
        clock: Option<Duration>,
    },
    /// Another life of the worker answered, and did nothing.
    OtherIncarnation,
    /// Nobody listened at the address.
    NotDelivered,
    /// No answer: it may run, now or later.
    Unknown,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// With success.
    Succeeded,
    /// By a fault of the task or the worker.
    Failed,
    /// Because it was told to.
    Stopped,
    /// Because the lease lapsed.
    LeaseLapsed,
    /// Because another member of its gang ended.
    GangBroken,
    /// Because the other members of its gang did not start.
    GangIncomplete,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskName,
    /// Which of its runs.
    pub run: RunNumber,
    /// What it last saved.
    pub checkpoint: Checkpoint,
    /// How much of its work is done, or 100 for a long-running task at work.
    pub percent: u32,
}

/// A run that ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Numbers the ends of a worker's life, ascending.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Which of its runs.
    pub run: RunNumber,
    /// How it ended.
    pub reason: EndReason,
    /// What it last saved.
    pub checkpoint: Checkpoint,
}

/// A worker's answer to [`RenewOrder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewAnswer {
    /// When the life that answered began, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// The worker's clock.
    pub clock: Duration,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What ended and is not yet forgotten, in the order of its numbers.
    pub ended: Vec<EndedRun>,
}

/// Asks an advisor which of some workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepName,
    /// The workers.
    pub workers: Vec<WorkerId>,
    /// How long the advisor is expected to take.
    #[serde(with = "jackdawchute_types::duration_ms", rename = "expected_ms")]
    pub expected: Duration,
}

/// An advisor's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceAnswer {
    /// The workers that may run the step, with their tickets.
    pub allowed: Vec<(WorkerId, Ticket)>,
}

/// The kind of a saved row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RowTable {
    /// Accepted jobs as submitted.
    Jobs,
    /// What is done of each job.
    Progress,
    /// Jobs that ended, by commit.
    Ended,
    /// The workers that may run tasks.
    Workers,
}

/// A change of one saved row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// The kind of row.
    pub table: RowTable,
    /// Its key.
    pub key: SmolStr,
    /// Its new content, or `None` to remove it.
    pub value: Option<Vec<u8>>,
}

/// Changes to commit together, and what follows from it.
#[derive(Clone, Debug, Default)]
pub struct CommitBatch {
    /// The rows.
    pub changes: Vec<RowChange>,
    pub(crate) accepted: Vec<JobId>,
    pub(crate) ended: Vec<JobId>,
    pub(crate) ends_noted: Vec<(WorkerId, u64, u64)>,
    pub(crate) ended_row: Option<SmolStr>,
}

impl CommitBatch {
    /// The jobs that are accepted once the batch is committed.
    pub fn accepted(&self) -> &[JobId] {
        &self.accepted
    }

    /// The jobs that have ended once the batch is committed.
    pub fn ended(&self) -> &[JobId] {
        &self.ended
    }
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission {
    /// It is accepted once its row is committed.
    Pending,
    /// It was accepted before.
    Accepted,
    /// It will never run.
    Refused {
        /// When it is worth coming back.
        retry_after: Duration,
    },
}

/// What the scheduler asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Renew a lease and look.
    Renew(RenewOrder),
    /// Ask an advisor.
    Advise(AdviceRequest),
    /// Another instance controls the workers.
    Fenced {
        /// The worker that has seen a higher token.
        worker: WorkerId,
    },
}
