//! Errors of the embedded platform.

use std::{io, net::SocketAddr};

use quick_error::quick_error;

/// The result of starting or calling a component of the embedded platform.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A component of the embedded platform did not start or has ended.
    #[derive(Debug)]
    pub enum Error {
        /// The listener could not bind its address.
        Listen(address: SocketAddr, cause: io::Error) {
            display("listen at {}: {}", address, cause)
            source(cause)
        }
        /// The task that owns the component's state has ended.
        Ended(operation: &'static str, component: String) {
            display("{} at {}: the task has ended", operation, component)
        }
    }
}
