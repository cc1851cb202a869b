//! The task that owns what the instance knows.

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
        AskRetry, BeginDrain, Finished, IsReady, Known, LocateGroup, LocateJob, Located,
        MatchRoute, OwnerMissing, PickGroup, Readiness, RouteMatch, Sent, Succeeded, TakesNewWork,
        View,
    },
    retries::Retries,
    state::State,
};
use crate::Metrics;

/// The least time between two reads of the directory that missing owners cause.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Owns routes, owners and retry budgets as this instance knows them.
#[derive(xtra::Actor)]
pub(crate) struct RoutingTask {
    state: State,
    retries: Retries,
    metrics: Metrics,
    ownership: MessageChannel<ownership::Incoming, ()>,
    looked_at: Option<Instant>,
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
        looked_at: None,
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
            .looked_at
            .is_some_and(|instant| instant.elapsed() < LOOK_INTERVAL)
        {
            return;
        }
        self.looked_at = Some(Instant::now());
        let (reply, _answer) = oneshot::channel();
        let look = ownership::Incoming {
            call: ownership::Call::RowsChanged,
            reply,
        };
        let _handled = self.ownership.send(look).detach().await;
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

impl Handler<View> for RoutingTask {
    type Return = Known;

    async fn handle(&mut self, _: View, _: &mut Context<Self>) -> Known {
        self.state.known()
    }
}

impl Handler<TakesNewWork> for RoutingTask {
    type Return = Result<(), Refusal>;

    async fn handle(&mut self, _: TakesNewWork, _: &mut Context<Self>) -> Self::Return {
        self.state.takes_new_work(Instant::now()).map(drop)
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

impl Handler<Sent> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, sent: Sent, _: &mut Context<Self>) {
        self.state.sent(sent.0);
    }
}

impl Handler<Finished> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, finished: Finished, _: &mut Context<Self>) {
        self.state.finished(&finished.0);
    }
}

impl Handler<Succeeded> for RoutingTask {
    type Return = ();

    async fn handle(&mut self, succeeded: Succeeded, _: &mut Context<Self>) {
        self.retries.succeeded(&succeeded.0);
    }
}

impl Handler<AskRetry> for RoutingTask {
    type Return = Result<Duration, Refusal>;

    async fn handle(&mut self, ask: AskRetry, _: &mut Context<Self>) -> Self::Return {
        self.retries.ask(&ask.0)
    }
}
