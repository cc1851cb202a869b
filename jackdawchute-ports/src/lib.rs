//! Ports to the platform: table service, membership list and workers.
//!
//! Each port is a trait, used as a trait object, with an HTTP client; the table also has an
//! in-memory implementation. This crate makes no scheduling decisions.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod error;
mod http_client;
mod membership;
mod memory_table;
mod table;
mod worker;

pub use error::{Error, Result};
pub use http_client::{HttpMembership, HttpTable, HttpWorker};
pub use membership::{Member, MemberRole, MemberState, MembershipList, MembershipSource};
pub use memory_table::MemoryTable;
pub use table::{
    Commit, CommitOutcome, Condition, Row, RowKey, RowVersion, Scan, Table, Write, WriteId,
};
pub use worker::{
    Lease, StartOutcome, StartTask, TaskEnd, TaskReport, WorkerClock, WorkerPort, WorkerReport,
};
