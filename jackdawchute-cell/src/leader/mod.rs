//! The leader task, which schedules while this instance holds the cell's epoch.

mod advice_under_way;
mod advisors;
mod authority;
mod callers;
mod cancellers;
mod handlers;
mod handover;
mod overload;
mod peers;
mod round_pace;
mod saving;
mod work;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_peer::PeerClient;
use jackdawchute_scheduler::{Effect, Scheduler, StartAnswer};
use jackdawchute_tenants::Tenant;
use jackdawchute_timer::{Subscribe, TimerTask};
use jackdawchute_types::JobId;
use spdlog::{info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use xtra::{prelude::*, refcount::Weak};

pub use self::{
    advice_under_way::{AdviceCallId, AdviceUnderWay},
    handover::{is_outage_of_leader_alone, HandoverPolicy, LeaderFitness, OfferReason},
    overload::Overload,
    round_pace::RoundPace,
};
use self::{
    advisors::AdviceWork,
    authority::EpochConfirmation,
    cancellers::Cancellers,
    handlers::{
        RenewAnswered, RoundDue, StartAnswered, StopAnswered, TurnMeasured, WorkersUpdated,
    },
    peers::KnownPeer,
    work::WorkDone,
};
pub(crate) use self::{
    callers::{Cancel, QueryPending, QueryStatus, Submit},
    handlers::{Fence, FindSuccessor, PeerHeartbeat},
    peers::PeerState,
};
use crate::{
    advisor::{AdvisorTask, ShortRequestLoad},
    authority::{Authority, EarlierLeaders, Permission},
    commit::Head,
    committer::Committer,
    election::{EpochLost, PredecessorStopped},
    messages::CellAnswer,
    reachability::Reachability,
    settings::{FOLLOW_PAUSE, FOLLOW_WAIT, TICK_PERIOD},
    Directory, Metrics, Routes, Store, Workers, WorkersUpdate,
};

/// The services that the leader task calls.
#[derive(Clone)]
pub(crate) struct Ports {
    pub(crate) store: Arc<dyn Store>,
    /// The same store as [`Ports::store`], for the thread that makes the commits.
    pub(crate) commits: Arc<dyn Store>,
    pub(crate) workers: Arc<dyn Workers>,
    pub(crate) advisor: Address<AdvisorTask>,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) peers: PeerClient,
}

/// The arguments of [`spawn`].
pub(crate) struct LeaderParts {
    /// The scheduler with all state recovered for the epoch.
    pub(crate) scheduler: Scheduler,
    /// The end of the chain after the claim.
    pub(crate) head: Head,
    pub(crate) authority: Authority,
    /// When the claim was sent, which confirmed the epoch first.
    pub(crate) confirmed_at: Instant,
    pub(crate) earlier: EarlierLeaders,
    /// When the predecessor is known to have stopped; `None` until then.
    pub(crate) predecessor_stopped: watch::Receiver<Option<PredecessorStopped>>,
    /// How many takeovers in a row, the one of this epoch included, happened because of lag.
    pub(crate) lag_takeovers: u32,
    pub(crate) own_address: SocketAddr,
    pub(crate) processor_millicores: u64,
    pub(crate) ports: Ports,
    pub(crate) routes: watch::Receiver<Routes>,
    pub(crate) metrics: Metrics,
    /// Receives a message when another instance has taken over.
    pub(crate) epoch_lost: mpsc::UnboundedSender<EpochLost>,
}

/// Owns the scheduler and the chain of commits of one epoch.
#[derive(xtra::Actor)]
pub(crate) struct LeaderTask {
    scheduler: Scheduler,
    head: Head,
    /// When the commit that is under way was started.
    commit_started_at: Option<Instant>,
    /// The earliest time of the next commit.
    next_commit_at: Instant,
    /// How long the last commit took, with all its attempts.
    last_commit_duration: Duration,
    committer: Committer<LeaderTask>,
    /// Callers whose job's acceptance is not committed yet.
    submitters: HashMap<JobId, Vec<oneshot::Sender<CellAnswer>>>,
    /// Callers whose job's cancellation is not committed yet, or not in force: an earlier leader may
    /// still start the job's tasks.
    cancellers: Cancellers,
    /// Callers that asked for unknown jobs since the current check of the epoch was sent.
    next_check_replies: Vec<oneshot::Sender<CellAnswer>>,
    /// Callers whose answer waits for the current check of the epoch.
    current_check_replies: Vec<oneshot::Sender<CellAnswer>>,
    /// The instances that have sent heartbeats, and this one.
    peers: BTreeMap<SocketAddr, KnownPeer>,
    short_request_load: ShortRequestLoad,
    advice_work: AdviceWork,
    advice_under_way: AdviceUnderWay,
    own_address: SocketAddr,
    processor_millicores: u64,
    ports: Ports,
    routes: watch::Receiver<Routes>,
    metrics: Metrics,
    epoch_lost: mpsc::UnboundedSender<EpochLost>,
    epoch_authority: EpochConfirmation,
    round_pace: RoundPace,
    /// Whether a [`RoundDue`] will arrive.
    round_scheduled: bool,
    load_logged_at: Instant,
    /// The work of the leader task since the load was last logged.
    work: WorkDone,
    last_tick_at: Instant,
    /// How late this instance handles its ticks, smoothed.
    lag: Duration,
    handover: HandoverPolicy,
    overload: Overload,
    /// Whether this instance has lost the epoch; it then does nothing more.
    fenced: bool,
}

