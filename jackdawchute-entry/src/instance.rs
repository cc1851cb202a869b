//! One entry instance: its tasks, how they are connected, and its graceful shutdown.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use jackdawchute_admission::AdmissionPolicy;
use jackdawchute_configuration as configuration;
use jackdawchute_dispatch as dispatch;
use jackdawchute_jobs as jobs;
use jackdawchute_membership as membership;
use jackdawchute_ownership as ownership;
use jackdawchute_peer as peer;
use jackdawchute_platform::{MembershipSource, Table};
use jackdawchute_requests as requests;
use jackdawchute_settings::Settings;
use jackdawchute_timer::TimerTask;
use jackdawchute_types::IncarnationId;
use rand::Rng;
use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};
use tokio::{
    sync::{oneshot, watch},
    task::JoinHandle,
};
use xtra::prelude::*;

use crate::{
    authority::{JobsAuthority, RequestsAuthority},
    callers::{self, CallersOptions, JobsFront, RequestsFront},
    counted_table::CountedTable,
    listener::Bounds,
    operators::{self, ConfigurationFront, ExplainSources, OperatorsOptions, StatusSources},
    remotes::{self, ConfigurationPeers, Remotes},
    routing::{self, BeginDrain, RoutingTask},
    wiring::WiringTask,
    Error, Metrics, Result,
};

/// How long new calls are still taken after the instance became unready, for the balancer.
const BALANCER_NOTICE: Duration = Duration::from_millis(1_500);
/// How many renewals go by between two reads of the others' rows. Each read carries the row of
/// every live instance, so this is most of what an idle instance receives.
const RENEWALS_PER_SCAN: u32 = 2;
/// The most connections to the operators' and the peers' listener, each.
const INTERNAL_CONNECTIONS_MAX: u32 = 256;
/// The largest body of a job in bytes.
const JOB_BYTES_MAX: usize = 256 * 1024;

/// The platform's services.
#[derive(Clone)]
pub struct Platform {
    /// The transactional table service.
    pub table: Arc<dyn Table>,
    /// The membership list.
    pub membership: Arc<dyn MembershipSource>,
    /// The workers.
    pub workers: Arc<dyn jobs::WorkerPorts>,
}

/// Where an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// For callers' requests and jobs.
    pub callers: SocketAddr,
    /// For operators, metrics and health checks.
    pub operators: SocketAddr,
    /// For other entry instances.
    pub peers: SocketAddr,
}

/// A running entry instance.
pub struct Instance {
    /// Where it listens.
    pub addresses: Addresses,
    /// This start of it.
    pub incarnation: IncarnationId,
    tasks: Tasks,
    peer_server: peer::RunningServer,
    callers: Server,
    operators: Server,
    shutdown_timeout: Duration,
}

/// The addresses of the instance's tasks; a task ends with its last address.
#[derive(Clone)]
struct Tasks {
    /// Kept alive for the subscriptions.
    _timer: Address<TimerTask>,
    routing: Address<RoutingTask>,
    ownership: Address<ownership::OwnershipTask>,
    requests: Address<requests::RequestsTask>,
    jobs: Address<jobs::JobsTask>,
    dispatch: Address<dispatch::DispatchTask>,
    membership: Address<membership::MembershipTask>,
    configuration: Address<configuration::ConfigurationTask>,
    wiring: Address<WiringTask>,
}

/// A listener that ends gracefully when told to.
struct Server {
    stop: watch::Sender<bool>,
    ended: JoinHandle<()>,
}

impl Instance {
    /// Starts an instance on the current tokio runtime.
    ///
    /// # Errors
    /// A listener could not be bound or a token file not be read.
    pub async fn start(settings: Settings, platform: Platform) -> Result<Self> {
        let metrics = Metrics::default();
        let incarnation =
            format_smolstr!("{}-{:016x}", settings.instance, rand::rng().random::<u64>());
        let token = Arc::new(read_token(settings.peer_token_file.as_deref())?.unwrap_or_default());
        let peer_server = bind_peers(&settings, token.clone()).await?;
        let peer_address = settings
            .advertised_peer_address
            .unwrap_or(peer_server.address);
        let remotes = Remotes::new(peer::spawn(token), &settings.timing);
        let table = Arc::new(CountedTable::new(platform.table.clone(), metrics.clone()));
        let platform = Platform { table, ..platform };
        let table = platform.table.clone();
        let tasks = Parts {
            settings: &settings,
            platform,
            metrics: &metrics,
            remotes: &remotes,
        }
        .spawn(&incarnation, peer_address);
        tasks.connect().await;
        let peers = peer_server.address;
        let explain = tasks.explain_sources(&incarnation, &remotes);
        let peer_server = peer_server.start(tasks.peer_services(explain));
        let fronts = Fronts {
            settings: &settings,
            tasks: &tasks,
            remotes: &remotes,
            table,
            metrics,
        };
        let (callers_address, callers) = fronts.serve_callers(&incarnation).await?;
        let (operators_address, operators) = fronts.serve_operators(&incarnation).await?;
        let addresses = Addresses {
            callers: callers_address,
            operators: operators_address,
            peers,
        };
        let shutdown_timeout = settings.timing.shutdown_timeout;
        Ok(Self {
            addresses,
            incarnation,
            tasks,
            peer_server,
            callers,
            operators,
            shutdown_timeout,
        })
    }

