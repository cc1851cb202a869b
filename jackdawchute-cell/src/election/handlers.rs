//! What the member task is told and asked.

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
        CLAIM_PAUSE, CLAIM_PAUSE_MAX, HANDOVER_PERIOD, HEARTBEAT_TIMEOUT, LEADER_STORE_OUTAGE_MAX,
        LEADER_TIMEOUT,
    },
    Result,
};

/// The leader row as read; `None` if nothing new is known.
pub(crate) struct LeaderSeen(pub(crate) Option<LeaderRow>);
/// A claim's fate.
pub(super) struct ClaimAnswered {
    pub(super) record: LeaderRecord,
    /// The row that the claim was to replace.
    pub(super) known: Option<LeaderRow>,
    pub(super) claimed: Result<ClaimOutcome>,
}
/// The scheduling instance's answer to a hello.
struct HeartbeatAnswered(Epoch, std::result::Result<CellAnswer, CallError>);
/// All saved rows of an epoch that this instance holds.
struct Recovered(Head, Option<Box<Scheduler>>);
/// Another instance has taken over from the local scheduling task.
#[derive(Debug)]
pub(crate) struct EpochLost {
    /// The epoch that was lost.
    pub(crate) epoch: Epoch,
    /// The row of the instance that took over, where a peer told it.
    pub(crate) row: Option<LeaderRow>,
}
/// This instance is about to end.
pub(crate) struct Leave;
/// The scheduling instance leaves and asks this one to take its place.
pub(crate) struct TakeOver(pub(crate) Epoch);

impl Handler<LeaderSeen> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, seen: LeaderSeen, context: &mut Context<Self>) {
        self.row_read = true;
        if let Some(row) = seen.0 {
            self.note_row(row);
        }
        let held_here = |row: &LeaderRow| row.record.incarnation == self.parts.incarnation;
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

impl Handler<Tick> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self>) {
        self.note_lag();
        if self.leading() {
            self.heard_at = Instant::now();
            let now = self.heard_at;
            self.publish(|view| view.heard_at = Some(now));
            return;
        }
        if self.heard_at.elapsed() > LEADER_TIMEOUT {
            self.claim("the scheduling instance is silent", context);
            self.ask_others(context);
        }
        let Some(row) = self.row.as_ref().filter(|_| !self.saying_hello) else {
            return;
        };
        let (epoch, address) = (row.record.epoch, row.record.address);
        if row.record.incarnation == self.parts.incarnation {
            return;
        }
        self.saying_hello = true;
        let heartbeat = self.heartbeat();
        let peers = self.parts.ports.peers.clone();
        let own = context.mailbox().address();
        tokio::spawn(async move {
            let answer = peers
                .call(address, SLICE, &heartbeat, HEARTBEAT_TIMEOUT)
                .await;
            let _ = own.send(HeartbeatAnswered(epoch, answer)).await;
        });
    }
}

impl Handler<HeartbeatAnswered> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: HeartbeatAnswered, context: &mut Context<Self>) {
        self.saying_hello = false;
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
                self.others = others;
                self.strongest_millicores = Some(strongest_millicores);
                self.heard_at = Instant::now();
                let now = self.heard_at;
                self.publish(|view| view.heard_at = Some(now));
                if Duration::from_millis(store_trouble_ms) > LEADER_STORE_OUTAGE_MAX {
                    self.claim("the scheduling instance cannot save anything", context);
                }
            }
            Ok(CellAnswer::Redirect { row, incarnation }) => {
                self.note_row(row);
                self.claim_from_ended(&incarnation, context);
            }
            Ok(CellAnswer::NotLeader) => {
                // It holds the epoch and is loading, or has just lost it.
            }
            Err(CallError::ConnectionRefused(..)) => {
                self.claim("the scheduling instance's process has ended", context);
            }
            Ok(_) | Err(_) => {}
        }
    }
}

impl Handler<ClaimAnswered> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: ClaimAnswered, context: &mut Context<Self>) {
        let ClaimAnswered {
            record,
            known,
            claimed,
        } = message;
        let now = Instant::now();
        match claimed {
            Ok(ClaimOutcome::Won { epoch, version }) => {
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
                    let scheduler = recover(store, settings, epoch).await;
                    let _ = own.send(Recovered(head, scheduler.map(Box::new))).await;
                });
            }
            Ok(ClaimOutcome::Lost(row)) => {
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

impl Handler<Recovered> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: Recovered, _context: &mut Context<Self>) {
        let Recovered(head, scheduler) = message;
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
            view.heard_at = Some(now);
        });
    }
}

impl Handler<EpochLost> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: EpochLost, _context: &mut Context<Self>) {
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

impl Handler<TakeOver> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: TakeOver, context: &mut Context<Self>) {
        if self.row.as_ref().map(|row| row.record.epoch) == Some(message.0) {
            // An invitation ends the pause after an earlier claim.
            self.claim_after = Instant::now();
            let cause = "the scheduling instance offers its place";
            self.claim_after_wait(cause, Duration::ZERO, context);
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
            // The view goes on to hold the local task until the epoch is taken over.
            while view.borrow().local.is_some() {
                match local.send(FindSuccessor).await {
                    Ok(Some(successor)) => offer_epoch(&peers, successor, epoch).await,
                    _ => info!("no instance to hand the epoch to", kv: { epoch = epoch }),
                }
                tokio::time::sleep(HANDOVER_PERIOD).await;
            }
        });
    }
}
