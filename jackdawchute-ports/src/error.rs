//! Errors of calls to the platform.

use quick_error::quick_error;

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A failed call to the platform, with its step and peer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The call surely had no effect: the connection was refused, or the service said so.
        Unavailable(step: &'static str, peer: String, cause: String) {
            display("{} at {}: unavailable: {}", step, peer, cause)
        }
        /// The call may have had its effect: the answer was lost.
        Unknown(step: &'static str, peer: String, cause: String) {
            display("{} at {}: outcome unknown: {}", step, peer, cause)
        }
        /// The service answered something that is not of its protocol.
        Protocol(step: &'static str, peer: String, cause: String) {
            display("{} at {}: unexpected answer: {}", step, peer, cause)
        }
    }
}