/// Starts the leader task on the current tokio runtime.
///
/// The orders of the task need the permission, which is revoked when another instance is leader.
pub(crate) async fn spawn(
    parts: LeaderParts,
    timer: &Address<TimerTask>,
) -> (Address<LeaderTask>, Permission) {
    let now = Instant::now();
    let directory = parts.ports.directory.clone();
    let epoch_authority = EpochConfirmation::new(
        parts.authority,
        parts.confirmed_at,
        parts.earlier,
        parts.predecessor_stopped,
    );
    let permission = epoch_authority.permission.clone();
    let mut task = LeaderTask {
        scheduler: parts.scheduler,
        head: parts.head,
        commit_started_at: None,
        next_commit_at: now,
        last_commit_duration: Duration::ZERO,
        committer: Committer::start(parts.ports.commits.clone(), parts.metrics.clone()),
        submitters: HashMap::new(),
        cancellers: Cancellers::default(),
        next_check_replies: Vec::new(),
        current_check_replies: Vec::new(),
        peers: BTreeMap::new(),
        short_request_load: ShortRequestLoad::default(),
        advice_work: AdviceWork::default(),
        advice_under_way: AdviceUnderWay::default(),
        handover: HandoverPolicy::new(parts.lag_takeovers, now),
        overload: Overload::default(),
        own_address: parts.own_address,
        processor_millicores: parts.processor_millicores,
        ports: parts.ports,
        routes: parts.routes,
        metrics: parts.metrics,
        epoch_lost: parts.epoch_lost,
        epoch_authority,
        round_pace: RoundPace::new(now),
        round_scheduled: false,
        load_logged_at: now,
        work: WorkDone::default(),
        last_tick_at: now,
        lag: Duration::ZERO,
        fenced: false,
    };
    task.metrics.set_epoch(task.head.epoch);
    task.update_authority();
    task.use_configured_services(now);
    let own_state = PeerState {
        leaving: false,
        lag: Duration::ZERO,
        processor_millicores: task.processor_millicores,
    };
    task.record_heartbeat(task.own_address, own_state, now);
    let address = xtra::spawn_tokio(task, Mailbox::unbounded());
    let subscribe = Subscribe {
        period: TICK_PERIOD,
        subscriber: MessageChannel::new(address.downgrade()),
    };
    if timer.send(subscribe).await.is_err() {
        warn!("timer task has ended; the leader gets no ticks", kv: { epoch = parts.head.epoch });
    }
    tokio::spawn(follow_workers(directory, address.downgrade()));
    (address, permission)
}

