//! Starts and connects the tasks of one instance.

use std::sync::Arc;

use jackdawchute_peer::{self as peer, PeerClient, RunningServer, Services};
use spdlog::{info, warn};
use tokio::sync::watch;
use xtra::prelude::*;

use crate::{
    advisor,
    election::{self, ElectionParts, ElectionTask, LeaderView, Leave},
    leader::Ports,
    messages::{CellAnswer, CellCall, SLICE},
    peers::CellService,
    reachability::Reachability,
    settings::{FOLLOW_PAUSE, FOLLOW_WAIT, HEARTBEAT_TIMEOUT},
    Advisor, ConfigurationUpdate, Directory, Gateway, Metrics, Routes, Settings, Store, Workers,
};

/// The most connections that peers may have open at a time.
const PEER_CONNECTIONS_MAX: u32 = 512;

/// The platform's services that an instance uses.
#[derive(Clone)]
pub struct Platform {
    /// The store that holds the leader row and all saved state.
    pub store: Arc<dyn Store>,
    /// The same store, for the commits of a leader alone; they are made on a thread with a runtime
    /// of its own, on which this client's connections then live.
    pub commits: Arc<dyn Store>,
    /// The interface to the workers, used by the leader.
    pub workers: Arc<dyn Workers>,
    /// The advisor that this instance calls, for itself as leader or for another one.
    pub advisor: Arc<dyn Advisor>,
    /// The lists of workers and of the operators' configuration.
    pub directory: Arc<dyn Directory>,
}

/// A handle to a running instance.
pub struct Instance {
    /// The entry point for callers' calls.
    pub gateway: Gateway,
    election: Address<ElectionTask>,
    _peer_server: RunningServer,
}

impl Instance {
    /// Starts the tasks of an instance on the current tokio runtime.
    ///
    /// # Errors
    /// The listener for peers cannot be bound to its address.
    pub async fn start(
        settings: Settings,
        platform: Platform,
        metrics: Metrics,
    ) -> peer::Result<Self> {
        let bound = peer::bind(peer::Options {
            address: settings.peer_listen,
            token: Default::default(),
            connections_max: PEER_CONNECTIONS_MAX,
        })
        .await?;
        let peers: PeerClient = peer::spawn_from(Default::default(), settings.peer_source);
        let (routes_sender, routes) = watch::channel(Routes::default());
        let (view_sender, view) = watch::channel(LeaderView::default());
        tokio::spawn(follow_configuration(ConfigurationFollower {
            directory: platform.directory.clone(),
            peers: peers.clone(),
            view: view.clone(),
            routes: routes_sender,
            metrics: metrics.clone(),
        }));
        let advisor = advisor::spawn(platform.advisor);
        let incarnation = election::incarnation(&settings);
        let election = election::spawn(ElectionParts {
            settings,
            incarnation: incarnation.clone(),
            ports: Ports {
                store: platform.store,
                commits: platform.commits,
                workers: platform.workers,
                advisor: advisor.clone(),
                directory: platform.directory,
                peers: peers.clone(),
            },
            routes: routes.clone(),
            metrics: metrics.clone(),
            timer: jackdawchute_timer::spawn(),
            view: view_sender,
        })
        .await;
        let service = CellService {
            view: view.clone(),
            election: election.clone(),
            advisor,
            incarnation,
            routes: routes.clone(),
        };
        let services = Services::from([(SLICE, Arc::new(service) as Arc<dyn peer::PeerService>)]);
        Ok(Self {
            gateway: Gateway {
                view,
                routes,
                peers,
                metrics,
            },
            election,
            _peer_server: bound.start(services),
        })
    }

    /// Starts the shutdown: the instance reports that it is not ready, and offers an epoch that it
    /// holds to a successor.
    pub async fn leave(&self) {
        if self.election.send(Leave).await.is_err() {
            warn!("election task has ended; the epoch is not handed over");
        }
    }
}

/// The sources of the configuration and the channel on which it is published.
struct ConfigurationFollower {
    directory: Arc<dyn Directory>,
    peers: PeerClient,
    view: watch::Receiver<LeaderView>,
    routes: watch::Sender<Routes>,
    metrics: Metrics,
}

impl ConfigurationFollower {
    /// Publishes a configuration if its version is higher than that in use.
    fn apply(&self, newest: Routes, source: &'static str) {
        if newest.version > self.routes.borrow().version {
            info!("configuration applied", kv: {
                version = newest.version, queues = newest.queues.len(), source = source
            });
            self.metrics.set_configuration_version(newest.version);
            self.routes.send_replace(newest);
        }
    }

    /// Applies the leader's configuration, while this instance cannot read that of the store.
    async fn fetch_from_leader(&self) {
        let row = self.view.borrow().row.clone();
        let Some(address) = row.map(|row| row.record.address) else {
            return;
        };
        let call = CellCall::Configuration;
        let answer = self
            .peers
            .call(address, SLICE, &call, HEARTBEAT_TIMEOUT)
            .await;
        match answer {
            Ok(CellAnswer::Configuration { routes }) => self.apply(routes, "peer"),
            Ok(_) => {}
            Err(error) => warn!("configuration cannot be read from the leader", kv: {
                peer: = address, cause: = error
            }),
        }
    }
}

/// Follows the configuration and publishes each higher version, until all receivers are dropped.
async fn follow_configuration(follower: ConfigurationFollower) {
    let mut after = None;
    let mut reachability = Reachability::new("configuration");
    while !follower.routes.is_closed() {
        let update = follower.directory.configuration(after, FOLLOW_WAIT).await;
        reachability.record(update.is_ok());
        match update {
            Ok(ConfigurationUpdate::Current(newest, version)) => {
                after = Some(version);
                follower.apply(newest, "store");
            }
            Ok(ConfigurationUpdate::Unchanged(version)) => after = Some(version),
            Ok(ConfigurationUpdate::HistoryLost) => after = None,
            Err(_) => {
                // A change may have been missed, so the whole configuration is read next.
                after = None;
                follower.fetch_from_leader().await;
                tokio::time::sleep(FOLLOW_PAUSE).await;
            }
        }
    }
}
