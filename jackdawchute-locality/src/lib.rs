//! How long a task waits for a place near its data, or a gang for one rack.
//!
//! A task that starts far away takes longer. Whether a wait for a nearer place pays depends on what
//! is lost far away, on when near room is expected and how certain that is, and on how long the job
//! can wait. It reads no clock, opens no socket and encodes no message.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod near_room;
mod wait;

pub use near_room::NearRoom;
pub use wait::{decide, Decision, Unit, WAIT_MAX};
