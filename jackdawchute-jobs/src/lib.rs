//! Jobs: acceptance, placement on workers, leases and cancellation.
//!
//! Each job has a home group `jobs/N` whose owner journals it and queues its tasks. Each rack has
//! a group `rack/NAME` whose owner alone decides what its workers are given.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod effect;
mod error;
pub mod home;
mod messages;
mod names;
mod outbound;
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
