//! The transactional table service, with its own listener and faults for each client.

mod faults;
mod listener;
mod messages;
mod task;

pub use faults::{Availability, TableCounts, TableFaults};
pub use listener::{control_routes, spawn_table, RunningTable};
pub use messages::{
    Admission, Admit, ClientId, CommitRows, LoseAnswer, Operation, ReadCounts, ReadRow, ScanRows,
    SetFaults,
};
pub use task::TableTask;
