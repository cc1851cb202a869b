//! The rack owner: alone charges its workers, starts tasks and keeps their leases.

mod claimed;
mod event_reports;
mod hold;
mod lease;
mod quarantine;
mod report;
mod start;
mod state;
mod stop;

pub use quarantine::{Health, HealthBounds, HealthState};
pub use state::{Intent, IntentPhase, RackGroups};
