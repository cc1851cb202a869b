//! An embedded platform on loopback for the try command.
//!
//! A worker and a minion as small HTTP servers, and a membership list in memory. Each keeps a
//! record of what truly ran, which tells more than the scheduler's own word.
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
