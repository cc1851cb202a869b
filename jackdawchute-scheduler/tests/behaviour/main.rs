//! What the scheduler decides, from what callers, workers and the platform tell it.

mod advice;
mod fixtures;
mod large_cells;
mod lateness;
mod lost_workers;
mod saving;
mod takeover;
