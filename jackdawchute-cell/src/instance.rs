//! Wires the tasks of one instance.

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

/// The most connections of peers at a time.
const PEER_CONNECTIONS_MAX: u32 = 512;

/// What the instance needs of the platform.
#[derive(Clone)]
pub struct Platform {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// The advisor.
    pub advisor: Arc<dyn Advisor>,
    /// The lists.
    pub directory: Arc<dyn Directory>,
}

/// A running instance.
pub struct Instance {
    /// Answers callers.
    pub gateway: Gateway,
    election: Address<ElectionTask>,
    _peer_server: RunningServer,
}

impl Instance {
    /// Starts the tasks of an instance on the current tokio runtime.
    ///
    /// # Errors
    /// The listener for peers cannot be bound.
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
        let peers: PeerClient = peer::spawn(Default::default());
        let (routes_sender, routes) = watch::channel(Routes::default());
        let (view_sender, view) = watch::channel(LeaderView::default());
        tokio::spawn(follow_configuration(ConfigurationSources {
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

    /// Begins to leave: callers are sent elsewhere, and another instance schedules.
    pub async fn leave(&self) {
        if self.election.send(Leave).await.is_err() {
            warn!("member task is gone");
        }
    }
}

/// Where the configuration comes from and goes to.
struct ConfigurationSources {
    directory: Arc<dyn Directory>,
    peers: PeerClient,
    view: watch::Receiver<LeaderView>,
    routes: watch::Sender<Routes>,
    metrics: Metrics,
}

impl ConfigurationSources {
    /// Applies a configuration if its version is higher.
    fn apply(&self, newest: Routes, source: &'static str) {
        if newest.version > self.routes.borrow().version {
            info!("configuration applied", kv: {
                version = newest.version, queues = newest.queues.len(), source = source
            });
            self.metrics.set_configuration_version(newest.version);
            self.routes.send_replace(newest);
        }
    }

    /// Asks the scheduling instance, for as long as the lists cannot be read from here.
    async fn ask_peer(&self) {
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
            Err(error) => warn!("configuration of a peer", kv: { peer: = address, cause: = error }),
        }
    }
}

/// Applies each higher version of the configuration.
async fn follow_configuration(sources: ConfigurationSources) {
    let mut after = None;
    let mut reachability = Reachability::new("configuration");
    while !sources.routes.is_closed() {
        let update = sources.directory.configuration(after, FOLLOW_WAIT).await;
        reachability.note(update.is_ok());
        match update {
            Ok(ConfigurationUpdate::Current(newest, version)) => {
                after = Some(version);
                sources.apply(newest, "store");
            }
            Ok(ConfigurationUpdate::Unchanged(version)) => after = Some(version),
            Ok(ConfigurationUpdate::HistoryLost) => after = None,
            Err(_) => {
                // A change may have been missed; the whole configuration tells.
                after = None;
                sources.ask_peer().await;
                tokio::time::sleep(FOLLOW_PAUSE).await;
            }
        }
    }
}
