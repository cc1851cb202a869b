//! The task that schedules while this instance holds the cell's epoch.

mod handlers;
mod peers;
mod saving;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_peer::PeerClient;
use jackdawchute_scheduler::{Effect, Scheduler};
use jackdawchute_timer::{Subscribe, TimerTask};
use jackdawchute_types::JobId;
use spdlog::{info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use xtra::{prelude::*, refcount::Weak};

pub(crate) use self::{
    handlers::{AskPending, AskStatus, Cancel, FindSuccessor, PeerHeartbeat, Submit},
    peers::PeerState,
};
use self::{
    handlers::{RenewAnswered, RoundDue, StartAnswered, StopAnswered, WorkersNews},
    peers::PeerLoad,
};
use crate::{
    advisor::{AdvisorTask, ShortRequestLoad},
    commit::Head,
    election::EpochLost,
    messages::CellAnswer,
    reachability::Reachability,
    settings::{FOLLOW_PAUSE, FOLLOW_WAIT, TICK_PERIOD},
    Directory, Metrics, Routes, Store, Workers, WorkersUpdate,
};

/// The calls that the scheduling task makes.
#[derive(Clone)]
pub(crate) struct Ports {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) workers: Arc<dyn Workers>,
    pub(crate) advisor: Address<AdvisorTask>,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) peers: PeerClient,
}

/// What the scheduling task is made of.
pub(crate) struct LeaderParts {
    pub(crate) scheduler: Scheduler,
    pub(crate) head: Head,
    pub(crate) own_address: SocketAddr,
    pub(crate) processor_millicores: u64,
    pub(crate) ports: Ports,
    pub(crate) routes: watch::Receiver<Routes>,
    pub(crate) metrics: Metrics,
    /// Told once when another instance has taken over.
    pub(crate) epoch_lost: mpsc::UnboundedSender<EpochLost>,
}

/// Owns the scheduler and the chain of commits of one epoch.
#[derive(xtra::Actor)]
pub(crate) struct LeaderTask {
    scheduler: Scheduler,
    head: Head,
    /// When the commit that is under way was begun.
    commit_asked_at: Option<Instant>,
    commit_after: Instant,
    /// How long the last commit took.
    commit_took: Duration,
    trouble: watch::Sender<Option<Instant>>,
    submitters: HashMap<JobId, Vec<oneshot::Sender<CellAnswer>>>,
    cancellers: HashMap<JobId, Vec<oneshot::Sender<CellAnswer>>>,
    /// Callers that asked for unknown jobs since the last question to the store began.
    unconfirmed: Vec<oneshot::Sender<CellAnswer>>,
    /// Callers whose answer waits for the question to the store that is under way.
    confirming: Vec<oneshot::Sender<CellAnswer>>,
    peers: BTreeMap<SocketAddr, PeerLoad>,
    short_request_load: ShortRequestLoad,
    own_address: SocketAddr,
    processor_millicores: u64,
    ports: Ports,
    routes: watch::Receiver<Routes>,
    metrics: Metrics,
    epoch_lost: mpsc::UnboundedSender<EpochLost>,
    /// When peers were last asked whether another instance has taken over.
    peers_asked_at: Instant,
    settled_at: Instant,
    /// A [`RoundDue`] is on its way.
    round_awaited: bool,
    load_logged_at: Instant,
    ticked_at: Instant,
    /// How late this instance gets to its work, smoothed.
    lag: Duration,
    /// When another instance was last asked to take over.
    offered_at: Option<Instant>,
    fenced: bool,
}

/// Starts the scheduling task.
pub(crate) async fn spawn(parts: LeaderParts, timer: &Address<TimerTask>) -> Address<LeaderTask> {
    let now = Instant::now();
    let directory = parts.ports.directory.clone();
    let mut task = LeaderTask {
        scheduler: parts.scheduler,
        head: parts.head,
        commit_asked_at: None,
        commit_after: now,
        commit_took: Duration::ZERO,
        trouble: watch::channel(None).0,
        submitters: HashMap::new(),
        cancellers: HashMap::new(),
        unconfirmed: Vec::new(),
        confirming: Vec::new(),
        peers: BTreeMap::new(),
        short_request_load: ShortRequestLoad::default(),
        offered_at: None,
        own_address: parts.own_address,
        processor_millicores: parts.processor_millicores,
        ports: parts.ports,
        routes: parts.routes,
        metrics: parts.metrics,
        epoch_lost: parts.epoch_lost,
        peers_asked_at: now,
        settled_at: now,
        round_awaited: false,
        load_logged_at: now,
        ticked_at: now,
        lag: Duration::ZERO,
        fenced: false,
    };
    task.metrics.set_epoch(task.head.epoch);
    let own_state = PeerState {
        leaving: false,
        lag: Duration::ZERO,
        processor_millicores: task.processor_millicores,
    };
    task.note_peer(task.own_address, own_state, now);
    let address = xtra::spawn_tokio(task, Mailbox::unbounded());
    let subscribe = Subscribe {
        period: TICK_PERIOD,
        subscriber: MessageChannel::new(address.downgrade()),
    };
    if timer.send(subscribe).await.is_err() {
        warn!("timer is gone; nothing will be scheduled", kv: { epoch = parts.head.epoch });
    }
    tokio::spawn(follow_workers(directory, address.downgrade()));
    address
}

