//! Identifiers, resources, jobs and refusals shared by every jackdawchute crate.
//!
//! Only data types: this crate uses no clock, socket or codec.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod call;
mod ids;
mod job;
mod recorder;
mod refusal;
mod resources;
mod serde_duration;

pub use call::CallError;
pub use ids::*;
pub use job::{JobError, JobKind, JobSpec, JobState, Result, TaskState};
pub use recorder::{NoRecorder, Recorder};
pub use refusal::{Execution, Refusal, RefusalReason, RetryReason};
pub use resources::Resources;
pub use serde_duration::{duration_ms, optional_duration_ms, whole_ms};
