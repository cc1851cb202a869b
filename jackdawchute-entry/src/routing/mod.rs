//! Finds the group and owner that answer a call, from what this instance knows.

mod messages;
mod retries;
mod routes;
mod state;
mod task;

pub(crate) use messages::{
    AttemptSucceeded, AuthorizeRetry, BeginDrain, CheckNewWork, GetSnapshot, IsReady, LocateGroup,
    LocateJob, Located, MatchRoute, OwnerMissing, PickGroup, Readiness, RequestFinished,
    RequestSent, RouteMatch, RoutingSnapshot,
};
pub(crate) use task::{spawn, RoutingTask};

use jackdawchute_types::{Refusal, RefusalReason};

/// Returns the refusal of a call whose task has ended.
pub(crate) fn shutting_down() -> Refusal {
    Refusal::not_run(RefusalReason::Draining, "the instance is shutting down")
}
