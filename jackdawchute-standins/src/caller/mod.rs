//! A caller that checks whether each answer is complete and belongs to its request.

mod call;
mod client;
mod jobs;
mod outcome;

pub use call::Call;
pub use client::Caller;
pub use outcome::{Outcome, Problem};
