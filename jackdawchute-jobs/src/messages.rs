//! Messages that the jobs task receives and sends, and the types in them.

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

/// The status of a task, as reported to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The id of the task.
    pub task: TaskId,
    /// The state of the task, with its worker once it has one.
    #[serde(flatten)]
    pub state: TaskState,
}

/// The status of a job, as reported to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The id of the job.
    pub id: JobId,
    /// The state of the job, derived from the states of its tasks.
    pub state: JobState,
    /// Why the job was refused after its acceptance; `None` if it was not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<RefusalReason>,
    /// The time from acceptance to the latest start of one of its tasks, in milliseconds; 0 before
    /// the first start.
    pub waiting_ms: u64,
    /// The tasks of the job, in the order of their indices.
    pub tasks: Vec<TaskStatus>,
}

/// A group at one epoch of its ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupEpoch {
    /// The name of the group.
    pub group: GroupId,
    /// The epoch, which grows with each new owner.
    pub epoch: Epoch,
}

/// One attempt to run a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// The id of the task.
    pub task: TaskId,
    /// The number of the attempt, from 1; it grows with each placement of the task.
    pub attempt: u32,
}

/// The request to start a task on a worker, or to hold capacity for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The task and the number of this attempt.
    pub id: TaskAttempt,
    /// The job that the task belongs to.
    pub job: JobId,
    /// The team that is charged for the task.
    pub team: TeamId,
    /// The worker that the home owner chose.
    pub worker: WorkerId,
    /// The resources that the task declares to need.
    pub resources: Resources,
    /// The command that the worker runs.
    pub command: SmolStr,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptEnd {
    /// The attempt never ran and never will.
    NotStarted(NotStartedReason),
    /// The task ended by itself, with success.
    Succeeded,
    /// The task ended by itself, with failure.
    Failed,
    /// The task ended because its home owner asked for a stop.
    Stopped,
    /// The task no longer runs: its lease lapsed, or its worker restarted or was lost.
    Lost,
}

/// Why an attempt never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotStartedReason {
    /// The worker has too little free capacity.
    NoRoom,
    /// The worker accepts no new tasks, or its last report is too old to grant a lease by its
    /// clock.
    NotAccepting,
    /// The intent to start could not be journaled.
    StoreUnavailable,
    /// The rack owner had closed this attempt or a later one before.
    Closed,
    /// The start did not reach the worker before its lease lapsed.
    NotDelivered,
}

/// The state of an attempt at its rack owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// The intent to start is journaled; the rack owner will report how the attempt goes on.
    #[serde(rename = "taken")]
    Journaled,
    /// The worker reported the task as running.
    Running,
    /// The attempt ended.
    Ended(AttemptEnd),
}

/// The state of one attempt, in a rack owner's answer to a start or stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// The task and the number of the attempt.
    pub id: TaskAttempt,
    /// The state of the attempt.
    pub state: AttemptState,
}

/// A change of an attempt's state, which a rack owner reports to the home owner.
pub type TaskEvent = TaskAnswer;

/// The charges on the workers of a rack, as its owner last knew them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RackView {
    /// The rack's group.
    pub group: GroupId,
    /// The resources that open attempts on the rack charge to each team.
    pub teams: BTreeMap<TeamId, Resources>,
    /// The workers of the rack.
    pub workers: Vec<WorkerView>,
}

/// The charge on one worker, in a [`RackView`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The id of the worker.
    pub worker: WorkerId,
    /// The sum of the holds and of the running and possibly running tasks, each task at the larger
    /// of declared and reported use.
    pub charged: Resources,
    /// Whether the worker accepts new tasks.
    pub accepting: bool,
}

