//! A TCP proxy that delays, holds and cuts connections, in one direction or both.

mod control;
mod faults;
mod messages;
mod pump;
mod task;

pub use control::{control_routes, spawn_proxy, RunningProxy};
pub use faults::{DirectionFaults, ProxyCounts, ProxyFaults};
pub use messages::{CutConnections, Direction, ReadCounts, SetFaults, SetTarget};
pub use task::ProxyTask;
