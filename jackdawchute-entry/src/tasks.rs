//! Starts the tasks of one instance and subscribes them to each other.

use std::{net::SocketAddr, sync::Arc};

use jackdawchute_admission::AdmissionPolicy;
use jackdawchute_configuration as configuration;
use jackdawchute_dispatch as dispatch;
use jackdawchute_jobs as jobs;
use jackdawchute_membership as membership;
use jackdawchute_ownership as ownership;
use jackdawchute_peer as peer;
use jackdawchute_requests as requests;
use jackdawchute_settings::Settings;
use jackdawchute_timer::TimerTask;
use jackdawchute_types::IncarnationId;
use smol_str::SmolStr;
use xtra::prelude::*;

use crate::{
    instance::Platform,
    operators::ExplainSources,
    remote_calls::{self, ConfigurationPeers, RemoteCalls},
    routing::{self, RoutingTask},
    wiring::WiringTask,
    Metrics,
};

/// How often an instance renews its own row for each scan of the other instances' rows. Each scan
/// returns the row of every live instance, which is most of what an idle instance receives.
const RENEWALS_PER_SCAN: u32 = 2;

/// The addresses of the instance's tasks; a task ends when its last address is dropped.
#[derive(Clone)]
pub(crate) struct Tasks {
    /// Keeps the timer task alive for its subscribers.
    pub(crate) _timer: Address<TimerTask>,
    pub(crate) routing: Address<RoutingTask>,
    pub(crate) ownership: Address<ownership::OwnershipTask>,
    pub(crate) requests: Address<requests::RequestsTask>,
    pub(crate) jobs: Address<jobs::JobsTask>,
    pub(crate) dispatch: Address<dispatch::DispatchTask>,
    pub(crate) membership: Address<membership::MembershipTask>,
    pub(crate) configuration: Address<configuration::ConfigurationTask>,
    pub(crate) wiring: Address<WiringTask>,
}

/// Builds and starts the tasks of one instance.
pub(crate) struct TasksBuilder<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) platform: Platform,
    pub(crate) metrics: &'a Metrics,
    pub(crate) remote_calls: &'a RemoteCalls,
}

impl TasksBuilder<'_> {
    /// Starts all tasks; [`Tasks::connect`] subscribes them to each other.
    pub(crate) fn spawn(self, incarnation: &IncarnationId, peer_address: SocketAddr) -> Tasks {
        let timer = jackdawchute_timer::spawn();
        let ownership = self.ownership(incarnation, peer_address, &timer);
        let requests = self.requests(incarnation, &ownership, &timer);
        let jobs = self.jobs(incarnation, &ownership, &timer);
        let dispatch = dispatch::spawn(dispatch::Options::default());
        let routing = routing::spawn(self.metrics.clone(), MessageChannel::new(ownership.clone()));
        let membership = self.membership(&timer);
        let wiring = WiringTask {
            membership: membership.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            ownership: ownership.clone(),
            requests: requests.clone(),
            jobs: jobs.clone(),
            dispatch: dispatch.clone(),
            configuration: None,
            members: Arc::default(),
        };
        Tasks {
            membership,
            configuration: self.configuration(incarnation, peer_address, &routing, &timer),
            routing,
            wiring: xtra::spawn_tokio(wiring, Mailbox::unbounded()),
            _timer: timer,
            ownership,
            requests,
            jobs,
            dispatch,
        }
    }

    fn ownership(
        &self,
        incarnation: &IncarnationId,
        peer_address: SocketAddr,
        timer: &Address<TimerTask>,
    ) -> Address<ownership::OwnershipTask> {
        let timing = &self.settings.timing;
        ownership::spawn(ownership::Options {
            incarnation: incarnation.clone(),
            peer_address,
            failure_domain: self.settings.failure_domain.clone(),
            table: self.platform.table.clone(),
            peers: Arc::new(self.remote_calls.clone()),
            timer: timer.clone(),
            timing: ownership::Timing {
                renewal_period: timing.renewal_interval,
                scan_period: timing.renewal_interval * RENEWALS_PER_SCAN,
                lease: timing.lease,
                takeover: timing.takeover,
                ..Default::default()
            },
        })
    }

    fn requests(
        &self,
        incarnation: &IncarnationId,
        ownership: &Address<ownership::OwnershipTask>,
        timer: &Address<TimerTask>,
    ) -> Address<requests::RequestsTask> {
        requests::spawn(requests::Options {
            incarnation: incarnation.clone(),
            append: MessageChannel::new(ownership.clone()),
            timer: timer.clone(),
            owner_calls: Arc::new(self.remote_calls.clone()),
            recorder: Arc::new(jackdawchute_types::NoRecorder),
            admission: Box::new(admission_policy),
            settings: Arc::default(),
        })
    }

    fn jobs(
        &self,
        incarnation: &IncarnationId,
        ownership: &Address<ownership::OwnershipTask>,
        timer: &Address<TimerTask>,
    ) -> Address<jobs::JobsTask> {
        jobs::spawn(jobs::Options {
            incarnation: incarnation.clone(),
            append: MessageChannel::new(ownership.clone()),
            timer: timer.clone(),
            owner_calls: Arc::new(self.remote_calls.clone()),
            workers: self.platform.workers.clone(),
            recorder: Arc::new(self.metrics.clone()),
            policy: Box::new(jackdawchute_placement::ByKind::default()),
            admission: admission_policy(),
            settings: Arc::default(),
        })
    }

    fn membership(&self, timer: &Address<TimerTask>) -> Address<membership::MembershipTask> {
        membership::spawn(membership::Options {
            source: self.platform.membership.clone(),
            timer: timer.clone(),
            poll_interval: self.settings.timing.membership_poll,
        })
    }

    fn configuration(
        &self,
        incarnation: &IncarnationId,
        peer_address: SocketAddr,
        routing: &Address<RoutingTask>,
        timer: &Address<TimerTask>,
    ) -> Address<configuration::ConfigurationTask> {
        configuration::spawn(configuration::Options {
            table: self.platform.table.clone(),
            peers: Arc::new(ConfigurationPeers {
                incarnation: incarnation.clone(),
                peer_address,
                routing: routing.clone(),
                remote_calls: self.remote_calls.clone(),
            }),
            timer: timer.clone(),
            poll_interval: self.settings.timing.configuration_poll,
            confirm_time: self.settings.timing.configuration_confirm,
        })
    }
}

