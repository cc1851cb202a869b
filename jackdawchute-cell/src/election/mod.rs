//! The task that knows which instance schedules, and takes its place when it is gone.

mod follow;
mod handlers;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_timer::{Subscribe, TimerTask};
use jackdawchute_types::{whole_ms, CallError, IncarnationId};
use rand::Rng;
use spdlog::{error, info};
use tokio::sync::{mpsc, watch};
use xtra::prelude::*;

pub(crate) use self::handlers::{EpochLost, LeaderSeen, Leave, TakeOver};
use self::{follow::follow_leader, handlers::ClaimAnswered};
use crate::{
    calls::ask_for_row,
    claim::{self, LeaderRow},
    leader::{LeaderTask, Ports},
    messages::{CellAnswer, CellCall, SLICE},
    rows::LeaderRecord,
    settings::{
        CLAIM_JITTER, CLAIM_PAUSE, HEARTBEAT_PERIOD, HEARTBEAT_TIMEOUT,
        STRONGEST_UNKNOWN_MILLICORES, WEAK_CLAIM_DELAY,
    },
    Metrics, Routes, Settings,
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
pub(crate) struct ElectionParts {
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
pub(crate) struct ElectionTask {
    parts: ElectionParts,
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
    /// The most processor that any instance has, as the scheduling one told.
    strongest_millicores: Option<u64>,
    claim_after: Instant,
    /// The pause after the next claim that fails.
    claim_pause: Duration,
    /// When the holder was last heard, or when this instance began to listen for it.
    heard_at: Instant,
    epoch_lost: mpsc::UnboundedSender<EpochLost>,
}

/// Starts the member task.
pub(crate) async fn spawn(parts: ElectionParts) -> Address<ElectionTask> {
    let now = Instant::now();
    let (epoch_lost, mut epochs_lost) = mpsc::unbounded_channel();
    let timer = parts.timer.clone();
    let store = parts.ports.store.clone();
    let task = ElectionTask {
        parts,
        row: None,
        row_read: false,
        saying_hello: false,
        ticked_at: now,
        lag: Duration::ZERO,
        claiming: false,
        others: Vec::new(),
        strongest_millicores: None,
        claim_after: now,
        claim_pause: CLAIM_PAUSE,
        heard_at: now,
        epoch_lost,
    };
    let address = xtra::spawn_tokio(task, Mailbox::unbounded());
    let subscribe = Subscribe {
        period: HEARTBEAT_PERIOD,
        subscriber: MessageChannel::new(address.downgrade()),
    };
    if timer.send(subscribe).await.is_err() {
        error!("timer is gone; the scheduling instance is not watched");
    }
    let own = address.downgrade();
    tokio::spawn(async move {
        while let Some(epoch_lost) = epochs_lost.recv().await {
            if own.send(epoch_lost).await.is_err() {
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

impl ElectionTask {
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

    /// Claims the epoch after a short random wait, longer for an instance with less processor.
    fn claim(&mut self, cause: &'static str, context: &Context<Self>) {
        self.claim_after_wait(cause, self.claim_wait(), context);
    }

    fn claim_wait(&self) -> Duration {
        let own = self.parts.settings.processor_millicores;
        let strongest = self
            .strongest_millicores
            .unwrap_or(STRONGEST_UNKNOWN_MILLICORES);
        let lacking = 1.0 - own as f64 / strongest.max(own).max(1) as f64;
        CLAIM_JITTER.mul_f64(rand::rng().random::<f64>()) + WEAK_CLAIM_DELAY.mul_f64(lacking)
    }

    fn claim_after_wait(&mut self, cause: &'static str, wait: Duration, context: &Context<Self>) {
        let now = Instant::now();
        let blocked = self.claiming || self.leading() || self.leaving() || !self.row_read;
        if blocked || now < self.claim_after {
            return;
        }
        self.claiming = true;
        let known = self.row.clone();
        let record = LeaderRecord {
            epoch: known.as_ref().map_or(0, |row| row.record.epoch) + 1,
            incarnation: self.parts.incarnation.clone(),
            address: self.parts.settings.peer_address,
        };
        info!("claiming the epoch", kv: { epoch = record.epoch, cause = cause });
        let store = self.parts.ports.store.clone();
        let own = context.mailbox().address();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
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
        let heartbeat = self.heartbeat();
        for address in self.others.clone() {
            let peers = self.parts.ports.peers.clone();
            let own = context.mailbox().address();
            let heartbeat = heartbeat.clone();
            tokio::spawn(async move {
                if let Some(row) = ask_for_row(&peers, address, &heartbeat).await {
                    let _ = own.send(LeaderSeen(Some(row))).await;
                }
            });
        }
    }

    /// Measures how late ticks are handled.
    fn note_lag(&mut self) {
        let late = self.ticked_at.elapsed().saturating_sub(HEARTBEAT_PERIOD);
        self.ticked_at = Instant::now();
        self.lag = self.lag / 2 + late / 2;
    }

    fn heartbeat(&self) -> CellCall {
        CellCall::Heartbeat {
            address: self.parts.settings.peer_address,
            epoch: self.row.as_ref().map_or(0, |row| row.record.epoch),
            leaving: self.leaving(),
            lag_ms: whole_ms(self.lag),
            processor_millicores: self.parts.settings.processor_millicores,
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
            let answer: std::result::Result<CellAnswer, CallError> = peers
                .call(predecessor, SLICE, &call, HEARTBEAT_TIMEOUT)
                .await;
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
        if row.record.incarnation != self.parts.incarnation {
            self.step_down("another instance holds the epoch");
        }
        self.row = Some(row);
    }
}
