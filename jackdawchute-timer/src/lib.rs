//! A timer that sends periodic ticks to the tasks that subscribe to it.
//!
//! Tasks never sleep: they subscribe with a period and get a [`Tick`] with the current time in
//! their mailbox. Tests send ticks themselves.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod boot_clock;
mod messages;
mod task;

pub use boot_clock::{boot_time, BootTime};
pub use messages::{Subscribe, Tick};
pub use task::{spawn, TimerTask};
