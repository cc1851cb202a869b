//! What the jobs task takes and sends.

use std::{collections::BTreeMap, sync::Arc};

use async_trait::async_trait;
use jackdawchute_ownership::Owner;
use jackdawchute_types::{
    CallError, ClassId, Epoch, GroupId, JobId, JobSpec, JobState, Refusal, RefusalReason,
    Resources, TaskId, TaskState, TeamId, WorkerId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::Settings;

/// A task as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// Where it is in its life.
    #[serde(flatten)]
    pub state: TaskState,
}

/// A job as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub id: JobId,
    /// Where it is in its life.
    pub state: JobState,
    /// Why it was refused after its acceptance, if it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<RefusalReason>,
    /// The time from acceptance to the start of its last task so far, in milliseconds.
    pub waiting_ms: u64,
    /// Its tasks in order.
    pub tasks: Vec<TaskStatus>,
}

/// A group at one epoch of its ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupEpoch {
    /// The group.
    pub group: GroupId,
    /// The epoch.
    pub epoch: Epoch,
}

/// One placement of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// Ascends with each placement.
    pub attempt: u32,
}

/// A task that is to start on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The task and its attempt.
    pub id: TaskAttempt,
    /// Its job.
    pub job: JobId,
    /// The team that is charged.
    pub team: TeamId,
    /// The chosen worker.
    pub worker: WorkerId,
    /// What it declares to need.
    pub resources: Resources,
    /// What to run.
    pub command: SmolStr,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptEnd {
    /// It never ran and never will.
    NotStarted(NotStartedReason),
    /// By itself, with success.
    Succeeded,
    /// By itself, with failure.
    Failed,
    /// Because it was told to.
    Stopped,
    /// Its lease lapsed, or its worker was restarted or lost; it runs no more.
    Lost,
}

/// Why an attempt never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotStartedReason {
    /// The worker has no room.
    NoRoom,
    /// The worker takes no new work, or its clock is not known well enough.
    NotAccepting,
    /// The start could not be journaled.
    StoreUnavailable,
    /// The attempt was closed before.
    Closed,
    /// The worker did not get the start in time.
    NotDelivered,
}

/// Where an attempt is at its rack owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// Its start is journaled; the rack owner reports what becomes of it.
    #[serde(rename = "taken")]
    Journaled,
    /// It was seen running.
    Running,
    /// It ended.
    Ended(AttemptEnd),
}

/// The rack owner's answer for one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// The task and its attempt.
    pub id: TaskAttempt,
    /// Where it is.
    pub state: AttemptState,
}

/// What became of a task, as its rack owner reports it.
pub type TaskEvent = TaskAnswer;

/// What is charged to the workers of a rack.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RackView {
    /// The rack's group.
    pub group: GroupId,
    /// What is charged to each team.
    pub teams: BTreeMap<TeamId, Resources>,
    /// Each worker of the rack.
    pub workers: Vec<WorkerView>,
}

/// What is charged to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker.
    pub worker: WorkerId,
    /// Running and possibly running tasks and holds, at the larger of declared and reported use.
    pub charged: Resources,
    /// Whether it takes new tasks.
    pub accepting: bool,
}

/// What one instance asks of the owner of a job's home group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub enum Call {
    /// Accepts a job; answered once nothing can lose it any more.
    Submit {
        /// The id, derived from team and idempotency key, or random.
        id: JobId,
        /// The job.
        spec: JobSpec,
    },
    /// Asks for a job's status.
    Status {
        /// The job.
        id: JobId,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        id: JobId,
    },
    /// A home owner asks a rack owner to hold capacity for the tasks of a gang.
    Hold {
        /// The rack's group and its owner's epoch, as the sender knows it.
        rack: GroupEpoch,
        /// The tasks, all held or none.
        tasks: Vec<TaskStart>,
    },
    /// A home owner asks a rack owner to start tasks that it assigned to the rack.
    Start {
        /// The rack's group and its owner's epoch, as the sender knows it.
        rack: GroupEpoch,
        /// The home group and the sender's epoch.
        home: GroupEpoch,
        /// The tasks; each gets an answer of its own.
        tasks: Vec<TaskStart>,
    },
    /// A home owner gives the holds of a gang back.
    Release {
        /// The rack's group and its owner's epoch.
        rack: GroupEpoch,
        /// The held tasks.
        tasks: Vec<TaskAttempt>,
    },
    /// A home owner asks that tasks end, or never start.
    Stop {
        /// The rack's group and its owner's epoch.
        rack: GroupEpoch,
        /// The home group and the sender's epoch.
        home: GroupEpoch,
        /// The tasks.
        tasks: Vec<TaskAttempt>,
    },
    /// Asks a rack owner what is charged to its workers.
    View {
        /// The rack's group and its owner's epoch.
        rack: GroupEpoch,
    },
    /// A rack owner tells a home owner what became of tasks.
    Report {
        /// The home group.
        home: GroupId,
        /// What became of them.
        events: Vec<TaskEvent>,
    },
}

/// The owner's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// The job after the call.
    Job(JobStatus),
    /// What the rack owner decided.
    Rack {
        /// An answer for each task of a start or stop; empty for other calls.
        answers: Vec<TaskAnswer>,
        /// Whether every hold was granted.
        held: bool,
        /// The state of the rack after the call.
        view: RackView,
    },
    /// The events are journaled where that is needed.
    Acknowledged,
}

/// A call that arrived, from this process or a peer.
#[derive(Debug)]
pub struct Incoming {
    /// The call.
    pub call: Call,
    /// Gets the answer.
    pub reply: oneshot::Sender<Result<Reply, Refusal>>,
}

/// Carries calls to the owner in another process.
#[async_trait]
pub trait OwnerCalls: Send + Sync + 'static {
    /// Calls `owner`, which answers with a reply or a refusal.
    ///
    /// # Errors
    /// Tells whether the owner may have acted on the call.
    async fn call(&self, owner: &Owner, call: Call) -> Result<Result<Reply, Refusal>, CallError>;
}

/// Replaces the settings.
#[derive(Clone, Debug)]
pub struct ChangeSettings(pub Arc<Settings>);

/// Asks for [`JobsStatus`].
#[derive(Clone, Copy, Debug)]
pub struct Status;

/// What the jobs task has to do.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobsStatus {
    /// Queued tasks and gangs by class.
    pub queued: BTreeMap<ClassId, usize>,
    /// Tasks of the owned home groups that run.
    pub running: usize,
    /// Starts on the owned racks that are not surely over.
    pub open_intents: usize,
    /// Workers of the owned racks that get nothing, or probes.
    pub quarantined: Vec<WorkerId>,
    /// What is charged to each worker of the owned racks.
    pub workers: Vec<WorkerCharge>,
}

/// What is charged to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCharge {
    /// The worker.
    pub worker: WorkerId,
    /// What it has.
    pub capacity: Resources,
    /// What is charged to it.
    pub charged: Resources,
    /// Whether it takes new tasks.
    pub accepting: bool,
}

/// Asks what happened to a job and why; answered with `None` if it is not known here.
#[derive(Clone, Debug)]
pub struct Explain {
    /// The job.
    pub id: JobId,
}