    /// Resolves when a successor has fenced this incarnation; the process must end then.
    pub async fn fenced(&self) {
        let (fenced, seen) = oneshot::channel();
        let watcher = xtra::spawn_tokio(
            FenceWatch {
                fenced: Some(fenced),
            },
            Mailbox::unbounded(),
        );
        let subscriber = MessageChannel::new(watcher.downgrade());
        let subscription = ownership::SubscribeStanding { subscriber };
        if self.tasks.ownership.send(subscription).await.is_ok() {
            let _ = seen.await;
        }
    }

    /// Shuts down gracefully: unready for the balancer, groups handed over, requests in flight
    /// answered. Gives up what is left after the settings' shutdown timeout.
    pub async fn shut_down(self) {
        let deadline = tokio::time::Instant::now() + self.shutdown_timeout;
        let _ = self.tasks.routing.send(BeginDrain).await;
        spdlog::info!("shutdown: unready for the balancer", kv: { incarnation = self.incarnation.as_str() });
        tokio::time::sleep(BALANCER_NOTICE).await;
        let handed_over = tokio::spawn(hand_over(self.tasks.ownership.clone()));
        self.callers.end(deadline).await;
        let _ = tokio::time::timeout_at(deadline, handed_over).await;
        self.operators.end(deadline).await;
        self.peer_server.stop();
        spdlog::info!("shutdown: done", kv: { incarnation = self.incarnation.as_str() });
    }
}

async fn hand_over(ownership: Address<ownership::OwnershipTask>) {
    let (reply, done) = oneshot::channel();
    if ownership.send(ownership::HandOver { reply }).await.is_ok() {
        if let Ok(Err(error)) = done.await {
            spdlog::warn!("hand over groups: {error}");
        }
    }
}

impl Server {
    async fn end(self, deadline: tokio::time::Instant) {
        let _ = self.stop.send(true);
        if tokio::time::timeout_at(deadline, self.ended).await.is_err() {
            spdlog::warn!("shutdown: a listener still had connections at the timeout");
        }
    }
}

/// Tells when the incarnation was fenced.
#[derive(xtra::Actor)]
struct FenceWatch {
    fenced: Option<oneshot::Sender<()>>,
}

impl Handler<ownership::Standing> for FenceWatch {
    type Return = ();

    async fn handle(&mut self, standing: ownership::Standing, context: &mut Context<Self>) {
        if standing == ownership::Standing::Fenced {
            if let Some(fenced) = self.fenced.take() {
                let _ = fenced.send(());
            }
            context.stop_self();
        }
    }
}

fn read_token(path: Option<&Path>) -> Result<Option<SmolStr>> {
    let Some(path) = path else { return Ok(None) };
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text.trim().into())),
        Err(cause) => Err(Error::Token(path.display().to_string(), cause.to_string())),
    }
}

async fn bind_peers(settings: &Settings, token: peer::Token) -> Result<peer::BoundServer> {
    let address = settings.listen.peers;
    let options = peer::Options {
        address,
        token,
        connections_max: INTERNAL_CONNECTIONS_MAX,
    };
    let bind_error =
        |error: peer::Error| Error::Bind("peers", address.to_string(), error.to_string());
    peer::bind(options).await.map_err(bind_error)
}

/// What the tasks are made of.
struct Parts<'a> {
    settings: &'a Settings,
    platform: Platform,
    metrics: &'a Metrics,
    remotes: &'a Remotes,
}

