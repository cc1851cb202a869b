//! The protocol of the platform's workers.

use std::time::Duration;

use async_trait::async_trait;
use jackdawchute_types::{duration_ms, Epoch, Resources, TaskId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::Result;

/// A worker's own monotonic clock: the time since an instant of its choosing.
pub type WorkerClock = Duration;

/// The right to run a task up to an instant on the worker's clock.
///
/// A start or renewal that arrives after that instant is refused, so a message
/// delivered late has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The epoch of the owner that grants it; a worker refuses lower ones than it has seen.
    pub epoch: Epoch,
    /// The instant on the worker's clock at which it lapses, in milliseconds on the wire.
    #[serde(with = "duration_ms", rename = "until_ms")]
    pub until: WorkerClock,
}

/// Asks a worker to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task; a worker never starts the same task and attempt twice.
    pub task: TaskId,
    /// Ascends with each placement of the task.
    pub attempt: u32,
    /// What the task declares to need.
    pub resources: Resources,
    /// How long it may run before its first renewal.
    pub lease: Lease,
    /// What to run.
    pub command: SmolStr,
}

/// A worker's answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartOutcome {
    /// It runs, or ran already under this attempt.
    Started,
    /// The lease had lapsed on arrival, or its epoch was too low; it did not run.
    LeaseLapsed,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEnd {
    /// By itself, with success.
    Succeeded,
    /// By itself, with failure.
    Failed,
    /// Because it was told to.
    Stopped,
    /// Because its lease lapsed.
    LeaseLapsed,
}

/// A task as its worker sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The attempt that runs or ran.
    pub attempt: u32,
    /// How it ended, or `None` while it runs.
    pub end: Option<TaskEnd>,
    /// What it uses, as last measured.
    pub used: Resources,
}

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's clock when it answered, in milliseconds on the wire.
    #[serde(with = "duration_ms", rename = "clock_ms")]
    pub clock: WorkerClock,
    /// Changes with each start of the worker, which ends all its tasks.
    pub boot: SmolStr,
    /// Running tasks, and ended ones for a few minutes.
    pub tasks: Vec<TaskReport>,
}

/// A worker of the platform.
#[async_trait]
pub trait WorkerPort: Send + Sync + 'static {
    /// Starts a task.
    ///
    /// # Errors
    /// [`Error::Unknown`](crate::Error::Unknown) leaves open whether it runs; the report tells.
    async fn start(&self, start: StartTask) -> Result<StartOutcome>;

    /// Extends the leases of running tasks; lapsed or unknown ones are passed over.
    ///
    /// # Errors
    /// The leases may or may not have been extended.
    async fn renew(&self, tasks: Vec<TaskId>, lease: Lease) -> Result<()>;

    /// Stops a task; also one that was never seen, which is then never started at this or a
    /// lower attempt.
    ///
    /// # Errors
    /// The task may or may not have been stopped.
    async fn stop(&self, task: TaskId, attempt: u32) -> Result<()>;

    /// Asks what runs.
    ///
    /// # Errors
    /// Any error means that nothing was learnt.
    async fn report(&self) -> Result<WorkerReport>;
}
