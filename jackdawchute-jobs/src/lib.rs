//! Jobs: acceptance, placement on workers, leases and cancellation.
//!
//! Each job has a home group `jobs/N` whose owner journals it and queues its tasks. Each rack has
//! a group `rack/NAME` whose owner alone decides what its workers are given.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod messages;

pub use messages::{Call, Incoming, JobStatus, Remote, Reply, TaskStatus};
