//! What the scheduling task is told and asked.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::{
    AdviceRequest, CommitBatch, JobStatus, RenewAnswer, RenewOrder, StartAnswer, StartOrder,
    StopOrder, Submission,
};
use jackdawchute_timer::Tick;
use jackdawchute_types::{whole_ms, JobId, QueueId};
use spdlog::{info, warn};
use tokio::sync::oneshot;
use xtra::prelude::*;

use super::{answer_all, peers::PeerState, LeaderTask};
use crate::{
    advisor::AdviceOutcome,
    commit::{Head, NotAppended},
    messages::{CellAnswer, SubmitJob},
    recover::unix_now,
    settings::{
        outage_retry_after, ACCEPTANCE_WAIT_MAX, COMMIT_OUTAGE_MAX, COMMIT_PAUSE, LOAD_LOG_PERIOD,
    },
    WorkersUpdate,
};

/// It is time for a round of placement that was too early when it was wanted.
pub(super) struct RoundDue;
/// An answered [`Effect::Start`].
pub(super) struct StartAnswered(pub(super) StartOrder, pub(super) StartAnswer);
/// An answered [`Effect::Stop`].
pub(super) struct StopAnswered(pub(super) StopOrder, pub(super) Option<Duration>);
/// An answered [`Effect::Renew`].
pub(super) struct RenewAnswered(
    pub(super) RenewOrder,
    pub(super) Instant,
    pub(super) Option<RenewAnswer>,
);
/// An answered [`Effect::Advise`].
pub(super) struct AdviceAnswered {
    pub(super) request: AdviceRequest,
    /// The instance whose advisor was asked.
    pub(super) through: SocketAddr,
    pub(super) advised: AdviceOutcome,
}
/// A commit whose fate is known.
pub(super) struct Appended(pub(super) CommitBatch, pub(super) Result<Head, NotAppended>);
/// News of the listed workers.
pub(super) struct WorkersNews(pub(super) WorkersUpdate);
/// A peer is there.
pub(crate) struct PeerHeartbeat {
    pub(crate) address: SocketAddr,
    pub(crate) state: PeerState,
}
/// A caller's job.
pub(crate) struct Submit(pub(crate) SubmitJob, pub(crate) oneshot::Sender<CellAnswer>);
/// A caller's wish to cancel a job.
pub(crate) struct Cancel(pub(crate) JobId, pub(crate) oneshot::Sender<CellAnswer>);
/// A caller's question about a job.
pub(crate) struct AskStatus(pub(crate) JobId, pub(crate) oneshot::Sender<CellAnswer>);
/// Whether this instance still held the epoch when it was asked; `None` if the store did not tell.
pub(super) struct EpochConfirmed(pub(super) Option<bool>);
/// A caller's question about a queue.
pub(crate) struct AskPending(pub(crate) QueueId);
/// Asks for an instance that can take over.
pub(crate) struct FindSuccessor;

impl Handler<Tick> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self>) {
        let now = Instant::now();
        self.note_tick(now);
        self.offer_to_better(now);
        self.ask_peers_in_trouble(now);
        self.scheduler.tick(now, unix_now());
        self.refuse_unsaved(now);
        self.metrics.set_jobs(self.scheduler.jobs_count());
        if now.saturating_duration_since(self.load_logged_at) >= LOAD_LOG_PERIOD {
            self.load_logged_at = now;
            self.scheduler.log_load(now);
            info!("scheduling lag", kv: { lag_ms = self.lag.as_millis() as u64 });
        }
        self.pump(context);
    }
}

impl Handler<RoundDue> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, _due: RoundDue, context: &mut Context<Self>) {
        self.round_awaited = false;
        self.pump(context);
    }
}

impl Handler<StartAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: StartAnswered, context: &mut Context<Self>) {
        let StartAnswered(order, answer) = message;
        let now = Instant::now();
        self.scheduler
            .start_answered(&order.worker, &order.task, order.run, answer, now);
        self.pump(context);
    }
}

impl Handler<StopAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: StopAnswered, context: &mut Context<Self>) {
        let StopAnswered(order, clock) = message;
        let now = Instant::now();
        self.scheduler
            .stop_answered(&order.worker, &order.task, order.run, clock, now);
        self.pump(context);
    }
}

impl Handler<RenewAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: RenewAnswered, context: &mut Context<Self>) {
        let RenewAnswered(order, asked_at, answer) = message;
        let now = Instant::now();
        match answer {
            Some(answer) => self.scheduler.renew_answered(&order, asked_at, answer, now),
            None => self.scheduler.renew_failed(&order.worker, now),
        }
        self.pump(context);
    }
}

impl Handler<AdviceAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: AdviceAnswered, context: &mut Context<Self>) {
        let AdviceAnswered {
            request,
            through,
            advised,
        } = message;
        let now = Instant::now();
        let answer = match advised {
            AdviceOutcome::Answered(answer) => Some(answer),
            AdviceOutcome::Busy(busy) => {
                self.note_busy_advisor(through, busy, now);
                None
            }
            AdviceOutcome::Unanswered => None,
        };
        self.scheduler.advice_answered(&request, answer, now);
        self.pump(context);
    }
}

impl Handler<Appended> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: Appended, context: &mut Context<Self>) {
        let Appended(batch, appended) = message;
        let now = Instant::now();
        if let Some(asked_at) = self.commit_asked_at.take() {
            self.commit_took = now.saturating_duration_since(asked_at);
        }
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
                self.scheduler.issue_due_renewals(now);
                self.pump(context);
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
        self.scheduler.issue_due_renewals(now);
        self.pump(context);
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
        self.note_peer(heartbeat.address, heartbeat.state, now);
        CellAnswer::HeartbeatAck {
            store_trouble_ms: whole_ms(self.store_trouble(now)),
            others: self.some_others(heartbeat.address, now),
            strongest_millicores: self.strongest_millicores(now),
        }
    }
}

impl Handler<Submit> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: Submit, context: &mut Context<Self>) {
        let Submit(submit, reply) = message;
        let now = Instant::now();
        if self.fenced {
            let _ = reply.send(CellAnswer::NotLeader);
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
        if !known && self.store_trouble(now) >= COMMIT_OUTAGE_MAX {
            let _ = reply.send(self.unavailable(now));
            return;
        }
        let expected = self.expected_acceptance(now);
        if !known && expected > ACCEPTANCE_WAIT_MAX {
            info!("job refused", kv: {
                job = submit.job.as_str(), reason = "its acceptance could not be saved in time",
                expected_wait_ms = whole_ms(expected)
            });
            let retry_after_ms = whole_ms(outage_retry_after(expected));
            let _ = reply.send(CellAnswer::Unavailable { retry_after_ms });
            return;
        }
        let submission = self
            .scheduler
            .submit(&submit.job, submit.graph, submit.policy, now);
        let answer = match submission {
            Submission::Pending => {
                self.submitters.entry(submit.job).or_default().push(reply);
                self.pump(context);
                return;
            }
            Submission::Accepted => CellAnswer::Accepted,
            Submission::Refused { retry_after } => CellAnswer::Refused {
                retry_after_ms: whole_ms(retry_after),
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
            let _ = reply.send(CellAnswer::NotLeader);
            return;
        }
        let status = self.scheduler.cancel(&job);
        match status {
            JobStatus::Queued | JobStatus::Running => {
                self.cancellers.entry(job).or_default().push(reply);
                self.pump(context);
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
            let _ = reply.send(CellAnswer::NotLeader);
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
            Some(false) => CellAnswer::NotLeader,
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
            return CellAnswer::NotLeader;
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
