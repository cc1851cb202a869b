//! The rack owner, which alone charges the workers of its racks, starts tasks on them and renews
//! their leases.

mod claimed;
mod event_reports;
mod hold;
mod lapse;
mod lease;
mod predecessor;
mod quarantine;
mod report;
mod start;
mod state;
mod stop;

pub use quarantine::{Health, HealthState, QuarantineSettings};
pub use state::{Intent, IntentPhase, RackGroups};
