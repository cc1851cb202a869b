//! The election task, which follows the leader and claims the epoch when the leader fails.

mod claims;
mod follow;
mod handlers;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_timer::{boot_time, Subscribe, TimerTask};
use jackdawchute_types::{whole_ms, CallError, Epoch, IncarnationId, WorkerId};
use rand::Rng;
use spdlog::{error, info};
use tokio::sync::{mpsc, watch};
use xtra::prelude::*;

pub(crate) use self::{
    claims::PromiseRequested,
    handlers::{EpochLost, Leave, Superseded, TakeOver},
};
use self::{
    claims::{read_before_claim, ClaimRead},
    follow::follow_leader,
    handlers::{LeaderRowReceived, LeaderStopped},
};
use crate::{
    authority::{Acknowledged, ClaimState, Permission, ACKNOWLEDGED_FOR, PROMISED_MAX},
    calls::{fetch_leader_row, SentAt},
    claim::LeaderRow,
    leader::{Fence, LeaderTask, Ports},
    messages::{AcknowledgedBy, CellAnswer, CellCall, SLICE},
    rows::LeaderRecord,
    settings::{
        CLAIM_JITTER, CLAIM_PAUSE, DEFAULT_STRONGEST_MILLICORES, FROZEN_LATENESS, HEARTBEAT_PERIOD,
        HEARTBEAT_TIMEOUT, LEADER_PRIORITY, NOTIFY_PAUSE, RECOVERY_MAX, WEAK_CLAIM_DELAY,
    },
    Metrics, Routes, Settings,
};

/// The leader as this instance knows it, published by the election task.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaderView {
    /// The newest leader row that this instance knows.
    pub(crate) row: Option<LeaderRow>,
    /// The local leader task, while this instance holds the epoch.
    pub(crate) local: Option<Address<LeaderTask>>,
    /// When the leader last answered a heartbeat or, if it is local, handled a tick; `None` before.
    pub(crate) leader_heard_at: Option<Instant>,
    /// Whether this instance is shutting down.
    pub(crate) leaving: bool,
}

/// The arguments of [`spawn`].
pub(crate) struct ElectionParts {
    pub(crate) settings: Settings,
    pub(crate) incarnation: IncarnationId,
    pub(crate) ports: Ports,
    pub(crate) routes: watch::Receiver<Routes>,
    pub(crate) metrics: Metrics,
    pub(crate) timer: Address<TimerTask>,
    pub(crate) view: watch::Sender<LeaderView>,
}

/// Sends heartbeats to the leader and claims the epoch when it fails.
#[derive(xtra::Actor)]
pub(crate) struct ElectionTask {
    parts: ElectionParts,
    /// The newest leader row that is known.
    row: Option<LeaderRow>,
    /// Whether the leader row was read, or received from a peer, yet; no claim is made before.
    row_read: bool,
    /// Whether a heartbeat is not answered yet; there is one at a time.
    heartbeat_in_flight: bool,
    last_tick_at: Instant,
    /// How late this instance handles its ticks, smoothed.
    lag: Duration,
    /// Whether a claim, or the recovery after it, is under way.
    claiming: bool,
    /// Other instances, as listed by the leader's last acknowledgement.
    other_instances: Vec<SocketAddr>,
    /// The processor of the strongest instance, as last reported by the leader.
    strongest_millicores: Option<u64>,
    /// The earliest time of the next claim.
    next_claim_at: Instant,
    /// The pause after the next claim that fails.
    claim_pause: Duration,
    /// How many takeovers in a row, that of the latest claim included, happened because of lag.
    lag_takeovers: u32,
    /// When the leader last answered, or when this instance began to expect its answers.
    leader_heard_at: Instant,
    /// When the leader row last changed; `None` before one is known.
    row_changed_at: Option<Instant>,
    /// Since when the store answers this instance again; `None` if it never failed to, and
    /// `Some(None)` until it answers.
    store_answers: Option<Option<Instant>>,
    epoch_lost: mpsc::UnboundedSender<EpochLost>,
    /// The promises of this instance, and its claims.
    claim_state: ClaimState,
    /// The last acknowledgement of a heartbeat; `None` before the first.
    acknowledged: Option<LastAcknowledgement>,
    /// The epoch of the local leader task, and the permission of its orders.
    leading: Option<(Epoch, Permission)>,
    /// The last local leader task that has stopped, or is about to.
    stopped: Option<StoppedLeader>,
}

