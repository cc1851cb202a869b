//! Errors of calls to what lies outside the instance.

use quick_error::quick_error;

/// The result of a call to what lies outside the instance.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A failed call, with its step and peer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The call surely had no effect.
        Unavailable(step: &'static str, peer: String, cause: String) {
            display("{} at {}: unavailable: {}", step, peer, cause)
        }
        /// The call may have had its effect, or have it later.
        Unknown(step: &'static str, peer: String, cause: String) {
            display("{} at {}: outcome unknown: {}", step, peer, cause)
        }
        /// The answer is not of the peer's protocol.
        Protocol(step: &'static str, peer: String, cause: String) {
            display("{} at {}: unexpected answer: {}", step, peer, cause)
        }
        /// An address could not be bound.
        Bind(name: &'static str, address: String, cause: String) {
            display("bind {} listener to {}: {}", name, address, cause)
        }
    }
}
