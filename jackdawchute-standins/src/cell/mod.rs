//! The platform of a cell, in memory: store, workers, advisor and lists.
//!
//! All share one state for the instances of a test; each instance has handles of its own, so that
//! the platform can turn one away and serve the others.

mod advisor;
mod directory;
mod door;
mod store;
mod workers;

pub use advisor::{MemoryAdvisor, SerialAdvisor};
pub use directory::MemoryDirectory;
pub use store::{MemoryStore, StoreHandle};
pub use workers::{MemoryWorkers, WorkerRecord};
