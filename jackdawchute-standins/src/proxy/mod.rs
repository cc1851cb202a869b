//! A TCP proxy that delays or blocks bytes, in one direction or both, and closes connections.

mod control;
mod faults;
mod messages;
mod pump;
mod task;

pub use control::{control_routes, spawn_proxy, RunningProxy};
pub use faults::{DirectionFaults, ProxyCounts, ProxyFaults};
pub use messages::{CutConnections, Direction, ReadCounts, SetFaults, SetSourceFaults, SetTarget};
pub use task::ProxyTask;
