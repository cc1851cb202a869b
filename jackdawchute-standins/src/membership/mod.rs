//! The membership list, whose changes become visible after a lag.

mod listener;
mod messages;
mod state;
mod task;

pub use listener::{control_routes, spawn_membership, RunningMembership};
pub use messages::{ChangedSince, SetAvailability, SetLag, SetMembers};
pub use state::LaggingList;
pub use task::{MembershipTask, Refused};
