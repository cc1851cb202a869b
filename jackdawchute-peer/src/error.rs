//! Errors of the peer listener.

use quick_error::quick_error;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why the listener could not start.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The address could not be bound.
        Bind(address: String, cause: String) {
            display("bind peer listener to {}: {}", address, cause)
        }
    }
}
