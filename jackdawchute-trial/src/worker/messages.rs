//! Messages to the worker task.

use jackdawchute_ports::{Lease, StartTask};
use jackdawchute_types::TaskId;
use serde::{Deserialize, Serialize};

/// Starts a task; the reply is a `StartOutcome`.
#[derive(Clone, Debug)]
pub struct Start(pub StartTask);

/// Extends the leases of running tasks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Renew {
    /// The tasks to renew; those that do not run are ignored.
    pub tasks: Vec<TaskId>,
    /// The new lease, with the epoch of the sender.
    pub lease: Lease,
}

/// Stops a task and refuses later starts of its stopped attempts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Stop {
    /// The task to stop.
    pub task: TaskId,
    /// The highest attempt to stop; this and lower ones are never started again.
    pub attempt: u32,
}

/// Reads the `WorkerReport`.
#[derive(Clone, Copy, Debug)]
pub struct ReadReport;

/// Reads the `WorkerRecord`.
#[derive(Clone, Copy, Debug)]
pub struct ReadRecord;

/// Sets whether each task started from now on fails at once.
#[derive(Clone, Copy, Debug)]
pub struct SetFailing(pub bool);