/// A call of one instance to the owner of a home group or of a rack's group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub enum Call {
    /// Submits a job; the home owner answers once the job is journaled.
    Submit {
        /// The id of the job, derived from team and idempotency key, or random without a key.
        id: JobId,
        /// The job as submitted.
        spec: JobSpec,
    },
    /// Asks the home owner for the status of a job.
    Status {
        /// The id of the job.
        id: JobId,
    },
    /// Cancels a job; the home owner answers once the cancellation is journaled.
    Cancel {
        /// The id of the job.
        id: JobId,
    },
    /// Asks a rack owner to hold capacity for the tasks of a gang.
    Hold {
        /// The rack's group and its owner's epoch, as the sender knows it.
        rack: GroupEpoch,
        /// The tasks of the gang on this rack; the owner holds capacity for all of them or none.
        tasks: Vec<TaskStart>,
    },
    /// Asks a rack owner to start tasks that the home owner assigned to the rack.
    Start {
        /// The rack's group and its owner's epoch, as the sender knows it.
        rack: GroupEpoch,
        /// The home group and the sender's epoch.
        home: GroupEpoch,
        /// The tasks to start; each gets an answer of its own.
        tasks: Vec<TaskStart>,
    },
    /// Releases holds of a gang.
    Release {
        /// The rack's group and its owner's epoch, as the sender knows it.
        rack: GroupEpoch,
        /// The attempts whose holds are released.
        tasks: Vec<TaskAttempt>,
    },
    /// Asks a rack owner to stop attempts, or to make sure that they never start.
    Stop {
        /// The rack's group and its owner's epoch, as the sender knows it.
        rack: GroupEpoch,
        /// The home group and the sender's epoch.
        home: GroupEpoch,
        /// The attempts to stop.
        tasks: Vec<TaskAttempt>,
    },
    /// Asks a rack owner for the charges on its workers.
    View {
        /// The rack's group and its owner's epoch, as the sender knows it.
        rack: GroupEpoch,
    },
    /// Reports started and ended attempts to the home owner, repeated until acknowledged.
    Report {
        /// The home group of the tasks.
        home: GroupId,
        /// The new states of the attempts.
        events: Vec<TaskEvent>,
    },
}

/// The owner's reply to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// The status of the job after a submission, query or cancellation.
    Job(JobStatus),
    /// A rack owner's reply to a hold, start, release, stop or view call.
    Rack {
        /// The state of each attempt of a start or stop, except of one whose intent an earlier call
        /// is still journaling, or that was not started here and that a successor may have started;
        /// empty for other calls.
        answers: Vec<TaskAnswer>,
        /// Whether capacity is held for all tasks of a hold call; `false` for other calls.
        held: bool,
        /// The charges on the rack after the call.
        view: RackView,
    },
    /// The reported events are recorded, and the ends among them journaled.
    Acknowledged,
}

/// A received call, from this process or a peer.
#[derive(Debug)]
pub struct Incoming {
    /// The call to decide.
    pub call: Call,
    /// Receives the reply or refusal.
    pub reply: oneshot::Sender<Result<Reply, Refusal>>,
}

/// Sends calls to owners in other processes.
#[async_trait]
pub trait OwnerCalls: Send + Sync + 'static {
    /// Sends `call` to `owner` and returns its reply or refusal.
    ///
    /// # Errors
    /// Fails if no answer arrived; the error tells whether the owner may have acted on the call.
    async fn call(&self, owner: &Owner, call: Call) -> Result<Result<Reply, Refusal>, CallError>;
}

/// Replaces the settings of the jobs task.
#[derive(Clone, Debug)]
pub struct ChangeSettings(pub Arc<Settings>);

/// Asks the jobs task for a [`JobsStatus`].
#[derive(Clone, Copy, Debug)]
pub struct Status;

/// The queued and running work of the jobs task, for the status page.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobsStatus {
    /// The number of queued tasks and gangs, by class.
    pub queued: BTreeMap<ClassId, usize>,
    /// The number of running tasks of the owned home groups.
    pub running: usize,
    /// The number of attempts on the owned racks that are not known to be over.
    pub open_intents: usize,
    /// Workers of the owned racks that are in quarantine or being probed after it.
    pub quarantined: Vec<WorkerId>,
    /// The charge on each worker of the owned racks.
    pub workers: Vec<WorkerCharge>,
}

/// The charge on one worker, in a [`JobsStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCharge {
    /// The id of the worker.
    pub worker: WorkerId,
    /// The whole capacity of the worker.
    pub capacity: Resources,
    /// The sum of the tasks and holds charged to the worker.
    pub charged: Resources,
    /// Whether the worker accepts new tasks.
    pub accepting: bool,
}

/// Asks what happened to a job and why; the answer is `None` if this instance does not know the
/// job.
#[derive(Clone, Debug)]
pub struct Explain {
    /// The id of the job.
    pub id: JobId,
}
