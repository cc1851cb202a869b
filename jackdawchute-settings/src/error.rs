//! Errors of reading settings.

use std::path::{Path, PathBuf};

use jackdawchute_yaml::{Problem, Problems};
use quick_error::quick_error;

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Settings that cannot be read or are invalid.
    #[derive(Debug)]
    pub enum Error {
        /// The file at this path cannot be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("read settings at {}: {}", path.display(), cause)
            source(cause)
        }
        /// The content is invalid, with all its problems.
        Refused(problems: Problems) {
            display("check settings: {}", problems)
        }
    }
}

/// Reads a settings file.
pub(crate) fn read_text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|cause| Error::Read(path.to_owned(), cause))
}

/// Returns the settings if there are no problems, else an error with all of them.
pub(crate) fn accept<T>(settings: Option<T>, problems: Vec<Problem>) -> Result<T> {
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(Error::Refused(Problems(problems))),
    }
}
