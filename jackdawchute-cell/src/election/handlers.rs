//! The messages that the election task handles.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_timer::Tick;
use jackdawchute_types::{CallError, Epoch, WorkerId};
use spdlog::info;
use xtra::prelude::*;

use super::{ElectionTask, LastAcknowledgement, StoppedLeader};
use crate::{
    calls::{offer_epoch, SentAt},
    claim::LeaderRow,
    leader::{is_outage_of_leader_alone, FindSuccessor},
    messages::{CellAnswer, SLICE},
    settings::{HANDOVER_OFFER_PERIOD, HEARTBEAT_TIMEOUT, LEADER_TIMEOUT, OFFERS_TO_A_SUCCESSOR},
};

/// The leader row, read in the store or received from a peer; `None` if a read found no new one.
pub(crate) struct LeaderRowReceived(pub(crate) Option<LeaderRow>);
/// The leader row as it was read in the store.
pub(super) struct LeaderRowRead(pub(super) LeaderRow);
/// The store has not answered a read of the leader row.
pub(super) struct StoreFailed;
/// The leader's answer to a heartbeat, when it was sent, and the leader's epoch that was known then.
struct HeartbeatAnswered(Epoch, SentAt, std::result::Result<CellAnswer, CallError>);
/// The loss of the local leader task's epoch to another instance.
#[derive(Debug)]
pub(crate) struct EpochLost {
    /// The epoch that was lost.
    pub(crate) epoch: Epoch,
    /// The row of the instance that took over, if a peer has sent it.
    pub(crate) row: Option<LeaderRow>,
}
/// A successor's message that it has replaced a leader, which may be this instance.
pub(crate) struct Superseded(pub(crate) LeaderRow);
/// The local leader task of an epoch has stopped, and an order that extends the lease got no answer of
/// these workers; `None` if it could not tell.
pub(super) struct LeaderStopped(pub(super) Epoch, pub(super) Option<Vec<WorkerId>>);
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
        match received.0 {
            Some(row) => self.update_row(row, context),
            None => self.store_answered(),
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

impl Handler<LeaderRowRead> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, read: LeaderRowRead, context: &mut Context<Self>) {
        self.store_answered();
        self.claim_state.epoch_read(read.0.record.epoch);
        self.handle(LeaderRowReceived(Some(read.0)), context).await;
    }
}

impl Handler<StoreFailed> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, _failed: StoreFailed, _context: &mut Context<Self>) {
        self.store_answers = Some(None);
    }
}

impl Handler<Superseded> for ElectionTask {
    type Return = CellAnswer;

    async fn handle(&mut self, message: Superseded, context: &mut Context<Self>) -> CellAnswer {
        let replaced = message.0.record.epoch.saturating_sub(1);
        self.handle(LeaderRowReceived(Some(message.0)), context)
            .await;
        let stopped = self.stopped.as_ref();
        if stopped.is_some_and(|it| it.epoch == replaced && it.is_stopping) {
            // The successor asks again.
            return CellAnswer::NotLeader;
        }
        CellAnswer::Stopped {
            unanswered_extensions: self.left_by(replaced),
        }
    }
}

impl Handler<LeaderStopped> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: LeaderStopped, _context: &mut Context<Self>) {
        let LeaderStopped(epoch, unanswered_extensions) = message;
        self.stopped = Some(StoppedLeader {
            epoch,
            is_stopping: false,
            unanswered_extensions,
        });
    }
}

impl Handler<Tick> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self>) {
        if self.measure_lag() {
            // The leader's answers may have come while this process did not run.
            self.leader_heard_at = Instant::now();
        }
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
            let sent_at = SentAt::now();
            let answer = peers
                .call(address, SLICE, &heartbeat, HEARTBEAT_TIMEOUT)
                .await;
            let _ = task.send(HeartbeatAnswered(epoch, sent_at, answer)).await;
        });
    }
}

impl Handler<HeartbeatAnswered> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: HeartbeatAnswered, context: &mut Context<Self>) {
        self.heartbeat_in_flight = false;
        let HeartbeatAnswered(epoch, sent_at, answer) = message;
        if self.row.as_ref().map(|row| row.record.epoch) != Some(epoch) {
            return;
        }
        match answer {
            Ok(CellAnswer::HeartbeatAck {
                store_trouble_ms,
                others,
                strongest_millicores,
                epoch: leader_epoch,
                earlier_authority_ms,
                authority_ended,
            }) => {
                if leader_epoch == epoch {
                    let earlier = Duration::from_millis(earlier_authority_ms);
                    self.acknowledged = Some(LastAcknowledgement {
                        epoch,
                        sent_at,
                        earlier_until: Instant::now() + earlier,
                    });
                }
                self.other_instances = others;
                self.strongest_millicores = Some(strongest_millicores);
                if !authority_ended {
                    self.leader_heard_at = Instant::now();
                    let now = self.leader_heard_at;
                    self.publish(|view| view.leader_heard_at = Some(now));
                }
                let leader_outage = Duration::from_millis(store_trouble_ms);
                if is_outage_of_leader_alone(leader_outage, self.store_answered_for()) {
                    self.claim("the leader's store outage lasts too long", context);
                }
            }
            Ok(CellAnswer::Redirect { row, incarnation }) => {
                self.update_row(row, context);
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

impl Handler<EpochLost> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: EpochLost, context: &mut Context<Self>) {
        if let Some(row) = message.row {
            self.update_row(row, context);
        }
        let is_local = |(epoch, _): &(Epoch, _)| *epoch == message.epoch;
        if self.leading.as_ref().is_some_and(is_local) {
            self.step_down("epoch lost to another instance", context);
            // The new leader is not known until its row is read, so the timeout starts anew.
            self.leader_heard_at = Instant::now();
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
            let mut offered: Vec<SocketAddr> = Vec::new();
            // The view has the local leader task until another instance has claimed the epoch.
            while view.borrow().local.is_some() {
                // An instance that does not reach the store takes the offer and can't claim.
                let is_passed_over = |address: &&SocketAddr| {
                    let offers = offered.iter().filter(|it| it == address).count();
                    offers >= OFFERS_TO_A_SUCCESSOR
                };
                let except: Vec<SocketAddr> =
                    offered.iter().filter(is_passed_over).copied().collect();
                match local.send(FindSuccessor { except }).await {
                    Ok(Some(successor)) => {
                        offered.push(successor);
                        offer_epoch(&peers, successor, epoch, 0).await;
                    }
                    _ => {
                        info!("no successor for the epoch", kv: {
                            epoch = epoch, offers = offered.len()
                        });
                        offered.clear();
                    }
                }
                tokio::time::sleep(HANDOVER_OFFER_PERIOD).await;
            }
        });
    }
}
