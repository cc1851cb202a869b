//! A timer service that tasks subscribe to.
//!
//! Tasks never sleep: they subscribe with a period and get a [`Tick`] in their
//! mailbox, which also tells them the time. Tests send ticks themselves.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod messages;
mod task;

pub use messages::{Subscribe, Tick};
pub use task::{spawn, TimerTask};
