//! The error type of this crate.

use quick_error::quick_error;

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A failure to rebuild state from the journal.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The value of a journal entry cannot be parsed as the record that its key names. Holds
        /// the group, the key and the cause.
        Entry(group: String, key: String, cause: String) {
            display("cannot parse journal entry {} of {}: {}", key, group, cause)
        }
    }
}
