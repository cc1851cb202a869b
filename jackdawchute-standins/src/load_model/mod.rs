//! A simulation of a cell's load that drives the scheduler's own decisions, minutes of it in
//! seconds: it ranks policies and shows what a decision costs, before a run on real processes.
//!
//! Workers, advisors and the store are reduced to their times; nothing fails but tasks. The
//! processor time of decisions is measured, and costs no simulated time.

mod advisors;
mod plan;
mod report;
mod run;
mod workers;

pub use plan::{Burst, FleetPlan, KindPlan, ModelPlan};
pub use report::{KindReport, Report};
pub use run::run;
