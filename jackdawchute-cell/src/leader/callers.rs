//! Answers the calls of callers, which instances forward to the leader.

use std::time::Instant;

use jackdawchute_scheduler::{JobStatus, Submission};
use jackdawchute_tenants::{Access, Caller};
use jackdawchute_types::{whole_ms, JobId, QueueId};
use spdlog::info;
use tokio::sync::oneshot;
use xtra::prelude::*;

use super::LeaderTask;
use crate::{
    messages::{CellAnswer, JobCall, SubmitJob},
    settings::{outage_retry_after, ACCEPTANCE_WAIT_MAX, COMMIT_OUTAGE_MAX, SHED_RETRY_AFTER},
};

/// A caller's submission of a job.
pub(crate) struct Submit(pub(crate) SubmitJob, pub(crate) oneshot::Sender<CellAnswer>);
/// A caller's request to cancel a job.
pub(crate) struct Cancel(pub(crate) JobCall, pub(crate) oneshot::Sender<CellAnswer>);
/// A caller's query for a job's status.
pub(crate) struct QueryStatus(pub(crate) JobCall, pub(crate) oneshot::Sender<CellAnswer>);
/// A caller's query for the number of a queue's jobs that have not started.
pub(crate) struct QueryPending(pub(crate) QueueId);

/// Whether a call may go on by the leader's configuration.
enum Recheck {
    Granted(Caller),
    /// The configuration no longer has the queue.
    NoQueue,
    /// The key is no tenant's any more, or the queue has become one that needs a key.
    Unauthorized,
}

impl LeaderTask {
    /// Decides again whether a call may go on, if the leader's configuration is newer than that of
    /// the instance that forwarded it.
    fn recheck(&self, caller: Caller, queue: Option<&QueueId>) -> Recheck {
        let routes = self.routes.borrow();
        if routes.version <= caller.configuration {
            return Recheck::Granted(caller);
        }
        let route = queue.map(|queue| routes.queue(queue));
        let public = match route {
            Some(None) => return Recheck::NoQueue,
            Some(Some(route)) => route.public,
            // The queue of a known job may be gone; only a key that was needed is checked again.
            None => caller.key.is_none(),
        };
        let key = caller.key.as_ref();
        match routes.access(public, key.map(|key| key.text())) {
            Access::Granted(caller) => Recheck::Granted(caller),
            Access::Denied => Recheck::Unauthorized,
        }
    }

    /// Returns whether a caller may learn of a job and cancel it.
    fn may_see(&self, caller: &Caller, job: &JobId) -> bool {
        let tenants_configured = self.routes.borrow().tenants.is_some();
        caller.may_see(self.scheduler.tenant_of(job), tenants_configured)
    }

    /// Answers a call that is known to have had no effect; returns the caller of any other.
    fn granted(
        &self,
        call: &JobCall,
        reply: oneshot::Sender<CellAnswer>,
    ) -> Option<(Caller, oneshot::Sender<CellAnswer>)> {
        if self.fenced {
            let _ = reply.send(CellAnswer::NotLeader);
            return None;
        }
        match self.recheck(call.caller.clone(), None) {
            Recheck::Granted(caller) => Some((caller, reply)),
            Recheck::NoQueue | Recheck::Unauthorized => {
                let _ = reply.send(CellAnswer::Unauthorized);
                None
            }
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
        let known = self.scheduler.status(&submit.job) != JobStatus::Unknown;
        let queue = &submit.policy.queue;
        let caller = match self.recheck(submit.caller.clone(), Some(queue)) {
            Recheck::Granted(caller) => caller,
            // What was accepted before is still accepted.
            Recheck::NoQueue if known => submit.caller.clone(),
            Recheck::NoQueue => {
                let _ = reply.send(CellAnswer::NoQueue);
                return;
            }
            Recheck::Unauthorized => {
                info!("job refused", kv: {
                    job = submit.job.as_str(), queue = queue.as_str(),
                    reason = "its key was withdrawn", configuration = self.routes.borrow().version
                });
                let _ = reply.send(CellAnswer::Unauthorized);
                return;
            }
        };
        if known && !self.may_see(&caller, &submit.job) {
            info!("job refused", kv: {
                job = submit.job.as_str(), reason = "another tenant has a job with this id"
            });
            let _ = reply.send(CellAnswer::OtherTenant);
            return;
        }
        if !known && !self.may_act() {
            // A later leader may have accepted the job, so that a refusal would not be true.
            let _ = reply.send(CellAnswer::Unknown);
            return;
        }
        if !known && self.store_outage(now) >= COMMIT_OUTAGE_MAX {
            let _ = reply.send(self.unavailable(now));
            return;
        }
        let expected_wait = self.expected_acceptance_wait(now);
        if !known && expected_wait > ACCEPTANCE_WAIT_MAX {
            info!("job refused", kv: {
                job = submit.job.as_str(), reason = "its acceptance could not be saved in time",
                expected_wait_ms = whole_ms(expected_wait)
            });
            let retry_after_ms = whole_ms(outage_retry_after(expected_wait));
            let _ = reply.send(CellAnswer::Unavailable { retry_after_ms });
            return;
        }
        if !known && self.is_too_busy_for(&submit.policy) {
            info!("job refused", kv: {
                job = submit.job.as_str(), queue = submit.policy.queue.as_str(),
                reason = "the leader is overloaded", lag_ms = whole_ms(self.lag)
            });
            let retry_after_ms = whole_ms(SHED_RETRY_AFTER);
            let _ = reply.send(CellAnswer::Refused { retry_after_ms });
            return;
        }
        let submission =
            self.scheduler
                .submit_for(caller.tenant, &submit.job, submit.graph, submit.policy, now);
        let answer = match submission {
            Submission::Pending => {
                self.submitters.entry(submit.job).or_default().push(reply);
                self.run_due_work(context);
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
        let Cancel(call, reply) = message;
        let Some((caller, reply)) = self.granted(&call, reply) else {
            return;
        };
        let job = call.job;
        if !self.may_act() {
            // A later leader may have ended the job, or may never have known it.
            let _ = reply.send(CellAnswer::Unknown);
            return;
        }
        if !self.may_see(&caller, &job) {
            info!("job not cancelled: it belongs to another tenant", kv: { job = job.as_str() });
            self.answer_status(JobStatus::Unknown, reply, context);
            return;
        }
        let status = self.scheduler.cancel(&job);
        match status {
            JobStatus::Queued | JobStatus::Running | JobStatus::Ended(_) => {
                let now = Instant::now();
                self.cancellers.add(job, reply, now);
                self.cancellers.answer(&self.scheduler, now);
                self.run_due_work(context);
            }
            status => self.answer_status(status, reply, context),
        }
    }
}

impl Handler<QueryStatus> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, query: QueryStatus, context: &mut Context<Self>) {
        let QueryStatus(call, reply) = query;
        let Some((caller, reply)) = self.granted(&call, reply) else {
            return;
        };
        // A job of another tenant is as unknown as one that does not exist.
        let status = match self.may_see(&caller, &call.job) {
            true => self.scheduler.status(&call.job),
            false => JobStatus::Unknown,
        };
        self.answer_status(status, reply, context);
    }
}

impl Handler<QueryPending> for LeaderTask {
    type Return = CellAnswer;

    async fn handle(&mut self, query: QueryPending, _context: &mut Context<Self>) -> CellAnswer {
        if self.fenced {
            return CellAnswer::NotLeader;
        }
        if !self.may_act() {
            return self.unavailable(Instant::now());
        }
        CellAnswer::Pending {
            jobs: self.scheduler.pending_jobs(&query.0),
        }
    }
}
