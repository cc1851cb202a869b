//! A whole cell: stand-ins in this process and entry instances as processes of their own.
//!
//! Everything ends with the [`Cell`], each process by its id.

mod cell;
mod directory;
mod entry;
mod members;
mod options;
mod process;
mod records;
mod settings_text;
mod status;
mod truth;
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