fn admission_policy() -> Box<dyn AdmissionPolicy> {
    Box::new(jackdawchute_admission::FairShare::default())
}

impl Tasks {
    /// Subscribes each task to the groups, directory, lease state, members and configuration that
    /// it uses.
    pub(crate) async fn connect(&self) {
        self.connect_ownership().await;
        self.connect_membership().await;
        self.connect_configuration().await;
    }

    async fn connect_ownership(&self) {
        let groups = [
            ("service/", MessageChannel::new(self.requests.downgrade())),
            ("jobs/", MessageChannel::new(self.jobs.downgrade())),
            ("rack/", MessageChannel::new(self.jobs.downgrade())),
        ];
        for (prefix, subscriber) in groups {
            let subscription = ownership::SubscribeGroups {
                prefix: SmolStr::new(prefix),
                subscriber,
            };
            let _ = self.ownership.send(subscription).await;
        }
        let directory_subscribers = [
            MessageChannel::new(self.routing.downgrade()),
            MessageChannel::new(self.requests.downgrade()),
            MessageChannel::new(self.jobs.downgrade()),
            MessageChannel::new(self.wiring.downgrade()),
        ];
        for subscriber in directory_subscribers {
            let _ = self
                .ownership
                .send(ownership::SubscribeDirectory { subscriber })
                .await;
        }
        let lease_state_subscribers = [
            MessageChannel::new(self.routing.downgrade()),
            MessageChannel::new(self.requests.downgrade()),
            MessageChannel::new(self.jobs.downgrade()),
        ];
        for subscriber in lease_state_subscribers {
            let _ = self
                .ownership
                .send(ownership::SubscribeLeaseState { subscriber })
                .await;
        }
        let subscriber = MessageChannel::new(self.requests.downgrade());
        let _ = self
            .ownership
            .send(ownership::SubscribeLeaseExpiry { subscriber })
            .await;
    }

    async fn connect_membership(&self) {
        let subscribers = [
            MessageChannel::new(self.routing.downgrade()),
            MessageChannel::new(self.requests.downgrade()),
            MessageChannel::new(self.jobs.downgrade()),
            MessageChannel::new(self.wiring.downgrade()),
        ];
        for subscriber in subscribers {
            let _ = self
                .membership
                .send(membership::Subscribe { subscriber })
                .await;
        }
    }

    async fn connect_configuration(&self) {
        let subscribers = [
            MessageChannel::new(self.routing.downgrade()),
            MessageChannel::new(self.wiring.downgrade()),
        ];
        for subscriber in subscribers {
            let _ = self
                .configuration
                .send(configuration::Subscribe { subscriber })
                .await;
        }
        let subscriber = MessageChannel::new(self.routing.downgrade());
        let subscription = configuration::SubscribeConfirmation { subscriber };
        let _ = self.configuration.send(subscription).await;
    }

    /// Returns what answers the explain calls of operators and peers.
    pub(crate) fn explain_sources(
        &self,
        incarnation: &IncarnationId,
        remote_calls: &RemoteCalls,
    ) -> ExplainSources {
        ExplainSources {
            incarnation: incarnation.clone(),
            routing: self.routing.clone(),
            requests: self.requests.clone(),
            jobs: self.jobs.clone(),
            peers: remote_calls.peers.clone(),
        }
    }

    /// Returns the services of the peer listener, each answered by the task of its slice.
    pub(crate) fn peer_services(&self, explain: ExplainSources) -> peer::Services {
        let tasks = remote_calls::PeerCallTasks {
            requests: MessageChannel::new(self.requests.clone()),
            jobs: MessageChannel::new(self.jobs.clone()),
            ownership: MessageChannel::new(self.ownership.clone()),
            configuration: MessageChannel::new(self.configuration.clone()),
        };
        remote_calls::services(tasks, explain)
    }
}
