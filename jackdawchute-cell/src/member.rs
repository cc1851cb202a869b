//! The task that knows which instance schedules, and takes its place when it is gone.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use jackdawchute_peer::Peers;
use jackdawchute_scheduler::{RowTable, Saved, Scheduler};
use jackdawchute_timer::{Subscribe, Tick, TimerTask};
use jackdawchute_types::{CallError, Epoch, IncarnationId};
use rand::Rng;
use spdlog::{error, info, warn};
use tokio::sync::{mpsc, watch};
use xtra::{prelude::*, refcount::Weak};

use crate::{
    claim::{self, Claimed, LeaderRow},
    commit::Head,
    leader::{self, FindSuccessor, LeaderParts, LeaderTask, Ports},
    messages::{CellAnswer, CellCall, SLICE},
    rows::{table, LeaderRecord, KINDS, LEADER_TABLE, PART, SOLE_KEY},
    settings::{
        CLAIM_JITTER, CLAIM_PAUSE, CLAIM_PAUSE_MAX, FOLLOW_PAUSE, FOLLOW_WAIT, HANDOVER_PERIOD,
        HELLO_PERIOD, HELLO_TIMEOUT, LEADER_SILENCE, LEADER_STORE_TROUBLE,
    },
    Changes, Metrics, Result, Routes, Settings, Store,
};

/// Where the scheduling instance is, as far as this one knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaderView {
    /// The leader row as last read.
    pub(crate) row: Option<LeaderRow>,
    /// The scheduling task, while this instance holds the epoch.
    pub(crate) local: Option<Address<LeaderTask>>,
    /// When the scheduling instance was last heard.
    pub(crate) heard_at: Option<Instant>,
    /// Whether this instance is about to end.
    pub(crate) leaving: bool,
}

/// What the member task is made of.
pub(crate) struct MemberParts {
    pub(crate) settings: Settings,
    pub(crate) incarnation: IncarnationId,
    pub(crate) ports: Ports,
    pub(crate) routes: watch::Receiver<Routes>,
    pub(crate) metrics: Metrics,
    pub(crate) timer: Address<TimerTask>,
    pub(crate) view: watch::Sender<LeaderView>,
}

/// Follows the leader row, and claims the epoch when its holder is gone.
#[derive(xtra::Actor)]
pub(crate) struct MemberTask {
    parts: MemberParts,
    incarnation: IncarnationId,
    row: Option<LeaderRow>,
    /// Whether the leader row was read at all.
    row_read: bool,
    saying_hello: bool,
    ticked_at: Instant,
    /// How late this instance gets to its work, smoothed.
    lag: Duration,
    claiming: bool,
    /// Other instances that the scheduling one told of.
    others: Vec<SocketAddr>,
    claim_after: Instant,
    /// The pause after the next claim that fails.
    claim_pause: Duration,
    /// When the holder was last heard, or when this instance began to listen for it.
    heard_at: Instant,
    deposed: mpsc::UnboundedSender<Deposed>,
}

/// Starts the member task.
pub(crate) async fn spawn(parts: MemberParts) -> Address<MemberTask> {
    let now = Instant::now();
    let (deposed, mut depositions) = mpsc::unbounded_channel();
    let timer = parts.timer.clone();
    let store = parts.ports.store.clone();
    let task = MemberTask {
        incarnation: parts.incarnation.clone(),
        parts,
        row: None,
        row_read: false,
        saying_hello: false,
        ticked_at: now,
        lag: Duration::ZERO,
        claiming: false,
        others: Vec::new(),
        claim_after: now,
        claim_pause: CLAIM_PAUSE,
        heard_at: now,
        deposed,
    };
    let address = xtra::spawn_tokio(task, Mailbox::unbounded());
    let subscribe = Subscribe {
        period: HELLO_PERIOD,
        subscriber: MessageChannel::new(address.downgrade()),
    };
    if timer.send(subscribe).await.is_err() {
        error!("timer is gone; the scheduling instance is not watched");
    }
    let own = address.downgrade();
    tokio::spawn(async move {
        while let Some(deposed) = depositions.recv().await {
            if own.send(deposed).await.is_err() {
                return;
            }
        }
    });
    tokio::spawn(follow_leader(store, address.downgrade()));
    address
}

/// A name for this life of the instance.
pub(crate) fn incarnation(settings: &Settings) -> IncarnationId {
    let number: u64 = rand::rng().random();
    smol_str::format_smolstr!("{}-{number:016x}", settings.instance)
}

