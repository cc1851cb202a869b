//! The decisions of a cell's leader: which task runs on which worker, and when.
//!
//! A [`Scheduler`] takes events together with the time, and returns [`Effect`]s, which are orders
//! to workers and requests to advisors, and [`CommitBatch`]es, which are rows to save. It reads no
//! clock, opens no socket and encodes no message.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod admit;
mod advice_counts;
mod advice_requests;
mod advice_workers;
mod advise;
mod advisors;
mod authority;
mod batch;
mod cancel;
mod ends;
mod error;
mod estimates;
mod extensions;
mod former_leases;
mod free_capacity;

mod graph;
mod job;
mod late_starts;
mod lost_workers;
mod messages;
mod names;
mod observe;
mod orders;
mod place;
mod plan_room;
mod planned_room;
mod progress;
mod progress_rows;
mod queue;
mod rank;
mod records;
mod recover;
mod report;
mod restarts;
mod room;
mod row_size;
mod service_load;
mod settings;
mod speeds;
mod start_answers;
mod state;
mod submit;
mod tenants;
mod unsaved;
mod worker;
mod worker_rows;

pub use advice_counts::AdviceCounts;
pub use advisors::{AdvisorSlot, Advisors};
pub use authority::EpochAuthority;
pub use error::{Error, Result};
pub use graph::{JobGraph, Repeat, StepSpec};
pub use job::{JobOutcome, JobPhase, JobStatus};
pub use messages::{
    AdviceAnswer, AdviceNumber, AdviceRequest, CommitBatch, Effect, EndReason, EndedRun,
    RenewAnswer, RenewOrder, RenewOutcome, RowChange, RowTable, RunningTask, StartAnswer,
    StartOrder, StartRefusal, StopOrder, Submission, WorkerEntry,
};
pub use names::{StepName, TaskName};
pub use queue::{AdviceCost, QueuePolicy};
pub use recover::SavedTable;
pub use settings::Settings;
pub use state::Scheduler;
pub use tenants::TenantLoad;