/// A local leader task that has stopped, or is about to.
struct StoppedLeader {
    epoch: Epoch,
    /// Whether the task has not told yet what it left.
    is_stopping: bool,
    /// The workers to which an order that extends the lease got no answer; `None` if the task could
    /// not tell.
    unanswered_extensions: Option<Vec<WorkerId>>,
}

/// When the replaced leader is known to have stopped, and what it has told.
#[derive(Clone, Debug)]
pub(crate) struct PredecessorStopped {
    pub(crate) at: Instant,
    /// The workers to which an order of it that extends the lease got no answer; `None` if it could
    /// not tell.
    pub(crate) unanswered_extensions: Option<Vec<WorkerId>>,
}

/// A leader's acknowledgement of a heartbeat.
#[derive(Clone, Copy, Debug)]
struct LastAcknowledgement {
    /// The epoch of the leader.
    epoch: Epoch,
    /// When the heartbeat was sent.
    sent_at: SentAt,
    /// Until when leaders before it may have authority.
    earlier_until: Instant,
}

/// Starts the election task on the current tokio runtime.
pub(crate) async fn spawn(parts: ElectionParts) -> Address<ElectionTask> {
    let now = Instant::now();
    let (epoch_lost, mut epochs_lost) = mpsc::unbounded_channel();
    let timer = parts.timer.clone();
    let store = parts.ports.store.clone();
    let task = ElectionTask {
        parts,
        row: None,
        row_read: false,
        heartbeat_in_flight: false,
        last_tick_at: now,
        lag: Duration::ZERO,
        claiming: false,
        other_instances: Vec::new(),
        strongest_millicores: None,
        next_claim_at: now,
        claim_pause: CLAIM_PAUSE,
        lag_takeovers: 0,
        leader_heard_at: now,
        row_changed_at: None,
        store_answers: None,
        epoch_lost,
        claim_state: ClaimState::default(),
        acknowledged: None,
        leading: None,
        stopped: None,
    };
    let address = xtra::spawn_tokio(task, Mailbox::unbounded());
    let subscribe = Subscribe {
        period: HEARTBEAT_PERIOD,
        subscriber: MessageChannel::new(address.downgrade()),
    };
    if timer.send(subscribe).await.is_err() {
        error!("timer task has ended; no heartbeats are sent to the leader");
    }
    let task = address.downgrade();
    tokio::spawn(async move {
        while let Some(epoch_lost) = epochs_lost.recv().await {
            if task.send(epoch_lost).await.is_err() {
                return;
            }
        }
    });
    tokio::spawn(follow_leader(store, address.downgrade()));
    address
}

/// Returns a new id for this incarnation of the instance.
pub(crate) fn incarnation(settings: &Settings) -> IncarnationId {
    let number: u64 = rand::rng().random();
    smol_str::format_smolstr!("{}-{number:016x}", settings.instance)
}

impl ElectionTask {
    fn is_leading(&self) -> bool {
        self.parts.view.borrow().local.is_some()
    }

    fn is_leaving(&self) -> bool {
        self.parts.view.borrow().leaving
    }

    /// Records that the store has answered a read of the leader row.
    fn store_answered(&mut self) {
        if let Some(since) = &mut self.store_answers {
            since.get_or_insert_with(Instant::now);
        }
    }

    /// Returns for how long the store has answered this instance again, if it ever failed to.
    fn store_answered_for(&self) -> Option<Duration> {
        let since = self.store_answers?;
        Some(since.map_or(Duration::ZERO, |at| at.elapsed()))
    }

    fn publish(&self, change: impl FnOnce(&mut LeaderView)) {
        self.parts.view.send_modify(change);
    }

    /// Ends the local leader task, if there is one; it sends no order from now on.
    fn step_down(&mut self, cause: &'static str, context: &Context<Self>) {
        let leading = self.leading.take();
        if let Some((_, permission)) = &leading {
            permission.revoke();
        }
        let local = self.parts.view.borrow().local.clone();
        if let Some(leader) = local {
            info!("leader task stopped", kv: { cause = cause });
            let epoch = leading.map_or(0, |(epoch, _)| epoch);
            self.stopped = Some(StoppedLeader {
                epoch,
                is_stopping: true,
                unanswered_extensions: None,
            });
            let task = context.mailbox().address();
            tokio::spawn(async move {
                // A task that has ended already can tell nothing.
                let unanswered = leader.send(Fence).priority(LEADER_PRIORITY).await.ok();
                let _ = task.send(LeaderStopped(epoch, unanswered)).await;
            });
            self.publish(|view| view.local = None);
            self.parts.metrics.set_epoch(0);
        }
    }

