//! Decisions about unlike workers: how fast each is, how long the tasks of a queue take, and which
//! place suits a task by the expected time of its completion.
//!
//! It reads no clock, opens no socket and encodes no message.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod completion;
mod run_times;
mod speed;

pub use completion::{PlaceRank, RunEstimate};
pub use run_times::RunTimes;
pub use speed::{FleetSpeeds, Pace, WorkerSpeed};
