//! Failed calls between entry instances.

use quick_error::quick_error;

quick_error! {
    /// A call to a peer that brought no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// The peer surely did not get the call.
        NotDelivered(step: &'static str, peer: String, cause: String) {
            display("{} at {}: not delivered: {}", step, peer, cause)
        }
        /// The peer may have acted on the call.
        Unknown(step: &'static str, peer: String, cause: String) {
            display("{} at {}: no answer: {}", step, peer, cause)
        }
    }
}