    /// Returns whether a new leader may still be recovering.
    fn leader_may_be_recovering(&self) -> bool {
        self.row_changed_at
            .is_some_and(|at| at.elapsed() < RECOVERY_MAX)
    }

    /// Claims the epoch after a short random delay, longer for an instance with less processor.
    fn claim(&mut self, cause: &'static str, context: &Context<Self>) {
        self.claim_with_delay(cause, self.claim_delay(), context);
    }

    fn claim_delay(&self) -> Duration {
        let own_millicores = self.parts.settings.processor_millicores;
        let strongest = self
            .strongest_millicores
            .unwrap_or(DEFAULT_STRONGEST_MILLICORES);
        let missing_share =
            1.0 - own_millicores as f64 / strongest.max(own_millicores).max(1) as f64;
        CLAIM_JITTER.mul_f64(rand::rng().random::<f64>()) + WEAK_CLAIM_DELAY.mul_f64(missing_share)
    }

    /// Starts a claim with a delay, unless one is under way, not allowed, or too early; returns
    /// whether it is started.
    fn claim_with_delay(
        &mut self,
        cause: &'static str,
        delay: Duration,
        context: &Context<Self>,
    ) -> bool {
        let now = Instant::now();
        let blocked = self.claiming || self.is_leading() || self.is_leaving() || !self.row_read;
        if blocked || now < self.next_claim_at {
            return false;
        }
        self.claiming = true;
        self.lag_takeovers = 0;
        let replaced_row = self.row.clone();
        let record = LeaderRecord {
            epoch: replaced_row.as_ref().map_or(0, |row| row.record.epoch) + 1,
            incarnation: self.parts.incarnation.clone(),
            address: self.parts.settings.peer_address,
        };
        info!("claiming the epoch", kv: { epoch = record.epoch, cause = cause });
        let store = self.parts.ports.store.clone();
        let task = context.mailbox().address();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let rows = read_before_claim(store.as_ref()).await;
            let read = ClaimRead {
                record,
                replaced_row,
                rows,
            };
            let _ = task.send(read).await;
        });
        true
    }

    /// Claims the epoch if a later incarnation answers at the leader's address.
    fn claim_if_leader_ended(&mut self, answering: &IncarnationId, context: &Context<Self>) {
        let leader = self.row.as_ref().map(|row| &row.record.incarnation);
        // The leader itself answers with a redirect too while it is still recovering.
        if leader.is_some_and(|leader| leader != answering) {
            self.claim("the leader's process has ended", context);
        }
    }

    /// Asks other instances for the leader row, as this one may be the only one that is cut off from
    /// the store.
    fn query_others(&self, context: &Context<Self>) {
        let heartbeat = self.heartbeat();
        for address in self.other_instances.clone() {
            let peers = self.parts.ports.peers.clone();
            let task = context.mailbox().address();
            let heartbeat = heartbeat.clone();
            tokio::spawn(async move {
                if let Some(row) = fetch_leader_row(&peers, address, &heartbeat).await {
                    let _ = task.send(LeaderRowReceived(Some(row))).await;
                }
            });
        }
    }

    /// Measures how late this tick is handled; returns whether the process did not run meanwhile. A
    /// process that is late all the time is only slow.
    fn measure_lag(&mut self) -> bool {
        let lateness = self.last_tick_at.elapsed().saturating_sub(HEARTBEAT_PERIOD);
        self.last_tick_at = Instant::now();
        let was_slow = self.lag >= FROZEN_LATENESS / 2;
        self.lag = self.lag / 2 + lateness / 2;
        lateness >= FROZEN_LATENESS && !was_slow
    }

    fn heartbeat(&self) -> CellCall {
        CellCall::Heartbeat {
            address: self.parts.settings.peer_address,
            epoch: self.row.as_ref().map_or(0, |row| row.record.epoch),
            leaving: self.is_leaving(),
            lag_ms: whole_ms(self.lag),
            processor_millicores: self.parts.settings.processor_millicores,
            incarnation: self.parts.incarnation.clone(),
            withdrawn: self.is_leaving() && !self.claim_state.may_take_effect(),
            acknowledged: self.acknowledged_by_earlier_leader(),
        }
    }

    /// Returns what this instance knows from the leader that acknowledged it last; `None` if that
    /// was too long ago, or if the leader may not count it as a member any more.
    fn acknowledged(&self, now: Instant) -> Option<Acknowledged> {
        let last = self.acknowledged.filter(|_| !self.is_leaving())?;
        // Time for which the machine was suspended counts for the leader too.
        let age = boot_time().saturating_sub(last.sent_at.boot);
        let sent_at = now.checked_sub(age)?;
        (age < ACKNOWLEDGED_FOR).then(|| Acknowledged {
            epoch: last.epoch,
            sent_at,
            earlier_until: last.earlier_until,
            promised_until: self.claim_state.promised_until(now),
        })
    }

    /// Returns what the leader of a later epoch needs to know from the one that acknowledged this
    /// instance last.
    fn acknowledged_by_earlier_leader(&self) -> Option<AcknowledgedBy> {
        let now = Instant::now();
        let acknowledged = self.acknowledged(now)?;
        let left = |until: Instant| whole_ms(until.saturating_duration_since(now));
        let is_earlier = |row: &LeaderRow| acknowledged.epoch < row.record.epoch;
        self.row
            .as_ref()
            .is_some_and(is_earlier)
            .then(|| AcknowledgedBy {
                epoch: acknowledged.epoch,
                age_ms: whole_ms(now.saturating_duration_since(acknowledged.sent_at)),
                earlier_authority_ms: left(acknowledged.earlier_until),
                promised_ms: left(acknowledged.promised_until),
            })
    }

    /// Sends the new leader row to the predecessor, which may be cut off from the store, until it
    /// answers; returns when it has.
    ///
    /// An acknowledgement shows that the predecessor has stopped: it does so before it answers, and a
    /// later incarnation at its address answers only once it has ended.
    fn notify_predecessor(
        &self,
        replaced_row: Option<LeaderRow>,
        row: &LeaderRow,
    ) -> watch::Receiver<Option<PredecessorStopped>> {
        let (stopped, receiver) = watch::channel(None);
        let Some(replaced) = replaced_row.map(|row| row.record) else {
            return receiver;
        };
        let predecessor = replaced.address;
        if predecessor == self.parts.settings.peer_address {
            stopped.send_replace(Some(PredecessorStopped {
                at: Instant::now(),
                unanswered_extensions: self.left_by(replaced.epoch),
            }));
            return receiver;
        }
        let call = CellCall::Superseded {
            row: row.clone(),
            asks: true,
        };
        let peers = self.parts.ports.peers.clone();
        tokio::spawn(async move {
            let give_up_at = Instant::now() + PROMISED_MAX;
            while Instant::now() < give_up_at && !stopped.is_closed() {
                let answer: std::result::Result<CellAnswer, CallError> = peers
                    .call(predecessor, SLICE, &call, HEARTBEAT_TIMEOUT)
                    .await;
                let told = match answer {
                    Ok(CellAnswer::Stopped {
                        unanswered_extensions,
                    }) => Some(unanswered_extensions),
                    // An instance of an earlier version tells no more.
                    Ok(CellAnswer::Acknowledged) => Some(None),
                    _ => None,
                };
                if let Some(unanswered_extensions) = told {
                    info!("predecessor has stopped", kv: {
                        predecessor: = predecessor,
                        unanswered_extensions:? = unanswered_extensions.as_ref().map(Vec::len)
                    });
                    stopped.send_replace(Some(PredecessorStopped {
                        at: Instant::now(),
                        unanswered_extensions,
                    }));
                    return;
                }
                tokio::time::sleep(NOTIFY_PAUSE).await;
            }
            info!("predecessor was not told of its successor", kv: {
                predecessor: = predecessor
            });
        });
        receiver
    }

    /// Returns the workers that the local leader task of an epoch has named as it stopped; `None` if
    /// there was none, or if it has named none yet.
    fn left_by(&self, epoch: Epoch) -> Option<Vec<WorkerId>> {
        let stopped = self.stopped.as_ref().filter(|it| it.epoch == epoch)?;
        stopped.unanswered_extensions.clone()
    }

    /// Replaces the known leader row unless the given one is older, and publishes a newer one. Ends
    /// the local leader task if the row names another instance.
    fn update_row(&mut self, row: LeaderRow, context: &Context<Self>) {
        let known_version = self.row.as_ref().map_or(0, |row| row.version);
        if row.version < known_version {
            return;
        }
        if row.version > known_version {
            info!("new leader row", kv: {
                epoch = row.record.epoch, address: = row.record.address,
                version = row.version
            });
            self.claim_state.row_changed();
            self.leader_heard_at = Instant::now();
            self.row_changed_at = Some(self.leader_heard_at);
            let published_row = row.clone();
            self.publish(|view| view.row = Some(published_row));
        }
        if row.record.incarnation != self.parts.incarnation {
            self.step_down("another instance holds the epoch", context);
        }
        self.row = Some(row);
    }
}
