//! Checks on what minions and workers recorded as run.
//!
//! Each check returns the violations that it found, in a fixed order.

mod minions;
mod violation;
mod workers;

pub use minions::{each_key_at_most_once, never_ran, ran_once, within_connections, within_slots};
pub use violation::Violation;
pub use workers::{one_place_at_a_time, within_size};
