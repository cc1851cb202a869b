//! Service requests: minion slots, idempotency keys, stored answers and retries.
//!
//! The owner of a service group grants slots. The entry instance that holds the caller's
//! connection sends the request itself, so that no body passes through the owner.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod acquire;
mod complete;
mod connections;
mod effect;
mod error;
mod execute;
mod expire;
mod fleet;
mod grant;
mod group;
mod groups;
mod held_grants;
mod holders;
mod journal;
mod keys;
mod messages;
mod minion;
mod recover;
mod retry;
mod settings;
mod state;
mod status;
mod task;

pub use connections::idle_connections_max;
pub use effect::{AppendOutcome, AppendPurpose, AppendStep, CallId, Effect};
pub use error::{Error, Result};
pub use groups::{key_group, key_groups, rendezvous_group, service_group};
pub use held_grants::HeldGrants;
pub use journal::{JournaledKey, JournaledState};
pub use messages::{
    AbandonGrant, Acquire, Call, ChangeSettings, Complete, Explain, Grant, GrantId, GrantOutcome,
    Incoming, OwnerCalls, RegisterGrant, ReleaseGrant, Reply, Status, StoredAnswer,
};
pub use retry::{Backoff, FailedAttempt, RetryBudget, RetrySettings};
pub use settings::{EjectionSettings, GrantSettings, RetentionSettings, Settings};
pub use state::State;
pub use status::{Explanation, GroupStatus, MinionStatus, RequestsStatus};
pub use task::{spawn, Options, RequestsTask};
