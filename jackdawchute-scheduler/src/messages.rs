//! The inputs and outputs of the scheduler.

use std::{net::SocketAddr, time::Duration};

use jackdawchute_types::{
    AdvisorId, Checkpoint, FailureDomainId, FencingToken, JobId, Label, RackId, Resources,
    RunNumber, ServiceId, Ticket, WorkerId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{former_leases::FormerLeases, unsaved::ChangeNumber, StepName, TaskName};

/// A worker's entry in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// The worker's id.
    pub worker: WorkerId,
    /// The address at which the worker accepts orders.
    pub address: SocketAddr,
    /// The service whose tasks the worker runs.
    pub service: ServiceId,
    /// The failure domain that the worker is in.
    pub failure_domain: FailureDomainId,
    /// The rack that the worker is in; `None` if it is not known.
    pub rack: Option<RackId>,
    /// All labels of the worker, which steps may require.
    pub labels: Vec<Label>,
    /// The worker's whole capacity, free or in use.
    pub capacity: Resources,
    /// The guaranteed time until the worker leaves; `None` if it stays.
    pub leaving_in: Option<Duration>,
    /// When the worker's current incarnation started, in Unix milliseconds.
    pub started_unix_ms: u64,
}

/// An order to a worker to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The worker that the order is for.
    pub worker: WorkerId,
    /// The address at which the worker accepts orders.
    pub address: SocketAddr,
    /// The task to start.
    pub task: TaskName,
    /// The number of the run, higher than those of all earlier runs of the task.
    pub run: RunNumber,
    /// What the worker is to run, as in [`JobGraph::payload`](crate::JobGraph::payload).
    pub payload: SmolStr,
    /// The checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: Checkpoint,
    /// The advisor's proof that the worker may run the step; `None` where the queue needs no
    /// advice.
    pub ticket: Option<Ticket>,
    /// The end of the worker's lease, on the worker's clock.
    pub lease_until: Duration,
    /// The fencing token; the worker refuses the order if it has seen a higher one.
    pub token: FencingToken,
}

/// An order to a worker to stop a run, or to refuse its start if that arrives later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The worker that the order is for.
    pub worker: WorkerId,
    /// The address at which the worker accepts orders.
    pub address: SocketAddr,
    /// The task of the run.
    pub task: TaskName,
    /// The number of the run to stop.
    pub run: RunNumber,
    /// The fencing token; the worker refuses the order if it has seen a higher one.
    pub token: FencingToken,
}

/// An order that renews a worker's lease and asks for its running and ended runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewOrder {
    /// The worker that the order is for.
    pub worker: WorkerId,
    /// The address at which the worker accepts orders.
    pub address: SocketAddr,
    /// The new end of the lease on the worker's clock; `None` leaves the lease as it is, for a
    /// worker whose clock is not known yet or that does not answer.
    pub lease_until: Option<Duration>,
    /// The run ends up to this number are saved, so that the worker may delete them.
    pub ends_saved: u64,
    /// The run ends up to this number are recorded; the answer need not have them.
    pub ends_recorded: u64,
    /// How long the worker may wait for a run to end before it answers.
    pub wait: Duration,
    /// The fencing token; the worker refuses the order if it has seen a higher one.
    pub token: FencingToken,
}

/// Why a worker did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The worker has seen a higher token.
    Fenced,
    /// That run or a later one of the task has ended on the worker or was stopped there.
    Superseded,
    /// The lease in the order had lapsed when the order arrived.
    Late,
    /// The worker has too little free capacity.
    NoRoom,
    /// The ticket is not valid, or no longer.
    Ticket,
    /// The worker did not start the task for another reason.
    Other,
}

/// The result of sending a [`StartOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker has started the task.
    Started {
        /// The worker's clock when it answered.
        clock: Duration,
    },
    /// The worker refused the order, which had no effect.
    Refused {
        /// Why the worker refused.
        reason: StartRefusal,
        /// The worker's clock when it answered; `None` if the answer lacked it.
        clock: Option<Duration>,
    },
    /// Another incarnation of the worker answered, and the order had no effect.
    OtherIncarnation,
    /// No connection was established, so that the order was not sent.
    NotDelivered,
    /// The leader had no authority any more when the order was to be sent.
    NotSent,
    /// The order was sent and no answer came: the task may run now, or start later.
    Unknown,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The task finished its work.
    Succeeded,
    /// The task or the worker failed.
    Failed,
    /// The worker stopped the task on an order.
    Stopped,
    /// The worker's lease lapsed.
    LeaseLapsed,
    /// Another task of the gang ended early.
    GangBroken,
    /// The other tasks of the gang did not start in time.
    GangIncomplete,
}

/// A task that a worker reports as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task that runs.
    pub task: TaskName,
    /// The number of the run.
    pub run: RunNumber,
    /// The checkpoint that the task saved last; empty if it saved none.
    pub checkpoint: Checkpoint,
    /// The finished share of the task's work in percent; 100 for a long-running task at work.
    pub percent: u32,
}

