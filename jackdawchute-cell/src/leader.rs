//! The task that schedules while this instance holds the cell's epoch.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use jackdawchute_peer::Peers;
use jackdawchute_scheduler::{
    AdviceAnswer, AdviceRequest, Batch, Effect, HoldAnswer, HoldOrder, JobStatus, Scheduler,
    StartAnswer, StartOrder, StopOrder, Submission,
};
use jackdawchute_timer::{Subscribe, Tick, TimerTask};
use jackdawchute_types::{CallError, Epoch, JobId, QueueId};
use spdlog::{info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use xtra::{prelude::*, refcount::Weak};

use crate::{
    commit::{append, Head, NotAppended},
    member::Deposed,
    messages::{CellAnswer, CellCall, SubmitJob, SLICE},
    rows::{HeadRecord, HEAD_TABLE, PART},
    settings::{
        outage_retry_after, ADVICE_MARGIN, ADVISOR_BACKLOG_MAX, COMMIT_BYTES_MAX, COMMIT_PATIENCE,
        COMMIT_PAUSE, COMMIT_PERIOD, COMMIT_ROWS_MAX, COMMIT_SLOW, FOLLOW_PAUSE, FOLLOW_WAIT,
        HELLO_TIMEOUT, LAG_GAIN, LAG_MAX, LEADER_STORE_TROUBLE, LOAD_LOG_PERIOD, OFFER_PAUSE,
        OTHERS_TOLD, PEERS_ASK_PERIOD, PEER_MEMORY, SETTLE_PERIOD, SHORT_ONLY_DIVISOR,
        SHORT_QUESTION, TICK_PERIOD,
    },
    Advisor, Directory, Metrics, Routes, Store, Workers, WorkersUpdate,
};

/// The calls that the scheduling task makes.
#[derive(Clone)]
pub(crate) struct Ports {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) workers: Arc<dyn Workers>,
    pub(crate) advisor: Arc<dyn Advisor>,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) peers: Peers,
}

/// What the scheduling task is made of.
pub(crate) struct LeaderParts {
    pub(crate) scheduler: Scheduler,
    pub(crate) head: Head,
    pub(crate) own_address: SocketAddr,
    pub(crate) ports: Ports,
    pub(crate) routes: watch::Receiver<Routes>,
    pub(crate) metrics: Metrics,
    /// Told once when another instance has taken over.
    pub(crate) deposed: mpsc::UnboundedSender<Deposed>,
}

/// What is known of another instance, or of this one.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    heard_at: Instant,
    /// When its advisor has answered all questions that were asked through it.
    advisor_free_at: Instant,
    leaving: bool,
    lag: Duration,
}

impl PeerLoad {
    /// Whether it was heard of late and stays.
    fn usable(&self, now: Instant) -> bool {
        !self.leaving && now.saturating_duration_since(self.heard_at) < PEER_MEMORY
    }
}

