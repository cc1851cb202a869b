//! The messages that the leader task handles.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::{
    AdviceRequest, JobStatus, RenewAnswer, RenewOrder, StartAnswer, StartOrder, StopOrder,
};
use jackdawchute_timer::Tick;
use jackdawchute_types::{whole_ms, AdvisorId, IncarnationId, WorkerId};
use spdlog::{info, warn};
use xtra::prelude::*;

use super::{answer_all, peers::PeerState, AdviceCallId, LeaderTask};
use crate::{
    advisor::AdviceOutcome,
    calls::SentAt,
    commit::{Appended, NotAppended},
    committer::CommitFinished,
    messages::{AcknowledgedBy, CellAnswer},
    recover::unix_now,
    settings::{COMMIT_PAUSE, LOAD_LOG_PERIOD, TENANTS_NAMED_MAX},
    Error, Result, WorkersUpdate,
};

/// The round period has passed, and a scheduling round that was needed during it is due.
pub(super) struct RoundDue;
/// A message that was sent at this time with the ordinary priority.
pub(super) struct TurnMeasured(pub(super) Instant);
/// An order to start a run, when it was sent, and its answer.
pub(super) struct StartAnswered(
    pub(super) StartOrder,
    pub(super) Instant,
    pub(super) StartAnswer,
);
/// An order to stop a run, with the worker's clock if it was confirmed.
pub(super) struct StopAnswered(pub(super) StopOrder, pub(super) Result<Duration>);
/// A lease renewal, when it was sent, and its answer.
pub(super) struct RenewAnswered(
    pub(super) RenewOrder,
    pub(super) Instant,
    pub(super) Result<RenewAnswer>,
);
/// An advice request with its outcome.
pub(super) struct AdviceAnswered {
    pub(super) call: AdviceCallId,
    pub(super) request: AdviceRequest,
    /// The instance whose advisor was called; this one's own address for the local advisor.
    pub(super) advisor: AdvisorId,
    pub(super) advice: AdviceOutcome,
}
/// The list of workers, or its changes.
pub(super) struct WorkersUpdated(pub(super) WorkersUpdate);
/// A heartbeat of a peer.
pub(crate) struct PeerHeartbeat {
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: IncarnationId,
    pub(crate) withdrawn: bool,
    pub(crate) acknowledged: Option<AcknowledgedBy>,
    pub(crate) state: PeerState,
}
/// When the head row was read, and whether this instance still held the epoch; `None` if the row
/// could not be read or decoded.
pub(super) struct EpochChecked(pub(super) SentAt, pub(super) Option<bool>);
/// Another instance holds the epoch, so that the leader task stops and names the workers to which an
/// order that extends the lease got no answer.
pub(crate) struct Fence;
/// A query for the instance to which a leaving leader should offer its epoch, apart from those that had
/// the offer and have not taken over.
pub(crate) struct FindSuccessor {
    pub(crate) except: Vec<SocketAddr>,
}

impl Handler<Tick> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self>) {
        let now = Instant::now();
        self.record_tick(now);
        self.offer_epoch_if_better(now);
        self.confirm_epoch(context);
        if self.routes.has_changed().unwrap_or(false) {
            self.use_configured_services(now);
        }
        self.give_up_late_advice(now);
        self.scheduler.tick(now, unix_now());
        self.refuse_unsaved(now);
        self.cancellers.answer(&self.scheduler, now);
        self.metrics.set_jobs(self.scheduler.jobs_count());
        if now.saturating_duration_since(self.load_logged_at) >= LOAD_LOG_PERIOD {
            self.load_logged_at = now;
            self.scheduler.log_load(now);
            self.log_advice(now);
            let tenants = self.scheduler.tenant_loads(TENANTS_NAMED_MAX);
            self.metrics.set_tenants(&tenants);
            self.work.log(self.lag, self.scheduler.unsaved_count());
        }
        self.measure_turn(context);
        self.run_due_work(context);
    }
}

impl Handler<RoundDue> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, _due: RoundDue, context: &mut Context<Self>) {
        self.round_scheduled = false;
        self.run_due_work(context);
    }
}

impl Handler<TurnMeasured> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: TurnMeasured, _context: &mut Context<Self>) {
        self.work.record_turn(message.0.elapsed());
    }
}

impl Handler<StartAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: StartAnswered, context: &mut Context<Self>) {
        let StartAnswered(order, sent_at, answer) = message;
        let now = Instant::now();
        let took = now.saturating_duration_since(sent_at);
        self.work.record_start(&answer, took, &self.metrics);
        self.scheduler
            .start_answered(&order.worker, &order.task, order.run, answer, now);
        self.run_due_work(context);
    }
}

impl Handler<StopAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: StopAnswered, context: &mut Context<Self>) {
        let StopAnswered(order, answer) = message;
        let now = Instant::now();
        if matches!(answer, Err(Error::Fenced(..))) {
            self.scheduler.order_fenced(&order.worker, order.token);
        }
        let clock = answer.ok();
        self.scheduler
            .stop_answered(&order.worker, &order.task, order.run, clock, now);
        self.run_due_work(context);
    }
}

