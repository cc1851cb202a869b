//! One entry instance and its graceful shutdown.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jackdawchute_jobs as jobs;
use jackdawchute_ownership as ownership;
use jackdawchute_peer as peer;
use jackdawchute_ports::{MembershipSource, Table};
use jackdawchute_settings::Settings;
use jackdawchute_types::IncarnationId;
use rand::Rng;
use serde::Serialize;
use smol_str::format_smolstr;
use tokio::sync::oneshot;
use xtra::prelude::*;

use crate::{
    counted_table::CountedTable,
    listeners::{bind_peers, read_token, Listeners, RunningListener},
    remote_calls::RemoteCalls,
    routing::BeginDrain,
    tasks::{Tasks, TasksBuilder},
    Metrics, Result,
};

/// How long new calls are still accepted after the instance became unready, so that the balancer
/// can stop sending them here.
const BALANCER_REACTION_TIME: Duration = Duration::from_millis(1_500);

/// The services of the platform that an instance uses.
#[derive(Clone)]
pub struct Platform {
    /// The transactional table that holds journals, owners and the configuration.
    pub table: Arc<dyn Table>,
    /// The source of the membership list: entry instances, minions and workers.
    pub membership: Arc<dyn MembershipSource>,
    /// Opens the connections to workers.
    pub workers: Arc<dyn jobs::WorkerPorts>,
}

/// The addresses on which an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// The listener for callers' requests and jobs.
    pub callers: SocketAddr,
    /// The listener for operators, metrics and health checks.
    pub operators: SocketAddr,
    /// The listener for other entry instances.
    pub peers: SocketAddr,
}

/// A running entry instance.
pub struct Instance {
    /// The addresses of the listeners, with the ports that the system chose.
    pub addresses: Addresses,
    /// The incarnation: the configured name and a random number for this start.
    pub incarnation: IncarnationId,
    tasks: Tasks,
    peer_server: peer::RunningServer,
    callers: RunningListener,
    operators: RunningListener,
    shutdown_timeout: Duration,
}

impl Instance {
    /// Starts an instance on the current tokio runtime.
    ///
    /// # Errors
    /// A listener could not be bound or a token file could not be read.
    pub async fn start(settings: Settings, platform: Platform) -> Result<Self> {
        let metrics = Metrics::default();
        let incarnation =
            format_smolstr!("{}-{:016x}", settings.instance, rand::rng().random::<u64>());
        let token = Arc::new(read_token(settings.peer_token_file.as_deref())?.unwrap_or_default());
        let peer_server = bind_peers(&settings, token.clone()).await?;
        let peer_address = settings
            .advertised_peer_address
            .unwrap_or(peer_server.address);
        let remote_calls = RemoteCalls::new(peer::spawn(token), &settings.timing);
        let table = Arc::new(CountedTable::new(platform.table.clone(), metrics.clone()));
        let platform = Platform { table, ..platform };
        let table = platform.table.clone();
        let tasks = TasksBuilder {
            settings: &settings,
            platform,
            metrics: &metrics,
            remote_calls: &remote_calls,
        }
        .spawn(&incarnation, peer_address);
        tasks.connect().await;
        let peers = peer_server.address;
        let explain = tasks.explain_sources(&incarnation, &remote_calls);
        let peer_server = peer_server.start(tasks.peer_services(explain));
        let listeners = Listeners {
            settings: &settings,
            tasks: &tasks,
            remote_calls: &remote_calls,
            table,
            metrics,
        };
        let (callers_address, callers) = listeners.serve_callers(&incarnation).await?;
        let (operators_address, operators) = listeners.serve_operators(&incarnation).await?;
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

    /// Resolves when a successor has fenced this incarnation; the process must then exit.
    pub async fn fenced(&self) {
        let (fenced, notified) = oneshot::channel();
        let fence_subscriber = xtra::spawn_tokio(
            FenceSubscriber {
                fenced: Some(fenced),
            },
            Mailbox::unbounded(),
        );
        let subscriber = MessageChannel::new(fence_subscriber.downgrade());
        let subscription = ownership::SubscribeLeaseState { subscriber };
        if self.tasks.ownership.send(subscription).await.is_ok() {
            let _ = notified.await;
        }
    }

    /// Shuts down gracefully: becomes unready, hands the groups over and answers the requests in
    /// flight. Abandons what is left after the shutdown timeout of the settings.
    pub async fn shut_down(self) {
        let deadline = tokio::time::Instant::now() + self.shutdown_timeout;
        let _ = self.tasks.routing.send(BeginDrain).await;
        spdlog::info!("shutdown: instance is unready", kv: { incarnation = self.incarnation.as_str() });
        tokio::time::sleep(BALANCER_REACTION_TIME).await;
        let handover = tokio::spawn(hand_over(self.tasks.ownership.clone()));
        self.callers.shut_down(deadline).await;
        let _ = tokio::time::timeout_at(deadline, handover).await;
        self.operators.shut_down(deadline).await;
        self.peer_server.stop();
        spdlog::info!("shutdown: complete", kv: { incarnation = self.incarnation.as_str() });
    }
}

/// Hands all groups over to peers and waits until this instance owns none.
async fn hand_over(ownership: Address<ownership::OwnershipTask>) {
    let (reply, done) = oneshot::channel();
    if ownership.send(ownership::HandOver { reply }).await.is_ok() {
        if let Ok(Err(error)) = done.await {
            spdlog::warn!("could not hand over groups: {error}");
        }
    }
}

/// Receives lease states and reports when the incarnation was fenced.
#[derive(xtra::Actor)]
struct FenceSubscriber {
    fenced: Option<oneshot::Sender<()>>,
}

impl Handler<ownership::LeaseState> for FenceSubscriber {
    type Return = ();

    async fn handle(&mut self, lease_state: ownership::LeaseState, context: &mut Context<Self>) {
        if lease_state == ownership::LeaseState::Fenced {
            if let Some(fenced) = self.fenced.take() {
                let _ = fenced.send(());
            }
            context.stop_self();
        }
    }
}
