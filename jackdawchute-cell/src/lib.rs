//! The tasks of an entry instance that schedule a cell together with its peers.
//!
//! One instance holds the cell's epoch and schedules; the others take callers' jobs, pass them on
//! and ask advisors for it. Which one it is, and all that must last, lies in the [`Store`]: each
//! commit extends one chain of versions, so an instance that was replaced cannot commit any more.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod claim;
mod commit;
mod error;
mod gateway;
mod instance;
mod leader;
mod member;
mod messages;
mod metrics;
mod peers;
mod ports;
mod routes;
mod rows;
mod settings;

pub use error::{Error, Result};
pub use gateway::{Answer, Gateway};
pub use instance::{Instance, Parts};
pub use metrics::Metrics;
pub use ports::{
    Advisor, Changes, ConfigurationUpdate, Directory, Page, Store, StoreRow, Transacted,
    Transaction, Workers, WorkersUpdate, Write,
};
pub use routes::{QueueRoute, Routes};
pub use settings::Settings;
