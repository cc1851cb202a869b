//! A randomized soak: a cell of real processes under load, with overlapping faults from outside.
//!
//! A seed gives the faults, their order and times. What callers were told is held against what
//! minions and workers ran, and once all faults are over the cell must serve again.

mod fault;
mod plan;
mod run;

pub use fault::{Disturbance, Fault};
pub use plan::SoakPlan;
pub use run::{run, SoakReport};