/// Passes each change of the leader row on for as long as the task lives.
async fn follow_leader(store: Arc<dyn Store>, task: Address<MemberTask, Weak>) {
    let mut after: Option<u64> = None;
    let mut failing = false;
    while task.is_connected() {
        let news = match after {
            None => read_leader(store.as_ref()).await,
            Some(version) => next_leader(store.as_ref(), version).await,
        };
        if failing == news.is_ok() {
            failing = news.is_err();
            warn!("leader row", kv: { reachable = news.is_ok() });
        }
        match news {
            Ok((rows, version)) => {
                after = version;
                let first = rows.is_empty();
                for row in rows {
                    if task.send(LeaderSeen(Some(row))).await.is_err() {
                        return;
                    }
                }
                if first && task.send(LeaderSeen(None)).await.is_err() {
                    return;
                }
            }
            Err(_) => {
                after = None;
                tokio::time::sleep(FOLLOW_PAUSE).await;
            }
        }
    }
}

type LeaderNews = (Vec<LeaderRow>, Option<u64>);

async fn read_leader(store: &dyn Store) -> Result<LeaderNews> {
    let page = store.read(LEADER_TABLE, PART, None).await?;
    Ok((leader_rows(page.rows), Some(page.version)))
}

async fn next_leader(store: &dyn Store, version: u64) -> Result<LeaderNews> {
    match store.follow(LEADER_TABLE, version, FOLLOW_WAIT).await? {
        Changes::Rows(rows, version) => Ok((leader_rows(rows), Some(version))),
        Changes::HistoryLost => Ok((Vec::new(), None)),
    }
}

fn leader_rows(rows: Vec<crate::StoreRow>) -> Vec<LeaderRow> {
    let decode = |row: crate::StoreRow| {
        let value = row.value.filter(|_| row.key == SOLE_KEY)?;
        match serde_json::from_slice(&value) {
            Ok(record) => Some(LeaderRow {
                record,
                version: row.version,
            }),
            Err(cause) => {
                error!("leader row does not decode", kv: { cause: = cause });
                None
            }
        }
    };
    rows.into_iter().filter_map(decode).collect()
}

impl MemberTask {
    fn leading(&self) -> bool {
        self.parts.view.borrow().local.is_some()
    }

    fn leaving(&self) -> bool {
        self.parts.view.borrow().leaving
    }

    fn publish(&self, change: impl FnOnce(&mut LeaderView)) {
        self.parts.view.send_modify(change);
    }

    fn step_down(&mut self, cause: &'static str) {
        if self.leading() {
            info!("scheduling ends here", kv: { cause = cause });
            self.publish(|view| view.local = None);
            self.parts.metrics.set_epoch(0);
        }
    }

    /// Claims the epoch after a short random wait.
    fn claim(&mut self, cause: &'static str, context: &Context<Self>) {
        let now = Instant::now();
        let blocked = self.claiming || self.leading() || self.leaving() || !self.row_read;
        if blocked || now < self.claim_after {
            return;
        }
        self.claiming = true;
        let known = self.row.clone();
        let record = LeaderRecord {
            epoch: known.as_ref().map_or(0, |row| row.record.epoch) + 1,
            incarnation: self.incarnation.clone(),
            address: self.parts.settings.peer_address,
        };
        info!("claiming the epoch", kv: { epoch = record.epoch, cause = cause });
        let store = self.parts.ports.store.clone();
        let own = context.mailbox().address();
        tokio::spawn(async move {
            let jitter = CLAIM_JITTER.mul_f64(rand::rng().random::<f64>());
            tokio::time::sleep(jitter).await;
            let transaction = claim::transaction(known.as_ref(), &record);
            let claimed = store.transact(&transaction).await;
            let claimed = claimed.map(|transacted| claim::outcome(&record, transacted));
            let answered = ClaimAnswered {
                record,
                known,
                claimed,
            };
            let _ = own.send(answered).await;
        });
    }

    /// Claims the epoch if the instance that answers in the holder's place is a later life of it.
    fn claim_from_ended(&mut self, answering: &IncarnationId, context: &Context<Self>) {
        let holder = self.row.as_ref().map(|row| &row.record.incarnation);
        // The holder itself answers like that while it still loads what was saved.
        if holder.is_some_and(|holder| holder != answering) {
            self.claim("the scheduling instance's process has ended", context);
        }
    }

