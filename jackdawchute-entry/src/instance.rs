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
    listeners::{bind_peers, read_token, Listeners, Server},
    remote_calls::RemoteCalls,
    routing::BeginDrain,
    tasks::{Parts, Tasks},
    Metrics, Result,
};

/// How long new calls are still taken after the instance became unready, for the balancer.
const BALANCER_NOTICE: Duration = Duration::from_millis(1_500);

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
        let remote_calls = RemoteCalls::new(peer::spawn(token), &settings.timing);
        let table = Arc::new(CountedTable::new(platform.table.clone(), metrics.clone()));
        let platform = Platform { table, ..platform };
        let table = platform.table.clone();
        let tasks = Parts {
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
        let subscription = ownership::SubscribeLeaseState { subscriber };
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

/// Tells when the incarnation was fenced.
#[derive(xtra::Actor)]
struct FenceWatch {
    fenced: Option<oneshot::Sender<()>>,
}

impl Handler<ownership::LeaseState> for FenceWatch {
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
