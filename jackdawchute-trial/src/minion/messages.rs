//! What the minion task takes.

use jackdawchute_types::RequestKey;
use smol_str::SmolStr;

/// A request begins; answered with its place in the record and whether it is to fail.
#[derive(Clone, Debug)]
pub struct Begin {
    /// The request's method.
    pub method: SmolStr,
    /// The request's path and query.
    pub path: SmolStr,
    /// The header `x-request-tag`, or empty.
    pub tag: SmolStr,
    /// The header `idempotency-key`.
    pub key: Option<RequestKey>,
}

/// A request ends.
#[derive(Clone, Copy, Debug)]
pub struct End(pub usize);

/// Asks for the `MinionRecord`.
#[derive(Clone, Copy, Debug)]
pub struct ReadRecord;

/// Makes each later request fail with status 500, or no longer.
#[derive(Clone, Copy, Debug)]
pub struct SetFailing(pub bool);
