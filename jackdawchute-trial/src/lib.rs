//! An embedded platform on loopback for the `try` command.
//!
//! Provides a worker and a minion as small HTTP servers, and a membership list in memory. Workers
//! and minions record every run, so that a check doesn't rely on what the scheduler reports.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod error;
mod listener;
mod membership;
pub mod minion;
pub mod worker;

pub use error::{Error, Result};
pub use listener::Listening;
pub use membership::MemoryMembership;
pub use minion::{spawn_minion, MinionOptions, RunningMinion};
pub use worker::{spawn_worker, RunningWorker, WorkerOptions};
