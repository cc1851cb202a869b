//! In-memory stand-ins for the platform services of a cell: store, workers, advisor and directory.
//!
//! The instances of a test share the state of each service. Each instance has its own handles, so
//! that a test can deny access to one instance while the others are served.

mod access;
mod advisor;
mod directory;
mod fleet;
mod late_orders;
mod start_ages;
mod store;
mod worker;
mod workers;
mod workers_handle;

pub use advisor::{MemoryAdvisor, SerialAdvisor, TicketAdvisor};
pub use directory::MemoryDirectory;
pub use late_orders::OrderKind;
pub use store::{MemoryStore, StoreHandle};
pub use workers::{MemoryWorkers, Overload, WorkerRecord};
pub use workers_handle::{LinkFaults, WorkersHandle};
