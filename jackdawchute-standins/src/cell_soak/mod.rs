//! A randomized soak test of `cell`: real processes against the platform's interfaces over HTTP.
//!
//! A seed determines the faults, their order and times. The responses to callers are compared with
//! what the workers ran, and once all faults have ended the cell must serve again. With tenants, no withdrawn key may be
//! served, no key in force denied, and no tenant run more than its cap.

mod callers;
mod check;
mod connections;
mod cuts;
mod environment;
mod fault;
mod instance;
mod late_extensions;
mod plan;
mod restarted_leases;
mod restarts;
mod rounds;
mod run;
mod tenants;
mod worker_paths;

pub use check::{find_exceeded_caps, find_overloads, find_violations, SentJob};
pub use fault::{CellFault, Isolation, LeaderFault};
pub use plan::{CellSoakPlan, FaultKinds, TaskLoad};
pub use run::run;
