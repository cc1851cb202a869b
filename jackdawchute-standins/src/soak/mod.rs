//! A randomized soak test: a cell of real processes under load, with overlapping injected faults.
//!
//! A seed determines the faults, their order and times. The responses to callers are compared with
//! what minions and workers ran, and once all faults have ended the cell must serve again.

mod fault;
mod plan;
mod report;
mod run;
pub(crate) mod schedule;

pub use fault::Fault;
pub use plan::SoakPlan;
pub use report::SoakReport;
pub use run::run;
pub(crate) use run::save_logs;
pub use schedule::Disturbance;
