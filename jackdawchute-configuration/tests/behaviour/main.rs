//! Tests of the crate's public API.

mod apply;
mod checks;
mod fixtures;
mod history_diff_wait;
mod hostile_input;
mod staleness;
mod state;
mod task;
