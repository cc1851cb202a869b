//! A discrete-event simulation of a cell under load, which drives the real scheduler.
//!
//! It simulates minutes in seconds, to compare scheduling policies and measure the cost of
//! decisions before a run on real processes. Workers, advisors and the store are modelled by their
//! delays only, and do not fail. The real time that decisions take is measured, but takes no
//! simulated time. A plan may give the leader a processor on which its calls and rounds take time
//! and wait for each other.

mod advisors;
mod event;
mod plan;
mod processor;
mod report;
mod run;
mod workers;

pub use plan::{Burst, FleetPlan, KindPlan, ModelPlan};
pub use processor::ProcessorPlan;
pub use report::{KindReport, Report};
pub use run::run;
