//! The platform's balancer in front of the entry instances.

mod messages;
mod task;

pub use messages::{Pick, SetTargets, Target};
pub use task::{spawn, BalancerTask};
