//! A minion that answers every request after a service time.

mod answer;
mod listener;
mod messages;
mod record;
mod task;

pub use answer::{Answer, Echo, ResponsePlan};
pub use listener::{routes, spawn_minion, MinionOptions, RunningMinion};
pub use messages::{Begin, End, ReadRecord, SetFailing};
pub use record::{MinionRecord, RequestRun};
pub use task::{Begun, MinionTask};
