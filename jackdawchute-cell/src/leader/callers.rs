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
pub(crate) struct QueryPending(pub(crate) QueueId, pub(crate) Option<Caller>);

/// Whether a call may go on by the leader's configuration.
enum Recheck {
    Granted(Caller),
    /// The configuration no longer has the queue.
    NoQueue,
    /// The key is no tenant's any more, or the queue has become one that needs a key.
    Unauthorized,
}

impl LeaderTask {
    /// Decides again whether a call to a queue may go on, if the leader's configuration is newer
    /// than that of the instance that forwarded it.
    fn recheck(&self, caller: &Caller, queue: &QueueId) -> Recheck {
        let routes = self.routes.borrow();
        if routes.version <= caller.configuration {
            return Recheck::Granted(caller.clone());
        }
        let route = routes.queue(queue);
        let public = route.map_or(caller.public, |route| route.public);
        let key = caller.key.as_ref();
        match routes.access(public, key.map(|key| key.text())) {
            Access::Denied => Recheck::Unauthorized,
            Access::Granted(_) if route.is_none() => Recheck::NoQueue,
            Access::Granted(caller) => Recheck::Granted(caller),
        }
    }

    /// Does the same for a submission; `None` for one of an instance of an earlier version, which
    /// has checked no key, to a queue that needs one.
    fn recheck_submission(&self, submit: &SubmitJob) -> Option<Recheck> {
        let queue = &submit.policy.queue;
        if let Some(caller) = &submit.caller {
            return Some(self.recheck(caller, queue));
        }
        let routes = self.routes.borrow();
        let route = routes.queue(queue);
        if route.is_none() && routes.version > submit.configuration {
            return Some(Recheck::NoQueue);
        }
        match routes.access(route.is_some_and(|route| route.public), None) {
            Access::Granted(caller) => Some(Recheck::Granted(caller)),
            Access::Denied => None,
        }
    }

    /// Returns whether a caller may learn of a job and cancel it.
    fn may_see(&self, caller: &Caller, queue: &QueueId, job: &JobId) -> bool {
        let tenants_configured = self.routes.borrow().tenants.is_some();
        let in_public_queue = caller.public && self.scheduler.queue_of(job) == Some(queue);
        in_public_queue || caller.may_see(self.scheduler.tenant_of(job), tenants_configured)
    }

    /// Returns the job of a call if its caller may learn of it, and `None` if it is as unknown to
    /// the caller as one that does not exist.
    ///
    /// # Errors
    /// The answer to a call that may not go on.
    fn job_seen(&self, call: JobCall) -> Result<Option<JobId>, CellAnswer> {
        if self.fenced {
            return Err(CellAnswer::NotLeader);
        }
        let Some(caller) = &call.caller else {
            // An instance of an earlier version cannot tell whose the call is.
            let owned = self.scheduler.tenant_of(&call.job).is_some();
            return match owned && self.routes.borrow().tenants.is_some() {
                true => Err(self.unavailable(Instant::now())),
                false => Ok(Some(call.job)),
            };
        };
        let caller = match self.recheck(caller, &call.queue) {
            Recheck::Granted(caller) => caller,
            // Jobs outlive their queue.
            Recheck::NoQueue => caller.clone(),
            Recheck::Unauthorized => {
                info!("call refused: its key was withdrawn", kv: {
                    job = call.job.as_str(), queue = call.queue.as_str(),
                    configuration = self.routes.borrow().version
                });
                return Err(CellAnswer::Unauthorized);
            }
        };
        if self.may_see(&caller, &call.queue, &call.job) {
            return Ok(Some(call.job));
        }
        info!("job not shown: it belongs to another tenant", kv: {
            job = call.job.as_str(), tenant = caller.tenant.as_deref().unwrap_or_default()
        });
        Ok(None)
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
        let caller = match self.recheck_submission(&submit) {
            Some(Recheck::Granted(caller)) => caller,
            // What was accepted before is still accepted.
            Some(Recheck::NoQueue) if known => submit.caller.clone().unwrap_or_default(),
            Some(Recheck::NoQueue) => {
                let _ = reply.send(CellAnswer::NoQueue);
                return;
            }
            Some(Recheck::Unauthorized) => {
                info!("job refused", kv: {
                    job = submit.job.as_str(), queue = queue.as_str(),
                    reason = "its key was withdrawn, or its queue needs one now",
                    configuration = self.routes.borrow().version
                });
                let _ = reply.send(CellAnswer::Unauthorized);
                return;
            }
            None => {
                info!("job refused", kv: {
                    job = submit.job.as_str(), queue = queue.as_str(),
                    reason = "the forwarding instance checks no keys"
                });
                let _ = reply.send(self.unavailable(now));
                return;
            }
        };
        if known && !self.may_see(&caller, queue, &submit.job) {
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
        let job = match self.job_seen(call) {
            Ok(Some(job)) => job,
            Ok(None) => {
                self.answer_status(JobStatus::Unknown, reply, context);
                return;
            }
            Err(answer) => {
                let _ = reply.send(answer);
                return;
            }
        };
        if !self.may_act() {
            // A later leader may have ended the job, or may never have known it.
            let _ = reply.send(CellAnswer::Unknown);
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
        let status = match self.job_seen(call) {
            Ok(Some(job)) => self.scheduler.status(&job),
            Ok(None) => JobStatus::Unknown,
            Err(answer) => {
                let _ = reply.send(answer);
                return;
            }
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
        let QueryPending(queue, caller) = query;
        let recheck = caller.map(|caller| self.recheck(&caller, &queue));
        match recheck {
            None | Some(Recheck::Granted(_)) => {}
            Some(Recheck::NoQueue) => return CellAnswer::NoQueue,
            Some(Recheck::Unauthorized) => return CellAnswer::Unauthorized,
        }
        if !self.may_act() {
            return self.unavailable(Instant::now());
        }
        CellAnswer::Pending {
            jobs: self.scheduler.pending_jobs(&queue),
        }
    }
}
