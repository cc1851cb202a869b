//! What the worker task takes.

use jackdawchute_ports::{Lease, StartTask};
use jackdawchute_types::TaskId;
use serde::{Deserialize, Serialize};

/// Starts a task; answered with a `StartOutcome`.
#[derive(Clone, Debug)]
pub struct Start(pub StartTask);

/// Extends leases.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Renew {
    /// The tasks.
    pub tasks: Vec<TaskId>,
    /// Their new lease.
    pub lease: Lease,
}

/// Stops a task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Stop {
    /// The task.
    pub task: TaskId,
    /// The highest attempt to stop and forbid.
    pub attempt: u32,
}

/// Asks for a `WorkerReport`.
#[derive(Clone, Copy, Debug)]
pub struct ReadReport;

/// Asks for the `WorkerRecord`.
#[derive(Clone, Copy, Debug)]
pub struct ReadRecord;

/// Makes each later start fail at once, or no longer.
#[derive(Clone, Copy, Debug)]
pub struct SetFailing(pub bool);
