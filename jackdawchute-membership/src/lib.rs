//! Live and leaving members, as the platform lists them.
//!
//! The list lags behind the truth: it steers choices, and no safety rests on it.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod messages;
mod state;
mod task;

pub use messages::{Current, SetLeavingDomains, Subscribe};
pub use state::{Change, State};
pub use task::{spawn, MembershipTask, Options};