impl Parts<'_> {
    fn spawn(self, incarnation: &IncarnationId, peer_address: SocketAddr) -> Tasks {
        let timer = jackdawchute_timer::spawn();
        let ownership = self.ownership(incarnation, peer_address, &timer);
        let requests = self.requests(incarnation, &ownership, &timer);
        let jobs = self.jobs(incarnation, &ownership, &timer);
        let dispatch = dispatch::spawn(dispatch::Options::default());
        let routing = routing::spawn(self.metrics.clone(), MessageChannel::new(ownership.clone()));
        let membership = self.membership(&timer);
        let wiring = WiringTask {
            incarnation: incarnation.clone(),
            membership: membership.clone(),
            peers: Arc::new(self.remotes.clone()),
            introduced: false,
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
            peers: Arc::new(self.remotes.clone()),
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
            remote: Arc::new(self.remotes.clone()),
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
            remote: Arc::new(self.remotes.clone()),
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
                remotes: self.remotes.clone(),
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
    /// Subscribes each task to what it needs to know.
    async fn connect(&self) {
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
        let standing_subscribers = [
            MessageChannel::new(self.routing.downgrade()),
            MessageChannel::new(self.requests.downgrade()),
            MessageChannel::new(self.jobs.downgrade()),
        ];
        for subscriber in standing_subscribers {
            let _ = self
                .ownership
                .send(ownership::SubscribeStanding { subscriber })
                .await;
        }
        let subscriber = MessageChannel::new(self.requests.downgrade());
        let _ = self
            .ownership
            .send(ownership::SubscribeLease { subscriber })
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

    fn explain_sources(&self, incarnation: &IncarnationId, remotes: &Remotes) -> ExplainSources {
        ExplainSources {
            incarnation: incarnation.clone(),
            routing: self.routing.clone(),
            requests: self.requests.clone(),
            jobs: self.jobs.clone(),
            peers: remotes.peers.clone(),
        }
    }

    fn peer_services(&self, explain: ExplainSources) -> peer::Services {
        let tasks = remotes::Tasks {
            requests: MessageChannel::new(self.requests.clone()),
            jobs: MessageChannel::new(self.jobs.clone()),
            ownership: MessageChannel::new(self.ownership.clone()),
            configuration: MessageChannel::new(self.configuration.clone()),
        };
        remotes::services(tasks, explain)
    }
}

/// What the listeners are made of.
struct Fronts<'a> {
    settings: &'a Settings,
    tasks: &'a Tasks,
    remotes: &'a Remotes,
    table: Arc<dyn Table>,
    metrics: Metrics,
}

impl Fronts<'_> {
    async fn serve_callers(&self, incarnation: &IncarnationId) -> Result<(SocketAddr, Server)> {
        let limits = &self.settings.limits;
        let bytes = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        let options = CallersOptions {
            requests: self.requests_front(incarnation),
            jobs: self.jobs_front(incarnation),
            job_bytes_max: JOB_BYTES_MAX,
            body_bytes_max: bytes(limits.body_bytes),
            bounds: Bounds {
                connections_max: limits.connections as usize,
                header_bytes_max: bytes(limits.header_bytes),
            },
        };
        let (stop, stopped) = watch::channel(false);
        let address = self.settings.listen.callers;
        let (address, ended) = callers::serve(address, options, told(stopped)).await?;
        Ok((address, Server { stop, ended }))
    }

    fn requests_front(&self, incarnation: &IncarnationId) -> RequestsFront {
        RequestsFront {
            incarnation: incarnation.clone(),
            routing: self.tasks.routing.clone(),
            authority: RequestsAuthority {
                incarnation: incarnation.clone(),
                local: MessageChannel::new(self.tasks.requests.clone()),
                remote: Arc::new(self.remotes.clone()),
            },
            holder: self.tasks.requests.clone(),
            dispatch: self.tasks.dispatch.clone(),
            metrics: self.metrics.clone(),
        }
    }

    fn jobs_front(&self, incarnation: &IncarnationId) -> JobsFront {
        JobsFront {
            routing: self.tasks.routing.clone(),
            authority: JobsAuthority {
                incarnation: incarnation.clone(),
                local: MessageChannel::new(self.tasks.jobs.clone()),
                remote: Arc::new(self.remotes.clone()),
            },
            metrics: self.metrics.clone(),
        }
    }

    async fn serve_operators(&self, incarnation: &IncarnationId) -> Result<(SocketAddr, Server)> {
        let status = StatusSources {
            incarnation: incarnation.clone(),
            metrics: self.metrics.clone(),
            configuration: self.tasks.configuration.clone(),
            routing: self.tasks.routing.clone(),
            requests: self.tasks.requests.clone(),
            jobs: self.tasks.jobs.clone(),
        };
        let header_bytes_max =
            usize::try_from(self.settings.limits.header_bytes).unwrap_or(usize::MAX);
        let configuration = ConfigurationFront {
            table: self.table.clone(),
            task: self.tasks.configuration.clone(),
        };
        let options = OperatorsOptions {
            status,
            explain: self.tasks.explain_sources(incarnation, self.remotes),
            configuration,
            metrics: self.metrics.clone(),
            token: read_token(self.settings.operator_token_file.as_deref())?,
            bounds: Bounds {
                connections_max: INTERNAL_CONNECTIONS_MAX as usize,
                header_bytes_max,
            },
        };
        let (stop, stopped) = watch::channel(false);
        let address = self.settings.listen.operators;
        let (address, ended) = operators::serve(address, options, told(stopped)).await?;
        Ok((address, Server { stop, ended }))
    }
}

async fn told(mut stopped: watch::Receiver<bool>) {
    // An error means that the instance was dropped, which stops the listener as well.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}
