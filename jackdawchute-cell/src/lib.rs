//! The tasks of an entry instance that schedules a cell together with its peers.
//!
//! One instance, the leader, holds the cell's epoch and schedules. The others accept callers' jobs,
//! forward them to the leader and call advisors on its behalf. The [`Store`] holds the leader's
//! identity and all durable state: each commit extends one chain of versions, so a leader that was
//! replaced cannot commit any more.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod advisor;
pub mod authority;
mod calls;
mod claim;
mod commit;
mod committer;
mod configuration;
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
mod tenant_metrics;

pub use advisor::{AdviceRequestId, AdvisorQueue, Busy, ShortRequestLoad, SHORT_REQUEST_MAX};
pub use gateway::{Answer, Gateway};
pub use instance::{Instance, Platform};
pub use jackdawchute_ports::{Error, Result};
pub use leader::{
    is_outage_of_leader_alone, AdviceCallId, AdviceUnderWay, HandoverPolicy, LeaderFitness,
    OfferReason, Overload, RoundPace,
};
pub use metrics::Metrics;
pub use ports::{
    read_all, Advisor, ConfigurationUpdate, Directory, Page, RowChanges, Store, StoreRow,
    Transaction, TransactionOutcome, Workers, WorkersUpdate, Write,
};
pub use routes::{QueueRoute, Routes};
pub use settings::Settings;
