//! A worker that simulates tasks under leases.

mod command;
mod listener;
mod messages;
mod record;
mod state;
mod task;

pub use command::{Command, PlannedEnd};
pub use listener::{routes, spawn_worker, RunningWorker, WorkerOptions};
pub use messages::{ReadRecord, ReadReport, Renew, SetFailing, Start, Stop};
pub use record::{TaskRun, WorkerRecord};
pub use state::WorkerState;
pub use task::WorkerTask;
