//! Service requests: slots, idempotency keys, answers and retries.
//!
//! The owner of a service group grants slots; the entry instance that holds the caller's
//! connection sends the request itself, so no body crosses the owner.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod messages;

pub use messages::{
    Acquire, Call, Complete, Grant, GrantId, GrantOutcome, Incoming, Remote, Reply, StoredAnswer,
};
