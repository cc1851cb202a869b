//! Which group and owner answers a call, as far as this instance knows.

mod messages;
mod retries;
mod routes;
mod state;
mod task;

pub(crate) use messages::{
    AskRetry, BeginDrain, Finished, IsReady, Known, LocateGroup, LocateJob, Located, MatchRoute,
    OwnerMissing, PickGroup, Readiness, RouteMatch, Sent, Succeeded, TakesNewWork, View,
};
pub(crate) use task::{spawn, RoutingTask};

use jackdawchute_types::{Refusal, RefusalReason};

/// What a call gets whose task has ended.
pub(crate) fn shutting_down() -> Refusal {
    Refusal::not_run(RefusalReason::Draining, "the instance is shutting down")
}