impl Handler<RenewAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: RenewAnswered, context: &mut Context<Self>) {
        let RenewAnswered(order, sent_at, answer) = message;
        let now = Instant::now();
        let took = now.saturating_duration_since(sent_at + order.wait);
        match answer {
            Ok(answer) => {
                let ends = self.scheduler.renew_answered(&order, sent_at, answer, now);
                self.work.record_renewal(ends, took, &self.metrics);
            }
            Err(error) => {
                let outcome = match error {
                    Error::Fenced(..) => "fenced",
                    _ => "failed",
                };
                self.metrics.call("renew", outcome, took);
                if outcome == "fenced" {
                    info!("worker refuses the fencing token", kv: {
                        worker = order.worker.as_str(), token = order.token,
                        epoch = self.head.epoch
                    });
                    self.scheduler.order_fenced(&order.worker, order.token);
                }
                if matches!(error, Error::Unknown(..)) {
                    self.scheduler.extension_unanswered(&order, sent_at);
                }
                self.scheduler.renew_failed(&order, sent_at, now);
            }
        }
        self.run_due_work(context);
    }
}

impl Handler<AdviceAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: AdviceAnswered, context: &mut Context<Self>) {
        self.advice_answered(message, Instant::now());
        self.run_due_work(context);
    }
}

impl Handler<CommitFinished> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: CommitFinished, context: &mut Context<Self>) {
        let CommitFinished(batch, result) = message;
        let now = Instant::now();
        if let Some(started_at) = self.commit_started_at.take() {
            self.last_commit_duration = now.saturating_duration_since(started_at);
        }
        match result {
            Ok(Appended {
                head,
                sent_at,
                store_took,
            }) => {
                self.head = head;
                self.epoch_confirmed(sent_at);
                let rows = batch.changes.len();
                self.work
                    .record_commit(rows, self.last_commit_duration, store_took);
                self.scheduler.committed(&batch, now);
                for job in batch.accepted() {
                    answer_all(self.submitters.remove(job), &CellAnswer::Accepted);
                }
                self.cancellers.answer(&self.scheduler, now);
                self.run_due_work(context);
            }
            Err(NotAppended::Unavailable) => {
                for job in self.scheduler.not_committed(&batch) {
                    info!("job refused", kv: {
                        job = job.as_str(), reason = "its acceptance could not be saved"
                    });
                    let answer = self.unavailable(now);
                    answer_all(self.submitters.remove(&job), &answer);
                }
                self.next_commit_at = now + COMMIT_PAUSE;
            }
            Err(NotAppended::Rejected) => {
                if let Some(job) = self.scheduler.refused_for_good(&batch) {
                    info!("job refused", kv: {
                        job = job.as_str(), reason = "the store refuses its row"
                    });
                    let answer = self.unavailable(now);
                    answer_all(self.submitters.remove(&job), &answer);
                }
                self.next_commit_at = now + COMMIT_PAUSE;
            }
            Err(NotAppended::Fenced) => {
                warn!("epoch lost to another instance", kv: { epoch = self.head.epoch });
                self.lose_epoch();
            }
        }
    }
}

impl Handler<WorkersUpdated> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: WorkersUpdated, context: &mut Context<Self>) {
        let now = Instant::now();
        match message.0 {
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
        self.scheduler.issue_due_renewals(now);
        self.run_due_work(context);
    }
}

impl Handler<PeerHeartbeat> for LeaderTask {
    type Return = CellAnswer;

    async fn handle(
        &mut self,
        heartbeat: PeerHeartbeat,
        _context: &mut Context<Self>,
    ) -> CellAnswer {
        if self.fenced {
            return CellAnswer::NotLeader;
        }
        let now = Instant::now();
        self.record_heartbeat(heartbeat.address, heartbeat.state, now);
        self.record_member(&heartbeat, now);
        CellAnswer::HeartbeatAck {
            store_trouble_ms: whole_ms(self.store_outage(now)),
            others: self.other_peers(heartbeat.address, now),
            strongest_millicores: self.strongest_millicores(now),
            epoch: self.head.epoch,
            earlier_authority_ms: whole_ms(self.epoch_authority.earlier_left(now)),
            authority_ended: !self.may_act(),
        }
    }
}

impl Handler<EpochChecked> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, checked: EpochChecked, context: &mut Context<Self>) {
        let EpochChecked(sent_at, holds_epoch) = checked;
        let answer = match holds_epoch {
            Some(true) => CellAnswer::Status {
                status: JobStatus::Unknown,
            },
            Some(false) => CellAnswer::NotLeader,
            None => self.unavailable(Instant::now()),
        };
        answer_all(
            Some(std::mem::take(&mut self.current_check_replies)),
            &answer,
        );
        self.epoch_read(sent_at, holds_epoch);
        self.check_epoch(context);
    }
}

impl Handler<Fence> for LeaderTask {
    type Return = Vec<WorkerId>;

    async fn handle(&mut self, _fence: Fence, _context: &mut Context<Self>) -> Self::Return {
        self.fence();
        self.scheduler.unanswered_extensions()
    }
}

impl Handler<FindSuccessor> for LeaderTask {
    type Return = Option<SocketAddr>;

    async fn handle(&mut self, query: FindSuccessor, _context: &mut Context<Self>) -> Self::Return {
        self.successor(&query.except, Instant::now())
    }
}