/// Owns the scheduler and the chain of commits of one epoch.
#[derive(xtra::Actor)]
pub(crate) struct LeaderTask {
    scheduler: Scheduler,
    head: Head,
    /// When the commit that is under way was begun.
    commit_asked_at: Option<Instant>,
    commit_after: Instant,
    trouble: watch::Sender<Option<Instant>>,
    submitters: HashMap<JobId, Vec<oneshot::Sender<CellAnswer>>>,
    cancellers: HashMap<JobId, Vec<oneshot::Sender<CellAnswer>>>,
    /// Callers that asked for unknown jobs since the last question to the store began.
    unconfirmed: Vec<oneshot::Sender<CellAnswer>>,
    /// Callers whose answer waits for the question to the store that is under way.
    confirming: Vec<oneshot::Sender<CellAnswer>>,
    peers: BTreeMap<SocketAddr, PeerLoad>,
    own_address: SocketAddr,
    ports: Ports,
    routes: watch::Receiver<Routes>,
    metrics: Metrics,
    deposed: mpsc::UnboundedSender<Deposed>,
    /// When peers were last asked whether another instance has taken over.
    peers_asked_at: Instant,
    settled_at: Instant,
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
        trouble: watch::channel(None).0,
        submitters: HashMap::new(),
        cancellers: HashMap::new(),
        unconfirmed: Vec::new(),
        confirming: Vec::new(),
        peers: BTreeMap::new(),
        offered_at: None,
        own_address: parts.own_address,
        ports: parts.ports,
        routes: parts.routes,
        metrics: parts.metrics,
        deposed: parts.deposed,
        peers_asked_at: now,
        settled_at: now,
        load_logged_at: now,
        ticked_at: now,
        lag: Duration::ZERO,
        fenced: false,
    };
    task.metrics.set_epoch(task.head.epoch);
    task.note_peer(task.own_address, false, Duration::ZERO, now);
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
    let mut failing = false;
    while task.is_connected() {
        let update = directory.workers(after, FOLLOW_WAIT).await;
        if failing == update.is_ok() {
            failing = update.is_err();
            warn!("list of workers", kv: { reachable = update.is_ok() });
        }
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

fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

impl LeaderTask {
    fn note_peer(&mut self, address: SocketAddr, leaving: bool, lag: Duration, now: Instant) {
        let load = self.peers.entry(address).or_insert(PeerLoad {
            heard_at: now,
            advisor_free_at: now,
            leaving,
            lag,
        });
        load.lag = lag;
        load.heard_at = now;
        load.leaving = leaving;
    }

    /// Some instances that were heard of late, other than the one that asks.
    fn some_others(&self, asking: SocketAddr, now: Instant) -> Vec<SocketAddr> {
        self.peers
            .iter()
            .filter(|(address, load)| {
                **address != asking && **address != self.own_address && load.usable(now)
            })
            .map(|(address, _)| *address)
            .take(OTHERS_TOLD)
            .collect()
    }

    /// The instance that could best take over.
    fn successor(&self, now: Instant) -> Option<SocketAddr> {
        let usable = |(address, load): &(&SocketAddr, &PeerLoad)| {
            **address != self.own_address && load.usable(now)
        };
        let best = self.peers.iter().filter(usable);
        let best = best.min_by_key(|(_, load)| (load.lag, std::cmp::Reverse(load.heard_at)));
        best.map(|(address, _)| *address)
    }

    /// Offers the epoch to a faster instance when this one does not keep up.
    fn offer_when_slow(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < OFFER_PAUSE;
        if self.lag < LAG_MAX || self.offered_at.is_some_and(recent) {
            return;
        }
        let Some(successor) = self.successor(now) else {
            return;
        };
        if self
            .peers
            .get(&successor)
            .is_some_and(|load| load.lag * 2 > self.lag)
        {
            return;
        }
        self.offered_at = Some(now);
        info!("this instance is slow; epoch offered", kv: {
            epoch = self.head.epoch, lag_ms = self.lag.as_millis() as u64, successor: = successor
        });
        let call = CellCall::TakeOver {
            epoch: self.head.epoch,
        };
        let peers = self.ports.peers.clone();
        tokio::spawn(async move {
            let answer: Result<CellAnswer, CallError> =
                peers.call(successor, SLICE, &call, HELLO_TIMEOUT).await;
            if let Err(error) = answer {
                warn!("successor did not answer", kv: { successor: = successor, cause: = error });
            }
        });
    }

    /// Asks peers whether another instance has taken over, which the store would tell if it could
    /// be reached from here.
    fn ask_peers_in_trouble(&mut self, now: Instant) {
        let recent = now.saturating_duration_since(self.peers_asked_at) < PEERS_ASK_PERIOD;
        if recent || self.store_trouble(now) < LEADER_STORE_TROUBLE {
            return;
        }
        self.peers_asked_at = now;
        let hello = CellCall::Hello {
            address: self.own_address,
            epoch: self.head.epoch,
            leaving: false,
            lag_ms: 0,
        };
        let others = self
            .peers
            .keys()
            .copied()
            .filter(|it| *it != self.own_address);
        for address in others.take(OTHERS_TOLD) {
            let (peers, hello) = (self.ports.peers.clone(), hello.clone());
            let (deposed, epoch) = (self.deposed.clone(), self.head.epoch);
            tokio::spawn(async move {
                let answer = peers.call(address, SLICE, &hello, HELLO_TIMEOUT).await;
                if let Ok(CellAnswer::Elsewhere { row, .. }) = answer {
                    if row.record.epoch > epoch {
                        // The receiver is gone only when the instance ends.
                        let _ = deposed.send(Deposed {
                            epoch,
                            row: Some(row),
                        });
                    }
                }
            });
        }
    }

    /// Measures how late ticks are handled, which tells how much this instance's processor lacks.
    fn note_lag(&mut self, now: Instant) {
        let late = now
            .saturating_duration_since(self.ticked_at)
            .saturating_sub(TICK_PERIOD);
        self.ticked_at = now;
        self.lag = self.lag.mul_f64(1.0 - LAG_GAIN) + late.mul_f64(LAG_GAIN);
    }

    /// How long nothing could be committed.
    fn store_trouble(&self, now: Instant) -> Duration {
        let since =
            |at: Option<Instant>| at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        // A call without an answer may be slow; only what a slow store would exceed counts.
        let silent = since(self.commit_asked_at).saturating_sub(COMMIT_SLOW);
        since(*self.trouble.borrow()).max(silent)
    }

    /// The answer while nothing can be saved.
    fn unavailable(&self, now: Instant) -> CellAnswer {
        let trouble = self.store_trouble(now);
        let retry_after_ms = outage_retry_after(trouble).as_millis();
        CellAnswer::Unavailable {
            retry_after_ms: u64::try_from(retry_after_ms).unwrap_or(u64::MAX),
        }
    }

    /// Carries out what the scheduler has decided and commits what is due.
    fn pump(&mut self, context: &Context<Self>, force: bool) {
        if self.fenced {
            return;
        }
        let now = Instant::now();
        if force || now.saturating_duration_since(self.settled_at) >= SETTLE_PERIOD {
            self.settled_at = now;
            self.scheduler.settle(now);
        }
        let own = context.mailbox().address();
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
            Effect::Hold(order) => {
                tokio::spawn(async move {
                    let asked_at = Instant::now();
                    let answer = workers.hold(&order).await.ok();
                    let _ = own.send(HoldAnswered(order, asked_at, answer)).await;
                });
            }
            Effect::Advise(request) => self.ask_advisor(request, own, now),
            Effect::Deposed { worker } => {
                info!("a worker obeys a later epoch", kv: {
                    worker = worker.as_str(), epoch = self.head.epoch
                });
                self.fence();
            }
        }
    }

    /// Asks through the instance whose advisor is free first.
    fn ask_advisor(&mut self, request: AdviceRequest, own: Address<Self, Weak>, now: Instant) {
        let own_address = self.own_address;
        // Some advisors answer short questions only, so that those never wait behind long ones.
        let advisors = self.peers.values().filter(|load| load.usable(now)).count();
        let short_only = if request.expected > SHORT_QUESTION {
            advisors / SHORT_ONLY_DIVISOR
        } else {
            0
        };
        let least = self
            .peers
            .iter_mut()
            .filter(|(address, load)| **address == own_address || load.usable(now))
            .skip(short_only)
            .min_by_key(|(_, load)| load.advisor_free_at);
        let Some((address, load)) = least else {
            return;
        };
        let queued = load.advisor_free_at.saturating_duration_since(now);
        if queued > ADVISOR_BACKLOG_MAX {
            // The step asks again once its patience is over.
            return;
        }
        load.advisor_free_at = load.advisor_free_at.max(now) + request.expected;
        let timeout = queued + request.expected + ADVICE_MARGIN;
        let address = *address;
        let ports = self.ports.clone();
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            let asked_at = Instant::now();
            let answer = if address == own_address {
                ports.advisor.advise(&request, timeout).await.ok()
            } else {
                ask_peer(&ports.peers, address, &request, timeout).await
            };
            let outcome = if answer.is_some() {
                "answered"
            } else {
                "failed"
            };
            metrics.call("advise", outcome, asked_at.elapsed());
            let _ = own.send(AdviceAnswered(request, answer)).await;
        });
    }

    fn commit(&mut self, own: &Address<Self, Weak>, now: Instant) {
        if self.commit_asked_at.is_some() || self.fenced || now < self.commit_after {
            return;
        }
        let unix_ms = u64::try_from(unix_now().as_millis()).unwrap_or(u64::MAX);
        let batch = self
            .scheduler
            .take_batch(COMMIT_ROWS_MAX, COMMIT_BYTES_MAX, unix_ms);
        let Some(mut batch) = batch else {
            return;
        };
        let left = COMMIT_ROWS_MAX.saturating_sub(batch.changes.len());
        batch
            .changes
            .extend(self.scheduler.take_expired_rows(left, now));
        if batch.changes.is_empty() {
            // Ends that change nothing need no row before they are forgotten.
            self.scheduler.committed(&batch, now);
            return;
        }
        self.commit_asked_at = Some(now);
        self.commit_after = now + COMMIT_PERIOD;
        let store = self.ports.store.clone();
        let (own, trouble, metrics) = (own.clone(), self.trouble.clone(), self.metrics.clone());
        let head = self.head;
        tokio::spawn(async move {
            let appended = append(store, head, &batch, COMMIT_PATIENCE, &trouble, &metrics).await;
            let _ = own.send(Appended(batch, appended)).await;
        });
    }

    /// Refuses jobs that are in no commit yet while none succeeds.
    fn refuse_unsaved(&mut self, now: Instant) {
        if self.store_trouble(now) < COMMIT_PATIENCE {
            return;
        }
        for job in self.scheduler.withdraw_unsaved() {
            info!("job refused", kv: { job = job.as_str(), reason = "nothing can be saved" });
            let answer = self.unavailable(now);
            answer_all(self.submitters.remove(&job), &answer);
        }
    }

    /// Answers what a job's status is.
    ///
    /// An instance that was replaced unawares may not know a job that its successor accepted, so
    /// that a job is unknown is told only once the store has confirmed the epoch.
    fn answer_status(
        &mut self,
        status: JobStatus,
        reply: oneshot::Sender<CellAnswer>,
        context: &Context<Self>,
    ) {
        if status == JobStatus::Unknown {
            self.unconfirmed.push(reply);
            self.confirm_epoch(context);
            return;
        }
        // A caller that went away needs no answer.
        let _ = reply.send(CellAnswer::Status { status });
    }

    /// Asks the store whether this instance holds the epoch, for all that wait for it.
    fn confirm_epoch(&mut self, context: &Context<Self>) {
        if !self.confirming.is_empty() || self.unconfirmed.is_empty() {
            return;
        }
        self.confirming = std::mem::take(&mut self.unconfirmed);
        let store = self.ports.store.clone();
        let own = context.mailbox().address();
        let epoch = self.head.epoch;
        tokio::spawn(async move {
            let confirmed = holds_epoch(store.as_ref(), epoch).await;
            let _ = own.send(EpochConfirmed(confirmed)).await;
        });
    }

    fn fence(&mut self) {
        if !std::mem::replace(&mut self.fenced, true) {
            self.metrics.set_epoch(0);
            self.unconfirmed.append(&mut self.confirming);
            answer_all(
                Some(std::mem::take(&mut self.unconfirmed)),
                &CellAnswer::NotScheduling,
            );
            for (_, waiting) in self.submitters.drain().chain(self.cancellers.drain()) {
                answer_all(Some(waiting), &CellAnswer::Unknown);
            }
            // The receiver is gone only when the instance ends.
            let _ = self.deposed.send(Deposed {
                epoch: self.head.epoch,
                row: None,
            });
        }
    }
}

