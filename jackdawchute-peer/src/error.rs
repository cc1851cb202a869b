//! Errors of the peer listener.

use quick_error::quick_error;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why the peer listener could not be started.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The listener could not be bound to its address.
        Bind(address: String, cause: String) {
            display("bind peer listener to {}: {}", address, cause)
        }
    }
}
