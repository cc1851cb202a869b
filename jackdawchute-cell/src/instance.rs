//! Starts and connects the tasks of one instance.

use std::sync::Arc;

use jackdawchute_peer::{self as peer, PeerClient, RunningServer, Services};
use spdlog::warn;
use tokio::sync::watch;
use xtra::prelude::*;

use crate::{
    advisor,
    configuration::{follow_configuration, ConfigurationFollower, ConfirmedConfiguration},
    election::{self, ElectionParts, ElectionTask, LeaderView, Leave},
    leader::Ports,
    messages::SLICE,
    peers::CellService,
    Advisor, Directory, Gateway, Metrics, Routes, Settings, Store, Workers,
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
        let confirmed = ConfirmedConfiguration::default();
        tokio::spawn(follow_configuration(ConfigurationFollower {
            confirmed: confirmed.clone(),
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
            confirmed: confirmed.clone(),
        };
        let services = Services::from([(SLICE, Arc::new(service) as Arc<dyn peer::PeerService>)]);
        Ok(Self {
            gateway: Gateway {
                view,
                routes,
                confirmed,
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