/// Whether the chain's head belongs to an epoch; `None` if the store did not tell.
async fn holds_epoch(store: &dyn Store, epoch: Epoch) -> Option<bool> {
    let page = match store.read(HEAD_TABLE, PART, None).await {
        Ok(page) => page,
        Err(error) => {
            warn!("epoch could not be confirmed", kv: { epoch = epoch, cause: = error });
            return None;
        }
    };
    let value = page.rows.into_iter().next()?.value?;
    let head: HeadRecord = serde_json::from_slice(&value).ok()?;
    Some(head.epoch == epoch)
}

async fn ask_peer(
    peers: &Peers,
    address: SocketAddr,
    request: &AdviceRequest,
    timeout: Duration,
) -> Option<AdviceAnswer> {
    let call = CellCall::Advise {
        request: request.clone(),
    };
    match peers.call(address, SLICE, &call, timeout).await {
        Ok(CellAnswer::Advice { answer }) => Some(answer),
        Ok(_) => None,
        Err(error) => {
            warn!("advice through a peer failed", kv: {
                job = request.step.job.as_str(), peer: = address, cause: = error
            });
            None
        }
    }
}

fn answer_all(waiting: Option<Vec<oneshot::Sender<CellAnswer>>>, answer: &CellAnswer) {
    for waiter in waiting.into_iter().flatten() {
        // A caller that went away needs no answer.
        let _ = waiter.send(answer.clone());
    }
}

