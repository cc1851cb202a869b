//! The port to the platform's workers.

use std::time::Duration;

use async_trait::async_trait;
use jackdawchute_types::{duration_ms, Epoch, Resources, TaskId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::Result;

/// An instant on a worker's monotonic clock, as the time since an origin that the worker chooses.
pub type WorkerClock = Duration;

/// The right to run a task until an instant on the clock of one incarnation of the worker.
///
/// The worker refuses a start or renewal that arrives after that instant or is for another
/// incarnation, whose clock has another origin, so a message that is delivered late has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The epoch of the owner that grants the lease; a worker refuses epochs below the highest it
    /// has seen.
    pub epoch: Epoch,
    /// The boot id of the incarnation that the lease is for; empty from instances of earlier
    /// versions, whose leases any incarnation accepts.
    #[serde(default)]
    pub boot: SmolStr,
    /// The instant on that incarnation's clock at which the lease lapses; in milliseconds on the
    /// wire.
    #[serde(with = "duration_ms", rename = "until_ms")]
    pub until: WorkerClock,
}

/// An order to a worker to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task to start; a worker never starts the same attempt of a task twice.
    pub task: TaskId,
    /// The number of the attempt, which ascends with each placement of the task.
    pub attempt: u32,
    /// The declared resources of the task.
    pub resources: Resources,
    /// The lease until the first renewal.
    pub lease: Lease,
    /// The command to run.
    pub command: SmolStr,
}

/// A worker's response to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartOutcome {
    /// The attempt runs, or ran already.
    Started,
    /// The lease had lapsed on arrival, was for another incarnation, or its epoch was too low; the
    /// task did not run.
    LeaseLapsed,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEnd {
    /// The task ended by itself with success.
    Succeeded,
    /// The task ended by itself with failure.
    Failed,
    /// The worker stopped it on an order.
    Stopped,
    /// The worker stopped it because its lease lapsed.
    LeaseLapsed,
}

/// A worker's report on one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task's id.
    pub task: TaskId,
    /// The number of the attempt that runs or ran.
    pub attempt: u32,
    /// How the attempt ended, or `None` while it runs.
    pub end: Option<TaskEnd>,
    /// The resources that the task uses, as last measured.
    pub used: Resources,
}

/// A worker's report on itself and its tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's clock when it sent the report; in milliseconds on the wire.
    #[serde(with = "duration_ms", rename = "clock_ms")]
    pub clock: WorkerClock,
    /// The boot id, which changes with each start of the worker; a start ends all its tasks.
    pub boot: SmolStr,
    /// The running tasks, and ended ones for a few minutes.
    pub tasks: Vec<TaskReport>,
}

/// The orders and queries that a worker of the platform accepts.
#[async_trait]
pub trait WorkerPort: Send + Sync + 'static {
    /// Starts a task.
    ///
    /// # Errors
    /// After [`Error::Unknown`](crate::Error::Unknown) the task may run; the worker's report shows
    /// whether it does.
    async fn start(&self, start: StartTask) -> Result<StartOutcome>;

    /// Extends the leases of running tasks; the worker ignores tasks that it does not know or whose
    /// lease has lapsed, and a lease for another incarnation.
    ///
    /// # Errors
    /// The outcome is unknown: the leases may have been extended.
    async fn renew(&self, tasks: Vec<TaskId>, lease: Lease) -> Result<()>;

    /// Stops a task; the worker then never starts this or a lower attempt of it, even if it never
    /// saw the task.
    ///
    /// # Errors
    /// The outcome is unknown: the task may have been stopped.
    async fn stop(&self, task: TaskId, attempt: u32) -> Result<()>;

    /// Reads the worker's report.
    ///
    /// # Errors
    /// On any error nothing was read.
    async fn report(&self) -> Result<WorkerReport>;
}
