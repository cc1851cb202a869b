//! The tasks of an entry instance that schedule a cell together with its peers.
//!
//! One instance holds the cell's epoch and schedules; the others take callers' jobs, pass them on
//! and ask advisors for it. Which one it is, and all that must last, lies in the [`Store`]: each
//! commit extends one chain of versions, so an instance that was replaced cannot commit any more.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod advisor;
mod calls;
mod claim;
mod commit;
mod election;
mod gateway;
mod instance;
mod leader;
mod messages;
mod metrics;
mod peers;
mod ports;
mod reachability;
mod recover;
mod routes;
mod rows;
mod settings;

pub use advisor::{AdviceRequestId, AdvisorQueue, Busy, ShortRequestLoad};
pub use gateway::{Answer, Gateway};
pub use instance::{Instance, Platform};
pub use jackdawchute_ports::{Error, Result};
pub use metrics::Metrics;
pub use ports::{
    read_all, Advisor, ConfigurationUpdate, Directory, Page, RowChanges, Store, StoreRow,
    Transaction, TransactionOutcome, Workers, WorkersUpdate, Write,
};
pub use routes::{QueueRoute, Routes};
pub use settings::Settings;
