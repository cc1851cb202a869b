//! What the configuration crate promises.

mod acceptance;
mod checks;
mod fixtures;
mod hostile_input;
mod operations;
mod promise;
mod state;
mod task;