/// Sends changes of the list of workers to the leader task until that task ends.
async fn follow_workers(directory: Arc<dyn Directory>, task: Address<LeaderTask, Weak>) {
    let mut after = None;
    let mut reachability = Reachability::new("list of workers");
    while task.is_connected() {
        let update = directory.workers(after, FOLLOW_WAIT).await;
        reachability.record(update.is_ok());
        match update {
            Ok(WorkersUpdate::HistoryLost) => after = None,
            Ok(update) => {
                after = match &update {
                    WorkersUpdate::All(_, version) | WorkersUpdate::Changed(_, version) => {
                        Some(*version)
                    }
                    WorkersUpdate::HistoryLost => None,
                };
                if task.send(WorkersUpdated(update)).await.is_err() {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(FOLLOW_PAUSE).await,
        }
    }
}

impl LeaderTask {
    /// Tells the scheduler which services the configuration names, once there is one.
    fn use_configured_services(&mut self, now: Instant) {
        let routes = self.routes.borrow_and_update();
        if routes.version > 0 {
            let services = routes
                .queues
                .iter()
                .map(|route| route.policy.service.clone());
            self.scheduler.use_services(services, now);
            let policies = |tenants: &Vec<Tenant>| {
                let tenants = tenants.iter();
                tenants.map(|tenant| tenant.policy.clone()).collect()
            };
            self.scheduler
                .use_tenants(routes.tenants.as_ref().map(policies));
        }
    }

    /// Runs a scheduling round that is due, executes the scheduler's effects and starts a commit.
    fn run_due_work(&mut self, context: &Context<Self>) {
        if self.fenced {
            return;
        }
        let now = Instant::now();
        let task = context.mailbox().address();
        let next_round_at = self.round_pace.due_at(self.scheduler.round_period());
        if now >= next_round_at {
            self.scheduler.run_round(self.advisors(now), now);
            let ended_at = Instant::now();
            self.round_pace.record(now, ended_at);
            self.work
                .record_round(ended_at.saturating_duration_since(now));
        } else if self.scheduler.round_needed() && !self.round_scheduled {
            self.round_scheduled = true;
            let task = task.clone();
            tokio::spawn(async move {
                tokio::time::sleep_until(next_round_at.into()).await;
                let _ = task.send(RoundDue).await;
            });
        }
        let effects = self.scheduler.take_effects();
        self.work.record_effects(effects.len());
        for effect in effects {
            self.execute(effect, &task, now);
        }
        self.commit(&task, now);
    }

    fn execute(&mut self, effect: Effect, task: &Address<Self, Weak>, now: Instant) {
        let task = task.clone();
        let workers = self.ports.workers.clone();
        match effect {
            Effect::Start(order) => {
                let permission = self.epoch_authority.permission.clone();
                tokio::spawn(async move {
                    let answer = match permission.is_valid() {
                        true => workers.start(&order).await,
                        false => StartAnswer::NotSent,
                    };
                    let _ = task.send(StartAnswered(order, now, answer)).await;
                });
            }
            Effect::Stop(order) => {
                tokio::spawn(async move {
                    let clock = workers.stop(&order).await;
                    let _ = task.send(StopAnswered(order, clock)).await;
                });
            }
            Effect::Renew(mut order) => {
                let permission = self.epoch_authority.permission.clone();
                tokio::spawn(async move {
                    let sent_at = Instant::now();
                    order.lease_until = order.lease_until.filter(|_| permission.is_valid());
                    let answer = workers.renew(&order).await;
                    let _ = task.send(RenewAnswered(order, sent_at, answer)).await;
                });
            }
            Effect::Advise { advisor, request } => {
                self.request_advice(advisor, request, task, now);
            }
            Effect::Fenced { worker } => {
                info!("worker follows the leader of a later epoch", kv: {
                    worker = worker.as_str(), epoch = self.head.epoch
                });
                self.lose_epoch();
            }
        }
    }

    /// Measures how long an ordinary message waits from now on until it is handled.
    fn measure_turn(&self, context: &Context<Self>) {
        let task = context.mailbox().address();
        let sent_at = Instant::now();
        tokio::spawn(async move {
            let _ = task.send(TurnMeasured(sent_at)).await;
        });
    }

    /// Stops all scheduling and reports the loss of the epoch.
    fn lose_epoch(&mut self) {
        if !self.fenced {
            self.fence();
            // The receiver is closed only when the instance ends.
            let _ = self.epoch_lost.send(EpochLost {
                epoch: self.head.epoch,
                row: None,
            });
        }
    }

    /// Stops all scheduling and answers all waiting callers.
    fn fence(&mut self) {
        self.epoch_authority.permission.revoke();
        if !std::mem::replace(&mut self.fenced, true) {
            self.metrics.set_epoch(0);
            self.next_check_replies
                .append(&mut self.current_check_replies);
            answer_all(
                Some(std::mem::take(&mut self.next_check_replies)),
                &CellAnswer::NotLeader,
            );
            for (_, replies) in self.submitters.drain() {
                answer_all(Some(replies), &CellAnswer::Unknown);
            }
            self.cancellers.give_up();
        }
    }
}

fn answer_all(replies: Option<Vec<oneshot::Sender<CellAnswer>>>, answer: &CellAnswer) {
    for reply in replies.into_iter().flatten() {
        // A caller that has disconnected needs no answer.
        let _ = reply.send(answer.clone());
    }
}
