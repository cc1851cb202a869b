//! The messages that the election task handles.

use std::time::{Duration, Instant};

use jackdawchute_scheduler::Scheduler;
use jackdawchute_timer::Tick;
use jackdawchute_types::{CallError, Epoch};
use spdlog::{info, warn};
use xtra::prelude::*;

use super::ElectionTask;
use crate::{
    calls::offer_epoch,
    claim::{ClaimOutcome, LeaderRow},
    commit::Head,
    leader::{self, FindSuccessor, LeaderParts},
    messages::{CellAnswer, SLICE},
    recover::recover,
    rows::LeaderRecord,
    settings::{
        CLAIM_PAUSE, CLAIM_PAUSE_MAX, HANDOVER_OFFER_PERIOD, HEARTBEAT_TIMEOUT,
        LEADER_STORE_OUTAGE_MAX, LEADER_TIMEOUT,
    },
    Result,
};

/// The leader row, read in the store or received from a peer; `None` if a read found no new one.
pub(crate) struct LeaderRowReceived(pub(crate) Option<LeaderRow>);
/// A claim with its outcome.
pub(super) struct ClaimFinished {
    /// The leader row's content that the claim was to write.
    pub(super) record: LeaderRecord,
    /// The row that the claim was to replace.
    pub(super) replaced_row: Option<LeaderRow>,
    pub(super) outcome: Result<ClaimOutcome>,
}
/// The leader's answer to a heartbeat, and the leader's epoch that was known when it was sent.
struct HeartbeatAnswered(Epoch, std::result::Result<CellAnswer, CallError>);
/// The end of the chain after a claim, and the recovered scheduler; `None` if recovery failed.
struct Recovered(Head, Option<Box<Scheduler>>);
/// The loss of the local leader task's epoch to another instance.
#[derive(Debug)]
pub(crate) struct EpochLost {
    /// The epoch that was lost.
    pub(crate) epoch: Epoch,
    /// The row of the instance that took over, if a peer has sent it.
    pub(crate) row: Option<LeaderRow>,
}
/// The shutdown of this instance begins.
pub(crate) struct Leave;
/// The leader's offer of its epoch to this instance.
pub(crate) struct TakeOver {
    pub(crate) epoch: Epoch,
    /// How many takeovers in a row, this one included, happen because of lag.
    pub(crate) lag_takeovers: u32,
}

impl Handler<LeaderRowReceived> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, received: LeaderRowReceived, context: &mut Context<Self>) {
        self.row_read = true;
        if let Some(row) = received.0 {
            self.update_row(row);
        }
        let is_own_claim = |row: &LeaderRow| row.record.incarnation == self.parts.incarnation;
        match &self.row {
            None => self.claim("the cell has no leader yet", context),
            // A claim without an answer took effect after all.
            Some(row) if is_own_claim(row) => self.claim("an earlier claim took effect", context),
            Some(row) if row.record.address == self.parts.settings.peer_address => {
                self.claim(
                    "an earlier incarnation of this instance holds the epoch",
                    context,
                );
            }
            Some(_) => {}
        }
    }
}

impl Handler<Tick> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self>) {
        self.measure_lag();
        if self.is_leading() {
            self.leader_heard_at = Instant::now();
            let now = self.leader_heard_at;
            self.publish(|view| view.leader_heard_at = Some(now));
            return;
        }
        if self.leader_heard_at.elapsed() > LEADER_TIMEOUT {
            self.claim("the leader does not answer heartbeats", context);
            self.query_others(context);
        }
        let Some(row) = self.row.as_ref().filter(|_| !self.heartbeat_in_flight) else {
            return;
        };
        let (epoch, address) = (row.record.epoch, row.record.address);
        if row.record.incarnation == self.parts.incarnation {
            return;
        }
        self.heartbeat_in_flight = true;
        let heartbeat = self.heartbeat();
        let peers = self.parts.ports.peers.clone();
        let task = context.mailbox().address();
        tokio::spawn(async move {
            let answer = peers
                .call(address, SLICE, &heartbeat, HEARTBEAT_TIMEOUT)
                .await;
            let _ = task.send(HeartbeatAnswered(epoch, answer)).await;
        });
    }
}

