//! Which group and owner answers a call, as far as this instance knows.

mod messages;
mod retries;
mod routes;
mod state;
mod task;

pub(crate) use messages::{
    AskRetry, BeginDrain, Finished, IsReady, KeyChoice, Known, LocateGroup, LocateJob, MatchRoute,
    OwnerMissing, PickGroup, Readiness, RouteMatch, Sent, Succeeded, TakesNewWork, View,
};
pub(crate) use task::{spawn, RoutingTask};
