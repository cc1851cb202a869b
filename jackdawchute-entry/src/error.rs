//! Errors of starting an instance.

use quick_error::quick_error;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why an instance could not start.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// A listener could not be bound.
        Bind(listener: &'static str, address: String, cause: String) {
            display("bind {} listener to {}: {}", listener, address, cause)
        }
        /// A token file could not be read.
        Token(path: String, cause: String) {
            display("read token file {}: {}", path, cause)
        }
    }
}
