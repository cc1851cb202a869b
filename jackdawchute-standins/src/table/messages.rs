//! What the table task takes.

use std::time::Duration;

use jackdawchute_ports::{Commit, RowKey, RowVersion};
use smol_str::SmolStr;

use super::{Availability, TableFaults};

/// A client of the table, by the name of its listener.
pub type ClientId = SmolStr;

/// What a client wants to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Read a row.
    Read,
    /// Read a prefix.
    Scan,
    /// Try a transaction.
    Commit,
}

/// A request has arrived; answered with an [`Admission`].
#[derive(Clone, Debug)]
pub struct Admit {
    /// The client.
    pub client: ClientId,
    /// What it wants.
    pub operation: Operation,
    /// The length of the request's body.
    pub request_bytes: usize,
}

/// What is to happen with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// How long to wait first.
    pub delay: Duration,
    /// Whether to answer.
    pub availability: Availability,
}

/// Reads a row.
#[derive(Clone, Debug)]
pub struct ReadRow(pub RowKey);

/// Reads the rows under a prefix.
#[derive(Clone, Debug)]
pub struct ScanRows {
    /// The prefix.
    pub prefix: String,
    /// Only rows that changed after this version.
    pub changed_after: RowVersion,
}

/// Tries a transaction.
#[derive(Clone, Debug)]
pub struct CommitRows(pub Commit);

/// An answer is about to be sent; answered with whether to withhold it.
#[derive(Clone, Debug)]
pub struct LoseAnswer {
    /// The client.
    pub client: ClientId,
    /// What it wanted.
    pub operation: Operation,
    /// The length of the answer's body.
    pub answer_bytes: usize,
}

/// Sets the faults towards one client, or towards all.
#[derive(Clone, Debug)]
pub struct SetFaults {
    /// The client, or `None` for all.
    pub client: Option<ClientId>,
    /// The faults from now on.
    pub faults: TableFaults,
}

/// Asks for the counts of each client.
#[derive(Clone, Copy, Debug)]
pub struct ReadCounts;
