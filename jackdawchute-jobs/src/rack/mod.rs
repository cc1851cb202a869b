//! The rack owner: alone charges its workers, starts tasks and keeps their leases.

mod adopt;
mod hold;
mod lease;
mod quarantine;
mod report;
mod start;
mod state;
mod stop;
mod tell;

pub use quarantine::{Health, HealthBounds, Verdict};
pub use state::{Intent, Phase, Racks};
