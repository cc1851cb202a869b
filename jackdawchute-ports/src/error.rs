//! Errors of calls to the platform's services and workers.

use quick_error::quick_error;

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A failed call to the platform, with its step, the address called and the cause.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The call is known to have had no effect: the connection failed, or the service answered
        /// that it is unavailable.
        Unavailable(step: &'static str, peer: String, cause: String) {
            display("{} at {}: unavailable: {}", step, peer, cause)
        }
        /// The service refuses the request itself; it had no effect, and would be refused again.
        Rejected(step: &'static str, peer: String, cause: String) {
            display("{} at {}: rejected: {}", step, peer, cause)
        }
        /// A worker follows the leader of a later epoch; the call had no effect.
        Fenced(step: &'static str, peer: String) {
            display("{} at {}: fencing token refused", step, peer)
        }
        /// The outcome is unknown: the response was lost, and the call may have had its effect.
        Unknown(step: &'static str, peer: String, cause: String) {
            display("{} at {}: outcome unknown: {}", step, peer, cause)
        }
        /// The response does not follow the protocol of the service.
        Protocol(step: &'static str, peer: String, cause: String) {
            display("{} at {}: unexpected answer: {}", step, peer, cause)
        }
    }
}
