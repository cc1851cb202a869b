//! Errors of reading settings.

use std::path::PathBuf;

use jackdawchute_yaml::Problems;
use quick_error::quick_error;

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Settings that cannot be used.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("read settings at {}: {}", path.display(), cause)
            source(cause)
        }
        /// The content is refused, for all these reasons.
        Refused(problems: Problems) {
            display("check settings: {}", problems)
        }
    }
}
