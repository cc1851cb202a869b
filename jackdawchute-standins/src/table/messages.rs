//! Messages to the table task.

use std::time::Duration;

use jackdawchute_ports::{Commit, RowKey, RowVersion};
use smol_str::SmolStr;

use super::{Availability, TableFaults};

/// The name of a client of the table and of its listener.
pub type ClientId = SmolStr;

/// The operation that a client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A read of one row.
    Read,
    /// A scan of the rows under a prefix.
    Scan,
    /// A transaction.
    Commit,
}

/// Counts an arrived request and reads the client's faults; the reply is an [`Admission`].
#[derive(Clone, Debug)]
pub struct Admit {
    /// The client that sent the request.
    pub client: ClientId,
    /// The requested operation.
    pub operation: Operation,
    /// The length of the request's body in bytes.
    pub request_bytes: usize,
}

/// How to treat a request under the client's faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// How long to wait before anything else.
    pub delay: Duration,
    /// Whether to serve, refuse or ignore the request.
    pub availability: Availability,
}

/// Reads the row with this key.
#[derive(Clone, Debug)]
pub struct ReadRow(pub RowKey);

/// Reads the rows under a prefix that changed after a version.
#[derive(Clone, Debug)]
pub struct ScanRows {
    /// The common prefix of the rows' keys.
    pub prefix: String,
    /// The version after which the rows must have changed.
    pub changed_after: RowVersion,
}

/// Commits a transaction if its conditions hold.
#[derive(Clone, Debug)]
pub struct CommitRows(pub Commit);

/// Asks whether to lose the answer that is about to be sent, and counts it as lost or sent.
#[derive(Clone, Debug)]
pub struct LoseAnswer {
    /// The client that sent the request.
    pub client: ClientId,
    /// The operation that was carried out.
    pub operation: Operation,
    /// The length of the response's body in bytes.
    pub answer_bytes: usize,
}

/// Sets the faults of one client or of all.
#[derive(Clone, Debug)]
pub struct SetFaults {
    /// The client; `None` for all.
    pub client: Option<ClientId>,
    /// The faults that replace the present ones.
    pub faults: TableFaults,
}

/// Reads the counts of each client.
#[derive(Clone, Copy, Debug)]
pub struct ReadCounts;
