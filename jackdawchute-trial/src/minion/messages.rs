//! Messages to the minion task.

use jackdawchute_types::RequestKey;
use smol_str::SmolStr;

/// Records the start of a request; the reply is a [`Begun`](super::Begun).
#[derive(Clone, Debug)]
pub struct Begin {
    /// The request's method.
    pub method: SmolStr,
    /// The request's path and query.
    pub path: SmolStr,
    /// The value of the header `x-request-tag`; empty without one.
    pub tag: SmolStr,
    /// The value of the header `idempotency-key`.
    pub key: Option<RequestKey>,
}

/// Records the end of the request with this index in the record.
#[derive(Clone, Copy, Debug)]
pub struct End(pub usize);

/// Reads the `MinionRecord`.
#[derive(Clone, Copy, Debug)]
pub struct ReadRecord;

/// Sets whether each request that begins from now on fails with status 500.
#[derive(Clone, Copy, Debug)]
pub struct SetFailing(pub bool);
