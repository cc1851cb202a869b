//! Decisions about the tenants of a cell: whose a call is, what a tenant may have running, and
//! whose work goes first when room is short.
//!
//! It reads no clock, opens no socket and encodes no message.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod access;
mod backlog;
mod caps;
mod keys;
mod policies;
mod policy;
mod shares;

pub use access::{access, Access, Caller};
pub use backlog::{backlog_ms, TenantBacklog};
pub use caps::{holds_cap_for_gang, tasks_below_cap, CapUse};
pub use keys::{ApiKey, Keyring};
pub use policies::TenantPolicies;
pub use policy::{Tenant, TenantPolicy};
pub use shares::{dominant_share, fair_level, share_band, tasks_within_share, Claim};
