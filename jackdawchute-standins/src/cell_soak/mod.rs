//! A randomized soak of `cell`: real processes against the platform's interfaces over HTTP.
//!
//! A seed gives the faults, their order and times. What callers were told is held against what the
//! workers ran, and once all faults are over the cell must serve again.

mod callers;
mod fault;
mod judge;
mod run;
mod stage;

pub use fault::CellFault;
pub use judge::{judge, SentJob};
pub use run::{run, CellSoakPlan};
