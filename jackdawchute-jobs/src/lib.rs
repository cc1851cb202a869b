//! Accepts jobs, places their tasks on workers, renews task leases and cancels jobs.
//!
//! Each job has a home group `jobs/N`, whose owner journals the job and queues its tasks. Each rack
//! has a group `rack/NAME`, whose owner alone decides which tasks its workers run.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod effect;
mod error;
pub mod home;
mod messages;
mod names;
mod outbound;
mod pause;
pub mod rack;
pub mod record;
mod settings;
mod task;

pub use error::{Error, Result};
pub use home::Explanation;
pub use messages::*;
pub use names::{home_group, job_id, rack_group, HOME_PREFIX, RACK_PREFIX};
pub use settings::Settings;
pub use task::{spawn, JobsTask, Options, WorkerPorts};
