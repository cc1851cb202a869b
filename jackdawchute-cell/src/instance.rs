//! Wires the tasks of one instance.

use std::sync::Arc;

use jackdawchute_peer::{self as peer, Peers, RunningServer, Services};
use spdlog::{info, warn};
use tokio::sync::watch;
use xtra::prelude::*;

use crate::{
    advisor,
    leader::Ports,
    member::{self, LeaderView, Leave, MemberParts, MemberTask},
    messages::{CellAnswer, CellCall, SLICE},
    peers::CellService,
    reach::Reach,
    settings::{FOLLOW_PAUSE, FOLLOW_WAIT, HELLO_TIMEOUT},
    Advisor, ConfigurationUpdate, Directory, Gateway, Metrics, Routes, Settings, Store, Workers,
};

/// The most connections of peers at a time.
const PEER_CONNECTIONS_MAX: u32 = 512;

/// What the instance needs of the platform.
#[derive(Clone)]
pub struct Parts {
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
    member: Address<MemberTask>,
    _peer_server: RunningServer,
}

impl Instance {
    /// Starts the tasks of an instance on the current tokio runtime.
    ///
    /// # Errors
    /// The listener for peers cannot be bound.
    pub async fn start(settings: Settings, parts: Parts, metrics: Metrics) -> peer::Result<Self> {
        let bound = peer::bind(peer::Options {
            address: settings.peer_listen,
            token: Default::default(),
            connections_max: PEER_CONNECTIONS_MAX,
        })
        .await?;
        let peers: Peers = peer::spawn(Default::default());
        let (routes_sender, routes) = watch::channel(Routes::default());
        let (view_sender, view) = watch::channel(LeaderView::default());
        tokio::spawn(follow_configuration(ConfigurationSources {
            directory: parts.directory.clone(),
            peers: peers.clone(),
            view: view.clone(),
            routes: routes_sender,
            metrics: metrics.clone(),
        }));
        let advisor = advisor::spawn(parts.advisor);
        let incarnation = member::incarnation(&settings);
        let member = member::spawn(MemberParts {
            settings,
            incarnation: incarnation.clone(),
            ports: Ports {
                store: parts.store,
                workers: parts.workers,
                advisor: advisor.clone(),
                directory: parts.directory,
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
            member: member.clone(),
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
            member,
            _peer_server: bound.start(services),
        })
    }

    /// Begins to leave: callers are sent elsewhere, and another instance schedules.
    pub async fn leave(&self) {
        if self.member.send(Leave).await.is_err() {
            warn!("member task is gone");
        }
    }
}

/// Where the configuration comes from and goes to.
struct ConfigurationSources {
    directory: Arc<dyn Directory>,
    peers: Peers,
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
        let answer = self.peers.call(address, SLICE, &call, HELLO_TIMEOUT).await;
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
    let mut reach = Reach::new("configuration");
    while !sources.routes.is_closed() {
        let update = sources.directory.configuration(after, FOLLOW_WAIT).await;
        reach.note(update.is_ok());
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