/// A run that a worker reports as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The number of this run end, ascending within a worker incarnation.
    pub number: u64,
    /// The task that ran.
    pub task: TaskName,
    /// The number of the run.
    pub run: RunNumber,
    /// Why the run ended.
    pub reason: EndReason,
    /// The checkpoint that the task saved last; empty if it saved none.
    pub checkpoint: Checkpoint,
}

/// A worker's answer to a [`RenewOrder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewAnswer {
    /// When the worker incarnation that answered started, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// The worker's clock when it answered.
    pub clock: Duration,
    /// The tasks that run on the worker.
    pub running: Vec<RunningTask>,
    /// The ended runs that the worker has not deleted yet, in ascending order of their numbers,
    /// without recorded ones that were left out.
    pub ended: Vec<EndedRun>,
    /// The number of run ends that were left out, as the order names them as recorded.
    pub ends_left_out: usize,
    /// Whether `ended` holds all of them; if not, a run that is in neither list may have ended.
    pub ended_complete: bool,
}

/// What a worker listed in its answer to a renewal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RenewOutcome {
    /// The number of run ends in the list.
    pub listed: usize,
    /// How many of them were not recorded before.
    pub new: usize,
    /// The number of running tasks in the list that were not known.
    pub unknown_runs: usize,
    /// Whether a later incarnation answered than the known one.
    pub restarted: bool,
}

/// The number of an advice request of a leader, in the order of sending.
pub type AdviceNumber = u64;

/// A request to an advisor: which of the named workers may run a step?
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// The number of the request among those of its leader, which alone uses it.
    #[serde(skip)]
    pub number: AdviceNumber,
    /// The step to place.
    pub step: StepName,
    /// The workers that the advisor is asked about.
    pub workers: Vec<WorkerId>,
    /// How long the advisor is expected to take to answer.
    #[serde(with = "jackdawchute_types::duration_ms", rename = "expected_ms")]
    pub expected: Duration,
}

/// An advisor's answer to an [`AdviceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceAnswer {
    /// The workers that may run the step, each with its ticket; all others named may not.
    pub allowed: Vec<(WorkerId, Ticket)>,
}

/// The table that a saved row belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RowTable {
    /// Accepted jobs as submitted.
    Jobs,
    /// The progress of each job.
    Progress,
    /// The outcomes of ended jobs, one row for each commit that ended some.
    Ended,
    /// The workers that may run tasks, several to a row.
    Workers,
}

/// A write or removal of one saved row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// The table of the row.
    pub table: RowTable,
    /// The key of the row within its table.
    pub key: SmolStr,
    /// The new content of the row, or `None` to remove it.
    pub value: Option<Vec<u8>>,
}

/// Row changes to commit together, and what takes effect once they are committed.
#[derive(Clone, Debug, Default)]
pub struct CommitBatch {
    /// The rows to write or remove.
    pub changes: Vec<RowChange>,
    /// The jobs whose acceptance is in the batch.
    pub(crate) accepted: Vec<JobId>,
    /// The jobs whose end is in the batch.
    pub(crate) ended: Vec<JobId>,
    /// The jobs whose changes are all saved with the batch, with the first of them.
    pub(crate) changed: Vec<(ChangeNumber, JobId)>,
    /// Workers, the ordinal of their incarnation, and the number of the last run end that the batch
    /// saves.
    pub(crate) ends_recorded: Vec<(WorkerId, u64, u64)>,
    /// The workers that the rows of workers in the batch name, and how many leases of former
    /// incarnations were allowed for by then.
    pub(crate) workers: Vec<(WorkerId, FormerLeases)>,
    /// The key of the row that holds the outcomes of `ended`.
    pub(crate) ended_row: Option<SmolStr>,
}

impl CommitBatch {
    /// Returns the jobs that are accepted once the batch is committed.
    pub fn accepted(&self) -> &[JobId] {
        &self.accepted
    }

    /// Returns the jobs that have ended once the batch is committed.
    pub fn ended(&self) -> &[JobId] {
        &self.ended
    }
}

/// The result of submitting a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission {
    /// The job is accepted once its row is committed.
    Pending,
    /// The job was accepted before, and may have ended.
    Accepted,
    /// The job is not accepted, and does not run unless it is submitted again.
    Refused {
        /// How long to wait before the job is submitted again.
        retry_after: Duration,
    },
}

/// An action that the scheduler asks its caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send an order to start a task.
    Start(StartOrder),
    /// Send an order to stop a run.
    Stop(StopOrder),
    /// Renew a worker's lease and ask for its running and ended runs.
    Renew(RenewOrder),
    /// Ask an advisor which workers may run a step.
    Advise {
        /// The instance whose advisor is asked.
        advisor: AdvisorId,
        /// What it is asked.
        request: AdviceRequest,
    },
    /// Give up the epoch: a later leader controls the workers.
    Fenced {
        /// The worker that has seen a higher token.
        worker: WorkerId,
    },
}