/// An answered [`Effect::Start`].
struct StartAnswered(StartOrder, StartAnswer);
/// An answered [`Effect::Stop`].
struct StopAnswered(StopOrder, Option<Duration>);
/// An answered [`Effect::Hold`].
struct HoldAnswered(HoldOrder, Instant, Option<HoldAnswer>);
/// An answered [`Effect::Advise`].
struct AdviceAnswered(AdviceRequest, Option<AdviceAnswer>);
/// A commit whose fate is known.
struct Appended(Batch, Result<Head, NotAppended>);
/// News of the listed workers.
struct WorkersNews(WorkersUpdate);
/// A peer is there.
pub(crate) struct PeerHello {
    pub(crate) address: SocketAddr,
    pub(crate) leaving: bool,
    pub(crate) lag: Duration,
}
/// A caller's job.
pub(crate) struct Submit(pub(crate) SubmitJob, pub(crate) oneshot::Sender<CellAnswer>);
/// A caller's wish to cancel a job.
pub(crate) struct Cancel(pub(crate) JobId, pub(crate) oneshot::Sender<CellAnswer>);
/// A caller's question about a job.
pub(crate) struct AskStatus(pub(crate) JobId, pub(crate) oneshot::Sender<CellAnswer>);
/// Whether this instance still held the epoch when it was asked; `None` if the store did not tell.
struct EpochConfirmed(Option<bool>);
/// A caller's question about a queue.
pub(crate) struct AskPending(pub(crate) QueueId);
/// Asks for an instance that can take over.
pub(crate) struct FindSuccessor;

