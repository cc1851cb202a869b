//! The home owner, which journals jobs, queues their tasks and assigns them to workers.

mod accept;
mod assign;
mod cancel;
mod claimed;
mod dispatch;
mod expire;
mod explain;
mod finish;
mod gang;
mod job;
mod preempt;
mod queue;
mod rack_calls;
mod report;
mod state;
mod status;
mod view;

pub use explain::Explanation;
pub use job::{Job, Task, TaskPhase};
pub use state::HomeGroups;