impl Handler<HeartbeatAnswered> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: HeartbeatAnswered, context: &mut Context<Self>) {
        self.heartbeat_in_flight = false;
        let HeartbeatAnswered(epoch, answer) = message;
        if self.row.as_ref().map(|row| row.record.epoch) != Some(epoch) {
            return;
        }
        match answer {
            Ok(CellAnswer::HeartbeatAck {
                store_trouble_ms,
                others,
                strongest_millicores,
            }) => {
                self.other_instances = others;
                self.strongest_millicores = Some(strongest_millicores);
                self.leader_heard_at = Instant::now();
                let now = self.leader_heard_at;
                self.publish(|view| view.leader_heard_at = Some(now));
                if Duration::from_millis(store_trouble_ms) > LEADER_STORE_OUTAGE_MAX {
                    self.claim("the leader's store outage lasts too long", context);
                }
            }
            Ok(CellAnswer::Redirect { row, incarnation }) => {
                self.update_row(row);
                self.claim_if_leader_ended(&incarnation, context);
            }
            Ok(CellAnswer::NotLeader) => {
                // The instance holds the epoch and is still recovering, or has just lost it.
                if self.leader_may_be_recovering() {
                    self.leader_heard_at = Instant::now();
                }
            }
            Err(CallError::ConnectionRefused(..)) => {
                self.claim("the leader's process has ended", context);
            }
            Ok(_) | Err(_) => {}
        }
    }
}

impl Handler<ClaimFinished> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: ClaimFinished, context: &mut Context<Self>) {
        let ClaimFinished {
            record,
            replaced_row,
            outcome,
        } = message;
        let now = Instant::now();
        match outcome {
            Ok(ClaimOutcome::Won { epoch, version }) => {
                self.claim_pause = CLAIM_PAUSE;
                let row = LeaderRow { record, version };
                self.notify_predecessor(replaced_row, &row);
                self.update_row(row);
                let head = Head {
                    epoch,
                    commits: 0,
                    version,
                };
                info!("epoch claimed", kv: { epoch = epoch, version = version });
                let store = self.parts.ports.store.clone();
                let settings = self.parts.settings.scheduler;
                let task = context.mailbox().address();
                tokio::spawn(async move {
                    let scheduler = recover(store, settings, epoch).await;
                    let _ = task.send(Recovered(head, scheduler.map(Box::new))).await;
                });
            }
            Ok(ClaimOutcome::Lost(row)) => {
                self.claim_pause = CLAIM_PAUSE;
                self.claiming = false;
                self.next_claim_at = now + CLAIM_PAUSE;
                if let Some(row) = row {
                    self.update_row(row);
                }
            }
            Err(error) => {
                warn!("claim failed", kv: { epoch = record.epoch, cause: = error });
                self.claiming = false;
                self.next_claim_at = now + self.claim_pause;
                self.claim_pause = (self.claim_pause * 2).min(CLAIM_PAUSE_MAX);
            }
        }
    }
}

impl Handler<Recovered> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: Recovered, _context: &mut Context<Self>) {
        let Recovered(head, scheduler) = message;
        self.claiming = false;
        let is_current = self.row.as_ref().map(|row| row.record.epoch) == Some(head.epoch);
        let Some(scheduler) = scheduler.filter(|_| is_current) else {
            self.next_claim_at = Instant::now() + CLAIM_PAUSE;
            return;
        };
        let parts = LeaderParts {
            scheduler: *scheduler,
            head,
            lag_takeovers: self.lag_takeovers,
            own_address: self.parts.settings.peer_address,
            processor_millicores: self.parts.settings.processor_millicores,
            ports: self.parts.ports.clone(),
            routes: self.parts.routes.clone(),
            metrics: self.parts.metrics.clone(),
            epoch_lost: self.epoch_lost.clone(),
        };
        let leader = leader::spawn(parts, &self.parts.timer).await;
        let now = Instant::now();
        self.publish(|view| {
            view.local = Some(leader);
            view.leader_heard_at = Some(now);
        });
    }
}

impl Handler<EpochLost> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: EpochLost, _context: &mut Context<Self>) {
        if let Some(row) = message.row {
            self.update_row(row);
        }
        if self.row.as_ref().map(|row| row.record.epoch) == Some(message.epoch) {
            self.step_down("epoch lost to another instance");
            // The new leader is not known until its row is read, so the timeout starts anew.
            self.leader_heard_at = Instant::now();
        } else {
            self.step_down("earlier epoch lost to another instance");
        }
    }
}

impl Handler<TakeOver> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, offer: TakeOver, context: &mut Context<Self>) {
        if self.row.as_ref().map(|row| row.record.epoch) == Some(offer.epoch) {
            // The leader's offer ends the pause after an earlier claim.
            self.next_claim_at = Instant::now();
            let cause = "the leader offers its epoch";
            if self.claim_with_delay(cause, Duration::ZERO, context) {
                self.lag_takeovers = offer.lag_takeovers;
            }
        }
    }
}

impl Handler<Leave> for ElectionTask {
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
            // The view has the local leader task until another instance has claimed the epoch.
            while view.borrow().local.is_some() {
                match local.send(FindSuccessor).await {
                    Ok(Some(successor)) => offer_epoch(&peers, successor, epoch, 0).await,
                    _ => info!("no successor for the epoch", kv: { epoch = epoch }),
                }
                tokio::time::sleep(HANDOVER_OFFER_PERIOD).await;
            }
        });
    }
}
