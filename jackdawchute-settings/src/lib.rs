//! Reads and checks the YAML settings of one process.
//!
//! Settings apply to one process and change only with a restart; what the whole fleet shares is the
//! configuration, in `jackdawchute-configuration`.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod cell;
mod check;
mod document;
mod error;
mod limits;
mod log_level;
mod settings;
mod timing;

pub use cell::{CellBounds, CellListen, CellPlatform, CellProcessor, CellSettings};
pub use error::{Error, Result};
pub use jackdawchute_yaml::{Problem, Problems};
pub use limits::Limits;
pub use log_level::LogLevel;
pub use settings::{Listen, Platform, Settings};
pub use timing::Timing;