/// Passes news of the listed workers on for as long as the task lives.
async fn follow_workers(directory: Arc<dyn Directory>, task: Address<LeaderTask, Weak>) {
    let mut after = None;
    let mut reachability = Reachability::new("list of workers");
    while task.is_connected() {
        let update = directory.workers(after, FOLLOW_WAIT).await;
        reachability.note(update.is_ok());
        match update {
            Ok(WorkersUpdate::HistoryLost) => after = None,
            Ok(update) => {
                after = match &update {
                    WorkersUpdate::All(_, version) | WorkersUpdate::Changed(_, version) => {
                        Some(*version)
                    }
                    WorkersUpdate::HistoryLost => None,
                };
                if task.send(WorkersNews(update)).await.is_err() {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(FOLLOW_PAUSE).await,
        }
    }
}

impl LeaderTask {
    /// Carries out what the scheduler has decided and commits what is due.
    fn pump(&mut self, context: &Context<Self>) {
        if self.fenced {
            return;
        }
        let now = Instant::now();
        let own = context.mailbox().address();
        let next_round_at = self.settled_at + self.scheduler.round_period();
        if now >= next_round_at {
            self.settled_at = now;
            self.scheduler.run_round(now);
        } else if self.scheduler.round_needed() && !self.round_awaited {
            self.round_awaited = true;
            let own = own.clone();
            tokio::spawn(async move {
                tokio::time::sleep_until(next_round_at.into()).await;
                let _ = own.send(RoundDue).await;
            });
        }
        for effect in self.scheduler.take_effects() {
            self.carry_out(effect, &own, now);
        }
        self.commit(&own, now);
    }

    fn carry_out(&mut self, effect: Effect, own: &Address<Self, Weak>, now: Instant) {
        let own = own.clone();
        let workers = self.ports.workers.clone();
        match effect {
            Effect::Start(order) => {
                tokio::spawn(async move {
                    let answer = workers.start(&order).await;
                    let _ = own.send(StartAnswered(order, answer)).await;
                });
            }
            Effect::Stop(order) => {
                tokio::spawn(async move {
                    let clock = workers.stop(&order).await.ok();
                    let _ = own.send(StopAnswered(order, clock)).await;
                });
            }
            Effect::Renew(order) => {
                tokio::spawn(async move {
                    let asked_at = Instant::now();
                    let answer = workers.renew(&order).await.ok();
                    let _ = own.send(RenewAnswered(order, asked_at, answer)).await;
                });
            }
            Effect::Advise(request) => self.ask_advisor(request, own, now),
            Effect::Fenced { worker } => {
                info!("a worker obeys a later epoch", kv: {
                    worker = worker.as_str(), epoch = self.head.epoch
                });
                self.fence();
            }
        }
    }

    fn fence(&mut self) {
        if !std::mem::replace(&mut self.fenced, true) {
            self.metrics.set_epoch(0);
            self.unconfirmed.append(&mut self.confirming);
            answer_all(
                Some(std::mem::take(&mut self.unconfirmed)),
                &CellAnswer::NotLeader,
            );
            for (_, waiting) in self.submitters.drain().chain(self.cancellers.drain()) {
                answer_all(Some(waiting), &CellAnswer::Unknown);
            }
            // The receiver is gone only when the instance ends.
            let _ = self.epoch_lost.send(EpochLost {
                epoch: self.head.epoch,
                row: None,
            });
        }
    }
}

fn answer_all(waiting: Option<Vec<oneshot::Sender<CellAnswer>>>, answer: &CellAnswer) {
    for waiter in waiting.into_iter().flatten() {
        // A caller that went away needs no answer.
        let _ = waiter.send(answer.clone());
    }
}