impl Handler<Tick> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self>) {
        let now = Instant::now();
        self.note_lag(now);
        self.offer_when_slow(now);
        self.ask_peers_in_trouble(now);
        self.scheduler.tick(now, unix_now());
        self.refuse_unsaved(now);
        self.metrics.set_jobs(self.scheduler.jobs_count());
        if now.saturating_duration_since(self.load_logged_at) >= LOAD_LOG_PERIOD {
            self.load_logged_at = now;
            self.scheduler.log_load(now);
            info!("scheduling lag", kv: { lag_ms = self.lag.as_millis() as u64 });
        }
        self.pump(context, true);
    }
}

impl Handler<StartAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: StartAnswered, context: &mut Context<Self>) {
        let StartAnswered(order, answer) = message;
        let now = Instant::now();
        self.scheduler
            .start_answered(&order.worker, &order.task, order.run, answer, now);
        self.pump(context, false);
    }
}

impl Handler<StopAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: StopAnswered, context: &mut Context<Self>) {
        let StopAnswered(order, clock) = message;
        let now = Instant::now();
        self.scheduler
            .stop_answered(&order.worker, &order.task, order.run, clock, now);
        self.pump(context, false);
    }
}

impl Handler<HoldAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: HoldAnswered, context: &mut Context<Self>) {
        let HoldAnswered(order, asked_at, answer) = message;
        let now = Instant::now();
        match answer {
            Some(answer) => self.scheduler.hold_answered(&order, asked_at, answer, now),
            None => self.scheduler.hold_failed(&order.worker, now),
        }
        self.scheduler.issue_due_holds(now);
        self.pump(context, false);
    }
}

impl Handler<AdviceAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: AdviceAnswered, context: &mut Context<Self>) {
        let AdviceAnswered(request, answer) = message;
        let now = Instant::now();
        self.scheduler.advice_answered(&request, answer, now);
        self.pump(context, true);
    }
}

impl Handler<Appended> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: Appended, context: &mut Context<Self>) {
        let Appended(batch, appended) = message;
        self.commit_asked_at = None;
        let now = Instant::now();
        match appended {
            Ok(head) => {
                self.head = head;
                self.scheduler.committed(&batch, now);
                for job in batch.accepted() {
                    answer_all(self.submitters.remove(job), &CellAnswer::Accepted);
                }
                for job in batch.ended() {
                    let status = self.scheduler.status(job);
                    let answer = CellAnswer::Status { status };
                    answer_all(self.cancellers.remove(job), &answer);
                }
                self.scheduler.issue_due_holds(now);
                self.pump(context, true);
            }
            Err(NotAppended::Refused) => {
                for job in self.scheduler.not_committed(&batch) {
                    info!("job refused", kv: {
                        job = job.as_str(), reason = "its acceptance could not be saved"
                    });
                    let answer = self.unavailable(now);
                    answer_all(self.submitters.remove(&job), &answer);
                }
                self.commit_after = now + COMMIT_PAUSE;
            }
            Err(NotAppended::Fenced) => {
                warn!("another instance has taken over", kv: { epoch = self.head.epoch });
                self.fence();
            }
        }
    }
}

