//! A test cell: stand-ins in this process, and each entry instance as a process of its own.
//!
//! Dropping the [`Cell`] ends the stand-ins and kills the processes that it started, by their ids.

mod cell;
mod directory;
mod entry;
mod members;
mod options;
mod process;
mod records;
mod settings_text;
mod status;
mod verify;
mod wait;

pub use cell::Cell;
pub use directory::TemporaryDirectory;
pub use entry::{CellEntry, OPERATOR_TOKEN};
pub use members::{CellMinion, CellWorker};
pub use options::{CellOptions, ServicePlan, Timing, WorkerPlan};
pub use process::{EntryProcess, RunningProcess, Signal};
pub use settings_text::{settings_text, SettingsValues};
pub use status::InstanceStatus;
pub use wait::{wait_until, DEADLINE};
