//! What the jobs task takes and sends.

use async_trait::async_trait;
use jackdawchute_ownership::Owner;
use jackdawchute_types::{
    CallError, JobId, JobSpec, JobState, Refusal, RefusalReason, TaskId, TaskState,
};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

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
}

/// The owner's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// The job after the call.
    Job(JobStatus),
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
pub trait Remote: Send + Sync + 'static {
    /// Calls `owner`, which answers with a reply or a refusal.
    ///
    /// # Errors
    /// Tells whether the owner may have acted on the call.
    async fn call(&self, owner: &Owner, call: Call) -> Result<Result<Reply, Refusal>, CallError>;
}
