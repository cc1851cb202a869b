//! Errors of starting an instance.

use quick_error::quick_error;

/// The result of starting an instance or one of its listeners.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why an instance could not start.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// A listener could not be bound to its address.
        Bind(listener: &'static str, address: String, cause: String) {
            display("could not bind the {} listener to {}: {}", listener, address, cause)
        }
        /// The file with the peers' or the operators' token could not be read.
        Token(path: String, cause: String) {
            display("could not read token file {}: {}", path, cause)
        }
    }
}
