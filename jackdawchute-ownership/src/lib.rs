//! One owner per group and one fenced journal per owner.
//!
//! [`spawn`] starts the task of one incarnation. It keeps a row of its own in the table, claims
//! the groups that fall to it, journals entries before their effects are sent, and takes over
//! from incarnations that stand still.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod announce;
mod append;
pub mod assign;
mod calls;
mod claim;
mod collect;
pub mod commit_status;
mod directory;
pub mod effect;
mod error;
mod forward;
mod hand_over;
pub mod journal;
mod messages;
pub mod model;
pub mod owner_lease;
pub mod pending_commit;
pub mod plan;
mod renew;
pub mod replay;
pub mod rows;
pub mod state;
mod subscribe;
pub mod takeover;
mod task;
mod timing;
pub mod view;

pub use directory::{Directory, Owner};
pub use error::{Error, Result};
pub use messages::{
    Append, Call, DesiredGroups, EntryKey, GroupEvent, HandOver, Incoming, JournalEntry,
    LeaseExpiry, LeaseState, NoPeers, PeerCalls, Reply, ReportConfiguration, SubscribeDirectory,
    SubscribeGroups, SubscribeLeaseExpiry, SubscribeLeaseState,
};
pub use task::{spawn, Options, OwnershipTask};
pub use timing::Timing;
