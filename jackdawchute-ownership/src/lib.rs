//! One owner per group and one fenced journal per owner.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod directory;
mod error;
mod messages;

pub use directory::{Directory, Owner};
pub use error::{Error, Result};
pub use messages::{
    Append, DesiredGroups, EntryKey, GroupEvent, HandOver, JournalEntry, ReportConfiguration,
    Standing, SubscribeDirectory, SubscribeGroups, SubscribeStanding,
};
