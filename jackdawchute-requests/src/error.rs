//! Errors of journaled keys.

use jackdawchute_types::RequestKey;
use quick_error::quick_error;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a journaled key could not be written or read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The key's state has no text form.
        Encode(key: RequestKey, cause: String) {
            display("encode journaled key {}: {}", key, cause)
        }
        /// The journal's text is not a key's state.
        Decode(key: String, cause: String) {
            display("decode journaled key {}: {}", key, cause)
        }
    }
}
