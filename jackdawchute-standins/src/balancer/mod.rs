//! The platform's load balancer in front of the entry instances.

mod messages;
mod task;

pub use messages::{Pick, ReadReady, SetTargets, Target};
pub use task::{spawn, BalancerTask};
