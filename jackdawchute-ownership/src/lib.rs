//! One owner per group and one fenced journal per owner.
//!
//! [`spawn`] starts the task of one incarnation, which is one start of an instance's process. It
//! renews a row of its own in the table, claims the groups that are assigned to it, journals
//! entries before their effects are sent, and takes over from incarnations whose rows have expired.
//!
//! The incarnation that renews a row is its holder. Any other incarnation is a challenger of the
//! holder: once the row has been unchanged for the takeover time, a challenger may fence the
//! holder, whose commits then fail, and become the successor that owns its groups.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod announce;
mod append;
pub mod assign;
mod calls;
mod claim;
pub mod commit_status;
mod directory;
pub mod effect;
mod error;
mod forward;
mod garbage;
pub mod journal;
mod messages;
pub mod model;
mod next_commit;
pub mod owner_lease;
pub mod pending_commit;
pub mod plan;
mod release;
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
