//! Live and leaving members, as listed by the platform.
//!
//! The list may be stale: it is used for placement and routing, and no safety property depends on
//! it.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod messages;
mod state;
mod task;

pub use messages::{Current, SetLeavingDomains, Subscribe};
pub use state::{Change, State};
pub use task::{spawn, MembershipTask, Options};
