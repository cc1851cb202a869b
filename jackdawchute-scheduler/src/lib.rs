//! The decisions of the instance that schedules a cell's jobs.
//!
//! A [`Scheduler`] takes what happened and the time, and returns [`Effect`]s: orders to workers,
//! questions to advisors and rows to commit. It holds no clock, socket or codec.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod admit;
mod advise;
mod cancel;
mod ends;
mod error;
mod estimates;
mod free_capacity;
mod graph;
mod job;
mod messages;
mod names;
mod observe;
mod orders;
mod place;
mod progress;
mod queue;
mod rank;
mod records;
mod recover;
mod report;
mod settings;
mod state;
mod submit;
mod worker;
mod worker_rows;

pub use error::{Error, Result};
pub use graph::{JobGraph, Repeat, StepSpec};
pub use job::{JobOutcome, JobPhase, JobStatus};
pub use messages::{
    AdviceAnswer, AdviceRequest, CommitBatch, Effect, EndReason, EndedRun, RenewAnswer, RenewOrder,
    RowChange, RowTable, RunningTask, StartAnswer, StartOrder, StartRefusal, StopOrder, Submission,
    WorkerEntry,
};
pub use names::{StepName, TaskName};
pub use queue::{AdviceCost, QueuePolicy};
pub use recover::SavedTable;
pub use settings::Settings;
pub use state::Scheduler;
