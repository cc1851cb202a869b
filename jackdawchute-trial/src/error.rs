//! Errors of the embedded platform.

use std::{io, net::SocketAddr};

use quick_error::quick_error;

/// The result of starting or asking a part of the embedded platform.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A part of the embedded platform that did not start or has ended.
    #[derive(Debug)]
    pub enum Error {
        /// The address could not be bound.
        Listen(address: SocketAddr, cause: io::Error) {
            display("listen at {}: {}", address, cause)
            source(cause)
        }
        /// The task that owns the state has ended.
        Ended(step: &'static str, peer: String) {
            display("{} at {}: the task has ended", step, peer)
        }
    }
}
