//! The task that owns the routing state.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_configuration::{Configuration, Confirmation};
use jackdawchute_ownership::{self as ownership, Directory, LeaseState};
use jackdawchute_ports::MembershipList;
use jackdawchute_types::Refusal;
use tokio::sync::oneshot;
use xtra::prelude::*;

use super::{
    messages::{
        AttemptSucceeded, AuthorizeRetry, BeginDrain, CheckNewWork, GetSnapshot, IsReady,
        LocateGroup, LocateJob, Located, MatchRoute, OwnerMissing, PickGroup, Readiness,
        RequestFinished, RequestSent, RouteMatch, RoutingSnapshot,
    },
    retries::Retries,
    state::State,
};
use crate::Metrics;

/// The minimum time between two scans of the table that are requested because of missing owners.
const SCAN_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Answers which route, group and owner a call has, and whether it may be retried.
#[derive(xtra::Actor)]
pub(crate) struct RoutingTask {
    state: State,
    retries: Retries,
    metrics: Metrics,
    ownership: MessageChannel<ownership::Incoming, ()>,
    /// When a scan was last requested because of a missing owner.
    scan_requested_at: Option<Instant>,
}

/// Starts the task on the current tokio runtime.
pub(crate) fn spawn(
    metrics: Metrics,
    ownership: MessageChannel<ownership::Incoming, ()>,
) -> Address<RoutingTask> {
    let task = RoutingTask {
        state: State::default(),
        retries: Retries::default(),
        metrics,
        ownership,
        scan_requested_at: None,
    };
    xtra::spawn_tokio(task, Mailbox::unbounded())
}

impl Handler<Arc<Configuration>> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, configuration: Arc<Configuration>, _: &mut Context<Self>) {
        self.metrics
            .set_configuration_version(configuration.version);
        self.retries.configure(&configuration);
        self.state.configuration = Some(configuration);
    }
}

impl Handler<Confirmation> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, confirmation: Confirmation, _: &mut Context<Self>) {
        self.state.confirmation = confirmation;
    }
}

impl Handler<Arc<Directory>> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, directory: Arc<Directory>, _: &mut Context<Self>) {
        self.state.directory = directory;
    }
}

impl Handler<Arc<MembershipList>> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, members: Arc<MembershipList>, _: &mut Context<Self>) {
        self.state.members = members;
    }
}

impl Handler<LeaseState> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, lease_state: LeaseState, _: &mut Context<Self>) {
        self.metrics.set_lease_state(lease_state);
        self.state.lease_state = lease_state;
    }
}

impl Handler<OwnerMissing> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, _: OwnerMissing, _: &mut Context<Self>) {
        if self
            .scan_requested_at
            .is_some_and(|instant| instant.elapsed() < SCAN_REQUEST_INTERVAL)
        {
            return;
        }
        self.scan_requested_at = Some(Instant::now());
        let (reply, _answer) = oneshot::channel();
        let rows_changed = ownership::Incoming {
            call: ownership::Call::RowsChanged,
            reply,
        };
        let _handled = self.ownership.send(rows_changed).detach().await;
    }
}

impl Handler<BeginDrain> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, _: BeginDrain, _: &mut Context<Self>) {
        self.state.draining = true;
    }
}

impl Handler<IsReady> for RoutingTask {
    type Return = Readiness;

    async fn handle(&mut self, _: IsReady, _: &mut Context<Self>) -> Readiness {
        self.state.readiness(Instant::now())
    }
}

impl Handler<GetSnapshot> for RoutingTask {
    type Return = RoutingSnapshot;

    async fn handle(&mut self, _: GetSnapshot, _: &mut Context<Self>) -> RoutingSnapshot {
        self.state.snapshot()
    }
}

impl Handler<CheckNewWork> for RoutingTask {
    type Return = Result<(), Refusal>;

    async fn handle(&mut self, _: CheckNewWork, _: &mut Context<Self>) -> Self::Return {
        self.state
            .configuration_for_new_work(Instant::now())
            .map(drop)
    }
}

impl Handler<MatchRoute> for RoutingTask {
    type Return = Result<RouteMatch, Refusal>;

    async fn handle(&mut self, request: MatchRoute, _: &mut Context<Self>) -> Self::Return {
        self.state.match_route(&request, Instant::now())
    }
}

impl Handler<PickGroup> for RoutingTask {
    type Return = Result<Located, Refusal>;

    async fn handle(&mut self, pick: PickGroup, _: &mut Context<Self>) -> Self::Return {
        self.state.pick_group(&pick)
    }
}

impl Handler<LocateGroup> for RoutingTask {
    type Return = Result<Located, Refusal>;

    async fn handle(&mut self, locate: LocateGroup, _: &mut Context<Self>) -> Self::Return {
        self.state.locate(&locate.0)
    }
}

impl Handler<LocateJob> for RoutingTask {
    type Return = Result<Located, Refusal>;

    async fn handle(&mut self, locate: LocateJob, _: &mut Context<Self>) -> Self::Return {
        self.state.locate_job(&locate.0)
    }
}

impl Handler<RequestSent> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, request: RequestSent, _: &mut Context<Self>) {
        self.state.request_sent(request.0);
    }
}

impl Handler<RequestFinished> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, request: RequestFinished, _: &mut Context<Self>) {
        self.state.request_finished(&request.0);
    }
}

impl Handler<AttemptSucceeded> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, succeeded: AttemptSucceeded, _: &mut Context<Self>) {
        self.retries.succeeded(&succeeded.0);
    }
}

impl Handler<AuthorizeRetry> for RoutingTask {
    type Return = Result<Duration, Refusal>;

    async fn handle(&mut self, retry: AuthorizeRetry, _: &mut Context<Self>) -> Self::Return {
        self.retries.authorize(&retry.0)
    }
}
