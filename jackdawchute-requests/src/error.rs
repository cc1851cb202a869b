//! Errors of encoding and decoding journaled keys.

use jackdawchute_types::RequestKey;
use quick_error::quick_error;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a journaled key could not be written or read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The key's state could not be serialized.
        Encode(key: RequestKey, cause: String) {
            display("cannot encode the journal entry of idempotency key {}: {}", key, cause)
        }
        /// The journal entry is not the state of an idempotency key.
        Decode(key: String, cause: String) {
            display("cannot decode journal entry {} as an idempotency key: {}", key, cause)
        }
    }
}
