//! Decisions about the tenants of a cell: whose a call is, what a tenant may have running, and
//! whose work goes first when room is short.
//!
//! It reads no clock, opens no socket and encodes no message.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod access;
mod keys;
mod policy;

pub use access::{access, Access, Caller};
pub use keys::{ApiKey, Keyring};
pub use policy::{Tenant, TenantPolicy};
