//! Errors of calls between entry instances.

use quick_error::quick_error;

quick_error! {
    /// A call to a peer that got no response.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// The call is known not to have reached the peer.
        NotDelivered(step: &'static str, peer: String, cause: String) {
            display("{} at {}: not delivered: {}", step, peer, cause)
        }
        /// Nothing listens at the peer's address: its process has ended.
        ConnectionRefused(step: &'static str, peer: String) {
            display("{} at {}: connection refused", step, peer)
        }
        /// The outcome is unknown: the peer may have acted on the call.
        Unknown(step: &'static str, peer: String, cause: String) {
            display("{} at {}: no answer: {}", step, peer, cause)
        }
    }
}

impl CallError {
    /// Returns whether the call is known not to have reached the peer.
    ///
    /// ```
    /// use jackdawchute_types::CallError;
    ///
    /// let refused = CallError::ConnectionRefused("call", "127.0.0.1:9".into());
    /// assert!(refused.is_undelivered());
    /// ```
    pub fn is_undelivered(&self) -> bool {
        !matches!(self, Self::Unknown(..))
    }
}
