//! An open-loop load generator with seeded Poisson arrivals.
//!
//! Requests are sent at their intended times whether earlier ones were answered or not, and
//! latency counts from the intended time, so that a stall of the scheduler is measured in full.

mod arrivals;
mod plan;
mod run;
mod summary;

pub use arrivals::Arrivals;
pub use plan::{ClassPlan, Plan};
pub use run::{start, Finished, RunningLoad};
pub use summary::{summarize, Summary};