impl Handler<WorkersNews> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, news: WorkersNews, context: &mut Context<Self>) {
        let now = Instant::now();
        match news.0 {
            WorkersUpdate::All(entries, _) => self.scheduler.workers_listed(entries, now),
            WorkersUpdate::Changed(changes, _) => {
                for (worker, entry) in changes {
                    match entry {
                        Some(entry) => self.scheduler.worker_listed(entry, now),
                        None => self.scheduler.worker_unlisted(&worker, now),
                    }
                }
            }
            WorkersUpdate::HistoryLost => {}
        }
        self.scheduler.issue_due_holds(now);
        self.pump(context, false);
    }
}

impl Handler<PeerHello> for LeaderTask {
    type Return = CellAnswer;

    async fn handle(&mut self, hello: PeerHello, _context: &mut Context<Self>) -> CellAnswer {
        if self.fenced {
            return CellAnswer::NotScheduling;
        }
        let now = Instant::now();
        self.note_peer(hello.address, hello.leaving, hello.lag, now);
        let trouble = self.store_trouble(now).as_millis();
        CellAnswer::Here {
            epoch: self.head.epoch,
            store_trouble_ms: u64::try_from(trouble).unwrap_or(u64::MAX),
            configuration: self.routes.borrow().version,
            others: self.some_others(hello.address, now),
        }
    }
}

impl Handler<Submit> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: Submit, context: &mut Context<Self>) {
        let Submit(submit, reply) = message;
        let now = Instant::now();
        if self.fenced {
            let _ = reply.send(CellAnswer::NotScheduling);
            return;
        }
        let removed = {
            let routes = self.routes.borrow();
            routes.version > submit.configuration && !routes.has_queue(&submit.policy.queue)
        };
        let known = self.scheduler.status(&submit.job) != JobStatus::Unknown;
        if removed && !known {
            let _ = reply.send(CellAnswer::NoQueue);
            return;
        }
        if !known && self.store_trouble(now) >= COMMIT_PATIENCE {
            let _ = reply.send(self.unavailable(now));
            return;
        }
        let submission = self
            .scheduler
            .submit(&submit.job, submit.graph, submit.policy, now);
        let answer = match submission {
            Submission::Pending => {
                self.submitters.entry(submit.job).or_default().push(reply);
                self.pump(context, false);
                return;
            }
            Submission::Accepted => CellAnswer::Accepted,
            Submission::Refused { retry_after } => CellAnswer::Refused {
                retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            },
        };
        let _ = reply.send(answer);
    }
}

impl Handler<Cancel> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: Cancel, context: &mut Context<Self>) {
        let Cancel(job, reply) = message;
        if self.fenced {
            let _ = reply.send(CellAnswer::NotScheduling);
            return;
        }
        let status = self.scheduler.cancel(&job, Instant::now());
        match status {
            JobStatus::Queued | JobStatus::Running => {
                self.cancellers.entry(job).or_default().push(reply);
                self.pump(context, false);
            }
            status => self.answer_status(status, reply, context),
        }
    }
}

impl Handler<AskStatus> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, ask: AskStatus, context: &mut Context<Self>) {
        let AskStatus(job, reply) = ask;
        if self.fenced {
            let _ = reply.send(CellAnswer::NotScheduling);
            return;
        }
        self.answer_status(self.scheduler.status(&job), reply, context);
    }
}

impl Handler<EpochConfirmed> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, confirmed: EpochConfirmed, context: &mut Context<Self>) {
        let answer = match confirmed.0 {
            Some(true) => CellAnswer::Status {
                status: JobStatus::Unknown,
            },
            Some(false) => CellAnswer::NotScheduling,
            None => self.unavailable(Instant::now()),
        };
        answer_all(Some(std::mem::take(&mut self.confirming)), &answer);
        if confirmed.0 == Some(false) {
            warn!("another instance has taken over", kv: { epoch = self.head.epoch });
            self.fence();
        }
        self.confirm_epoch(context);
    }
}

impl Handler<AskPending> for LeaderTask {
    type Return = CellAnswer;

    async fn handle(&mut self, ask: AskPending, _context: &mut Context<Self>) -> CellAnswer {
        if self.fenced {
            return CellAnswer::NotScheduling;
        }
        CellAnswer::Pending {
            jobs: self.scheduler.pending_jobs(&ask.0),
        }
    }
}

impl Handler<FindSuccessor> for LeaderTask {
    type Return = Option<SocketAddr>;

    async fn handle(&mut self, _ask: FindSuccessor, _context: &mut Context<Self>) -> Self::Return {
        self.successor(Instant::now())
    }
}