    /// Asks other instances which one schedules; the store may be out of reach for this one alone.
    fn ask_others(&self, context: &Context<Self>) {
        let hello = self.hello();
        for address in self.others.clone() {
            let peers = self.parts.ports.peers.clone();
            let own = context.mailbox().address();
            let hello = hello.clone();
            tokio::spawn(async move {
                let answer = peers.call(address, SLICE, &hello, HELLO_TIMEOUT).await;
                if let Ok(CellAnswer::Elsewhere { row, .. }) = answer {
                    let _ = own.send(LeaderSeen(Some(row))).await;
                }
            });
        }
    }

    /// Measures how late ticks are handled.
    fn note_lag(&mut self) {
        let late = self.ticked_at.elapsed().saturating_sub(HELLO_PERIOD);
        self.ticked_at = Instant::now();
        self.lag = self.lag / 2 + late / 2;
    }

    fn hello(&self) -> CellCall {
        CellCall::Hello {
            address: self.parts.settings.peer_address,
            epoch: self.row.as_ref().map_or(0, |row| row.record.epoch),
            leaving: self.leaving(),
            lag_ms: u64::try_from(self.lag.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Tells the instance that held the epoch before, which may be cut off from the store.
    fn tell_predecessor(&self, known: Option<LeaderRow>, row: &LeaderRow) {
        let Some(predecessor) = known.map(|row| row.record.address) else {
            return;
        };
        if predecessor == self.parts.settings.peer_address {
            return;
        }
        let call = CellCall::Superseded { row: row.clone() };
        let peers = self.parts.ports.peers.clone();
        tokio::spawn(async move {
            let answer: std::result::Result<CellAnswer, CallError> =
                peers.call(predecessor, SLICE, &call, HELLO_TIMEOUT).await;
            info!("predecessor told", kv: {
                predecessor: = predecessor, reached = answer.is_ok()
            });
        });
    }

    fn note_row(&mut self, row: LeaderRow) {
        let known = self.row.as_ref().map_or(0, |row| row.version);
        if row.version < known {
            return;
        }
        if row.version > known {
            info!("scheduling instance", kv: {
                epoch = row.record.epoch, address: = row.record.address,
                version = row.version
            });
            self.heard_at = Instant::now();
            let known = row.clone();
            self.publish(|view| view.row = Some(known));
        }
        if row.record.incarnation != self.incarnation {
            self.step_down("another instance holds the epoch");
        }
        self.row = Some(row);
    }
}

/// The leader row as read; `None` if nothing new is known.
pub(crate) struct LeaderSeen(pub(crate) Option<LeaderRow>);
/// A claim's fate.
struct ClaimAnswered {
    record: LeaderRecord,
    /// The row that the claim was to replace.
    known: Option<LeaderRow>,
    claimed: Result<Claimed>,
}
/// The scheduling instance's answer to a hello.
struct HelloAnswered(Epoch, std::result::Result<CellAnswer, CallError>);
/// All saved rows of an epoch that this instance holds.
struct Loaded(Head, Option<Box<Scheduler>>);
/// Another instance has taken over from the local scheduling task.
#[derive(Debug)]
pub(crate) struct Deposed {
    /// The epoch that was lost.
    pub(crate) epoch: Epoch,
    /// The row of the instance that took over, where a peer told it.
    pub(crate) row: Option<LeaderRow>,
}
/// This instance is about to end.
pub(crate) struct Leave;
/// The scheduling instance leaves and asks this one to take its place.
pub(crate) struct TakeOver(pub(crate) Epoch);

impl Handler<LeaderSeen> for MemberTask {
    type Return = ();

    async fn handle(&mut self, seen: LeaderSeen, context: &mut Context<Self>) {
        self.row_read = true;
        if let Some(row) = seen.0 {
            self.note_row(row);
        }
        let held_here = |row: &LeaderRow| row.record.incarnation == self.incarnation;
        match &self.row {
            None => self.claim("no instance schedules yet", context),
            // A claim without an answer took effect after all.
            Some(row) if held_here(row) => self.claim("an earlier claim took effect", context),
            Some(row) if row.record.address == self.parts.settings.peer_address => {
                self.claim("an earlier life of this instance holds the epoch", context);
            }
            Some(_) => {}
        }
    }
}

impl Handler<Tick> for MemberTask {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self>) {
        self.note_lag();
        if self.leading() {
            self.heard_at = Instant::now();
            let now = self.heard_at;
            self.publish(|view| view.heard_at = Some(now));
            return;
        }
        if self.heard_at.elapsed() > LEADER_SILENCE {
            self.claim("the scheduling instance is silent", context);
            self.ask_others(context);
        }
        let Some(row) = self.row.as_ref().filter(|_| !self.saying_hello) else {
            return;
        };
        let (epoch, address) = (row.record.epoch, row.record.address);
        if row.record.incarnation == self.incarnation {
            return;
        }
        self.saying_hello = true;
        let hello = self.hello();
        let peers = self.parts.ports.peers.clone();
        let own = context.mailbox().address();
        tokio::spawn(async move {
            let answer = peers.call(address, SLICE, &hello, HELLO_TIMEOUT).await;
            let _ = own.send(HelloAnswered(epoch, answer)).await;
        });
    }
}

impl Handler<HelloAnswered> for MemberTask {
    type Return = ();

    async fn handle(&mut self, message: HelloAnswered, context: &mut Context<Self>) {
        self.saying_hello = false;
        let HelloAnswered(epoch, answer) = message;
        if self.row.as_ref().map(|row| row.record.epoch) != Some(epoch) {
            return;
        }
        match answer {
            Ok(CellAnswer::Here {
                store_trouble_ms,
                others,
                ..
            }) => {
                self.others = others;
                self.heard_at = Instant::now();
                let now = self.heard_at;
                self.publish(|view| view.heard_at = Some(now));
                if Duration::from_millis(store_trouble_ms) > LEADER_STORE_TROUBLE {
                    self.claim("the scheduling instance cannot save anything", context);
                }
            }
            Ok(CellAnswer::Elsewhere { row, incarnation }) => {
                self.note_row(row);
                self.claim_from_ended(&incarnation, context);
            }
            Ok(CellAnswer::NotScheduling) => {
                // It holds the epoch and is loading, or has just lost it.
            }
            Err(CallError::ConnectionRefused(..)) => {
                self.claim("the scheduling instance's process has ended", context);
            }
            Ok(_) | Err(_) => {}
        }
    }
}

impl Handler<ClaimAnswered> for MemberTask {
    type Return = ();

    async fn handle(&mut self, message: ClaimAnswered, context: &mut Context<Self>) {
        let ClaimAnswered {
            record,
            known,
            claimed,
        } = message;
        let now = Instant::now();
        match claimed {
            Ok(Claimed::Won { epoch, version }) => {
                self.claim_pause = CLAIM_PAUSE;
                let row = LeaderRow { record, version };
                self.tell_predecessor(known, &row);
                self.note_row(row);
                let head = Head {
                    epoch,
                    commits: 0,
                    version,
                };
                info!("epoch claimed", kv: { epoch = epoch, version = version });
                let store = self.parts.ports.store.clone();
                let settings = self.parts.settings.scheduler;
                let own = context.mailbox().address();
                tokio::spawn(async move {
                    let scheduler = load(store, settings, epoch).await;
                    let _ = own.send(Loaded(head, scheduler.map(Box::new))).await;
                });
            }
            Ok(Claimed::Lost(row)) => {
                self.claim_pause = CLAIM_PAUSE;
                self.claiming = false;
                self.claim_after = now + CLAIM_PAUSE;
                if let Some(row) = row {
                    self.note_row(row);
                }
            }
            Err(error) => {
                warn!("claim failed", kv: { epoch = record.epoch, cause: = error });
                self.claiming = false;
                self.claim_after = now + self.claim_pause;
                self.claim_pause = (self.claim_pause * 2).min(CLAIM_PAUSE_MAX);
            }
        }
    }
}

impl Handler<Loaded> for MemberTask {
    type Return = ();

    async fn handle(&mut self, message: Loaded, _context: &mut Context<Self>) {
        let Loaded(head, scheduler) = message;
        self.claiming = false;
        let current = self.row.as_ref().map(|row| row.record.epoch) == Some(head.epoch);
        let Some(scheduler) = scheduler.filter(|_| current) else {
            self.claim_after = Instant::now() + CLAIM_PAUSE;
            return;
        };
        let parts = LeaderParts {
            scheduler: *scheduler,
            head,
            own_address: self.parts.settings.peer_address,
            ports: self.parts.ports.clone(),
            routes: self.parts.routes.clone(),
            metrics: self.parts.metrics.clone(),
            deposed: self.deposed.clone(),
        };
        let leader = leader::spawn(parts, &self.parts.timer).await;
        let now = Instant::now();
        self.publish(|view| {
            view.local = Some(leader);
            view.heard_at = Some(now);
        });
    }
}

/// Reads all that was saved; `None` if it cannot be used.
async fn load(
    store: Arc<dyn Store>,
    settings: jackdawchute_scheduler::Settings,
    epoch: Epoch,
) -> Option<Scheduler> {
    let mut saved = Vec::new();
    for kind in KINDS {
        let rows = match read_all(store.as_ref(), kind).await {
            Ok(rows) => rows,
            Err(error) => {
                warn!("saved rows could not be read", kv: { epoch = epoch, cause: = error });
                return None;
            }
        };
        saved.push(Saved { table: kind, rows });
    }
    let mut scheduler = Scheduler::new(settings, epoch, Instant::now());
    let unix_now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    match scheduler.take_over(&saved, unix_now, Instant::now()) {
        Ok(()) => Some(scheduler),
        Err(error) => {
            error!("saved rows are not usable", kv: { epoch = epoch, cause: = error });
            None
        }
    }
}

async fn read_all(store: &dyn Store, kind: RowTable) -> Result<Vec<(smol_str::SmolStr, Vec<u8>)>> {
    let mut rows: Vec<(smol_str::SmolStr, Vec<u8>)> = Vec::new();
    loop {
        let last = rows.last().map(|(key, _)| key.clone());
        let page = store.read(table(kind), PART, last.as_deref()).await?;
        let before = rows.len();
        let new = page
            .rows
            .into_iter()
            .filter(|row| Some(&row.key) != last.as_ref());
        rows.extend(new.filter_map(|row| Some((row.key, row.value?))));
        if !page.has_more || rows.len() == before {
            return Ok(rows);
        }
    }
}

impl Handler<Deposed> for MemberTask {
    type Return = ();

    async fn handle(&mut self, message: Deposed, _context: &mut Context<Self>) {
        if let Some(row) = message.row {
            self.note_row(row);
        }
        if self.row.as_ref().map(|row| row.record.epoch) == Some(message.epoch) {
            self.step_down("deposed");
            // Whoever took over is in the row; until it is read there is nobody to ask.
            self.heard_at = Instant::now();
        } else {
            self.step_down("deposed from an earlier epoch");
        }
    }
}

impl Handler<TakeOver> for MemberTask {
    type Return = ();

    async fn handle(&mut self, message: TakeOver, context: &mut Context<Self>) {
        if self.row.as_ref().map(|row| row.record.epoch) == Some(message.0) {
            // An invitation ends the pause after an earlier claim.
            self.claim_after = Instant::now();
            self.claim("the scheduling instance offers its place", context);
        }
    }
}

impl Handler<Leave> for MemberTask {
    type Return = ();

    async fn handle(&mut self, _leave: Leave, _context: &mut Context<Self>) {
        self.publish(|view| view.leaving = true);
        let local = self.parts.view.borrow().local.clone();
        let Some(local) = local else {
            return;
        };
        let Some(epoch) = self.row.as_ref().map(|row| row.record.epoch) else {
            return;
        };
        let peers = self.parts.ports.peers.clone();
        let view = self.parts.view.subscribe();
        tokio::spawn(async move {
            // The view goes on to hold the local task until the epoch is taken over.
            while view.borrow().local.is_some() {
                offer_epoch(&local, &peers, epoch).await;
                tokio::time::sleep(HANDOVER_PERIOD).await;
            }
        });
    }
}

/// Asks the instance that could best take over to do so.
async fn offer_epoch(local: &Address<LeaderTask>, peers: &Peers, epoch: Epoch) {
    let Ok(Some(successor)) = local.send(FindSuccessor).await else {
        info!("no instance to hand the epoch to", kv: { epoch = epoch });
        return;
    };
    let call = CellCall::TakeOver { epoch };
    let answer: std::result::Result<CellAnswer, CallError> =
        peers.call(successor, SLICE, &call, HELLO_TIMEOUT).await;
    info!("epoch offered to a successor", kv: {
        epoch = epoch, successor: = successor, reached = answer.is_ok()
    });
}
