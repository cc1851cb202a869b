//! Errors of this crate.

use quick_error::quick_error;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why journaled state could not be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// An entry of a group's journal has another form than this version writes.
        Entry(group: String, key: String, cause: String) {
            display("read journal entry {} of {}: {}", key, group, cause)
        }
    }
}
