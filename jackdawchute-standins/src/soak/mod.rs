//! A randomized soak: a cell of real processes under load, with overlapping faults from outside.
//!
//! A seed gives the faults, their order and times. What callers were told is held against what
//! minions and workers ran, and once all faults are over the cell must serve again.

mod fault;
mod plan;
mod report;
mod run;
pub(crate) mod schedule;

pub use fault::Fault;
pub use plan::SoakPlan;
pub use report::SoakReport;
pub(crate) use run::keep_logs;
pub use run::run;
pub use schedule::Disturbance;
