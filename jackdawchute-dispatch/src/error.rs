//! Errors of requests to minions.

use quick_error::quick_error;

/// The result of a request to a minion.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a request to a minion failed, and so whether the minion may have run it.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// No connection was established, so no byte was sent.
        Connect(peer: String, cause: String) {
            display("connect to minion {}: {}", peer, cause)
        }
        /// The grant had expired before the send, so no byte was sent.
        GrantExpired(peer: String) {
            display("send to minion {}: the grant expired before the send", peer)
        }
        /// The request was sent and no whole response was received, so the minion may have run it.
        AnswerLost(peer: String, cause: String) {
            display("await answer of minion {}: {}", peer, cause)
        }
    }
}

impl Error {
    /// Returns whether no byte of the request was sent, so that the minion cannot have run it.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(..) | Self::GrantExpired(..))
    }
}
