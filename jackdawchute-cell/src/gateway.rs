//! Answers callers at any instance, by calls to the leader.

use std::time::{Duration, Instant};

use jackdawchute_peer::PeerClient;
use jackdawchute_scheduler::{JobGraph, JobOutcome, JobStatus};
use jackdawchute_tenants::{Access, Caller};
use jackdawchute_timer::boot_time;
use jackdawchute_types::{CallError, Epoch, JobId, QueueId};
use spdlog::{info, warn};
use tokio::sync::watch;

use crate::{
    configuration::{ConfirmedConfiguration, Denial},
    election::LeaderView,
    messages::{CellAnswer, CellCall, JobCall, SubmitJob, SLICE},
    peers::call_local_leader,
    routes::QueueRoute,
    settings::{
        outage_retry_after, DEADLINE_MARGIN, LEADER_CALL_TIMEOUT, LEADER_TIMEOUT,
        NO_LEADER_WAIT_MAX,
    },
    Metrics, Routes,
};

/// The pause between two attempts of a call to the leader.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// How long a call still waits for the answer of a leader that is known to be replaced.
const REPLACED_ANSWER_WAIT: Duration = Duration::from_millis(100);
/// The least remaining time with which a call is sent; several times the longest delay to a peer.
const CALL_TIME_MIN: Duration = Duration::from_millis(15);
/// The longest time since the leader's last answer at which the instance reports ready.
const READY_HEARTBEAT_AGE_MAX: Duration = LEADER_TIMEOUT;

/// The answer to a caller's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is accepted and saved.
    Accepted,
    /// The job is refused and will never run.
    Refused {
        /// After what time the caller may try again.
        retry_after: Duration,
    },
    /// Nothing was done, as no leader answers or nothing can be saved.
    Unavailable {
        /// After what time the caller may try again.
        retry_after: Duration,
    },
    /// The configuration no longer has the queue; nothing was done.
    NoQueue,
    /// The key is no tenant's any more; nothing was done.
    Unauthorized,
    /// Another tenant has a job with this id; nothing was done.
    OtherTenant,
    /// The status of the job.
    Status(JobStatus),
    /// The number of the queue's jobs that have not started.
    Pending(usize),
    /// The outcome is unknown; the same call may be repeated.
    Unknown,
}

impl Answer {
    /// Returns what a caller may be told if an earlier attempt of the call got no answer: that
    /// attempt may still reach the leader, after a later one was refused.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_cell::Answer;
    ///
    /// let refused = Answer::Refused { retry_after: Duration::from_secs(1) };
    /// assert_eq!(refused.after_unanswered_attempt(), Answer::Unknown);
    /// assert_eq!(Answer::Accepted.after_unanswered_attempt(), Answer::Accepted);
    /// ```
    pub fn after_unanswered_attempt(self) -> Self {
        match self {
            Self::Refused { .. }
            | Self::Unavailable { .. }
            | Self::NoQueue
            | Self::Unauthorized
            | Self::OtherTenant => Self::Unknown,
            Self::Accepted | Self::Status(_) | Self::Pending(_) | Self::Unknown => self,
        }
    }
}

/// Forwards callers' calls to the leader, in this process or at a peer.
#[derive(Clone, Debug)]
pub struct Gateway {
    pub(crate) view: watch::Receiver<LeaderView>,
    pub(crate) routes: watch::Receiver<Routes>,
    pub(crate) confirmed: ConfirmedConfiguration,
    pub(crate) peers: PeerClient,
    pub(crate) metrics: Metrics,
}

impl Gateway {
    /// Returns the configuration in use at this instance; version 0 before the first is known.
    pub fn routes(&self) -> watch::Ref<'_, Routes> {
        self.routes.borrow()
    }

    /// Returns whether the balancer should send callers to this instance.
    pub fn ready(&self) -> bool {
        let view = self.view.borrow();
        let is_recent = |at: Instant| at.elapsed() < READY_HEARTBEAT_AGE_MAX;
        !view.leaving
            && self.routes.borrow().version > 0
            && view.leader_heard_at.is_some_and(is_recent)
    }

    /// Returns whether the instance is shutting down.
    pub fn leaving(&self) -> bool {
        self.view.borrow().leaving
    }

    /// Decides whether a call to a queue may go on that presented a key, or none; `job` is the job
    /// that it concerns, for the log.
    ///
    /// A key that this instance does not know may be newer than its configuration, so it is denied
    /// only if the configuration was confirmed lately; otherwise the call is answered as
    /// unavailable.
    ///
    /// # Errors
    /// The answer to a call that may not go on.
    pub fn authorize(
        &self,
        route: &QueueRoute,
        presented: Option<&str>,
        job: Option<&JobId>,
    ) -> Result<Caller, Answer> {
        let (access, configuration) = {
            let routes = self.routes.borrow();
            (routes.access(route.public, presented), routes.version)
        };
        let denied = match access {
            Access::Granted(caller) => return Ok(caller),
            Access::Denied => self.confirmed.denial(boot_time()),
        };
        let (answer, outcome) = match denied {
            Denial::Final => (Answer::Unauthorized, "unauthorized"),
            Denial::Undecided { retry_after } => {
                (Answer::Unavailable { retry_after }, "unavailable")
            }
        };
        info!("call without a known key not served", kv: {
            job = job.map(JobId::as_str).unwrap_or_default(), queue = route.policy.queue.as_str(),
            key_presented = presented.is_some(), configuration = configuration, outcome = outcome
        });
        self.metrics.call_denied(outcome);
        Err(answer)
    }

    /// Submits a caller's job to a queue and waits up to `deadline` for its acceptance or refusal.
    pub async fn submit(
        &self,
        caller: Caller,
        job: JobId,
        graph: JobGraph,
        route: &QueueRoute,
        deadline: Duration,
    ) -> Answer {
        let call = CellCall::Submit(Box::new(SubmitJob {
            job: job.clone(),
            graph,
            caller: Some(caller),
            policy: route.policy.clone(),
            configuration: self.routes.borrow().version,
        }));
        let answer = self.call_leader("submit", call, deadline).await;
        info!("submission answered", kv: {
            job = job.as_str(), queue = route.policy.queue.as_str(), answer:? = answer
        });
        answer
    }

    /// Returns a job's status.
    pub async fn status(
        &self,
        caller: Caller,
        queue: &QueueId,
        job: JobId,
        deadline: Duration,
    ) -> Answer {
        let call = CellCall::Status(job_call(caller, queue, &job));
        match self.call_leader("status", call, deadline).await {
            Answer::Status(JobStatus::Undecided) => self.unavailable(),
            answer => answer,
        }
    }

    /// Cancels a job and returns its status from then on.
    pub async fn cancel(
        &self,
        caller: Caller,
        queue: &QueueId,
        job: JobId,
        deadline: Duration,
    ) -> Answer {
        let call = CellCall::Cancel(job_call(caller, queue, &job));
        let answer = self.call_leader("cancel", call, deadline).await;
        info!("cancellation answered", kv: { job = job.as_str(), answer:? = answer });
        match answer {
            Answer::Status(JobStatus::Undecided) => Answer::Unknown,
            Answer::Status(JobStatus::Queued | JobStatus::Running) => {
                Answer::Status(JobStatus::Ended(JobOutcome::Cancelled))
            }
            answer => answer,
        }
    }

    /// Returns how many jobs of a queue have not started.
    pub async fn pending(&self, caller: Caller, queue: QueueId, deadline: Duration) -> Answer {
        let caller = Some(caller);
        self.call_leader("pending", CellCall::Pending { queue, caller }, deadline)
            .await
    }

    /// Calls the leader, and repeats the call until it is answered or its time is over.
    async fn call_leader(&self, name: &'static str, call: CellCall, deadline: Duration) -> Answer {
        let started_at = Instant::now();
        let give_up_at = started_at + deadline.saturating_sub(DEADLINE_MARGIN);
        let mut outcome_unknown = false;
        let answer = loop {
            let remaining = give_up_at.saturating_duration_since(Instant::now());
            if remaining < CALL_TIME_MIN {
                // Too little time for an answer; a call that is not sent has no effect.
                break self.unavailable();
            }
            let answer = self.call_once(&call, remaining).await;
            match answer {
                Some(answer) if answer != Answer::Unknown => break answer,
                Some(_) => outcome_unknown = true,
                None => {}
            }
            let waited = started_at.elapsed();
            if Instant::now() + RETRY_PAUSE >= give_up_at {
                break self.unavailable();
            }
            if !outcome_unknown && waited > NO_LEADER_WAIT_MAX {
                break self.unavailable();
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        let answer = match outcome_unknown {
            true => answer.after_unanswered_attempt(),
            false => answer,
        };
        let outcome = match &answer {
            Answer::Refused { .. } => "refused",
            Answer::Unavailable { .. } => "unavailable",
            Answer::Unauthorized => "unauthorized",
            Answer::OtherTenant => "other tenant",
            Answer::Unknown => "unknown",
            _ => "answered",
        };
        self.metrics.call(name, outcome, started_at.elapsed());
        answer
    }

    /// Returns the answer while no leader is reached.
    fn unavailable(&self) -> Answer {
        let leader_heard_at = self.view.borrow().leader_heard_at;
        let outage = leader_heard_at.map_or(Duration::ZERO, |at| at.elapsed());
        Answer::Unavailable {
            retry_after: outage_retry_after(outage),
        }
    }

    /// Waits until a leader is known to be replaced, and a little longer: one that still runs answers
    /// what it was asked when it learns of it.
    async fn leader_replaced(&self, epoch: Epoch) {
        let mut view = self.view.clone();
        let is_later = |view: &LeaderView| {
            let row = view.row.as_ref();
            row.is_some_and(|row| row.record.epoch > epoch)
        };
        if view.wait_for(is_later).await.is_err() {
            // The instance ends; the call has its time-out.
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(REPLACED_ANSWER_WAIT).await;
    }

    /// Calls the leader once; `None` if the call is known to have had no effect.
    async fn call_once(&self, call: &CellCall, remaining: Duration) -> Option<Answer> {
        let (local, row) = {
            let view = self.view.borrow();
            (view.local.clone(), view.row.clone())
        };
        let timeout = remaining.min(LEADER_CALL_TIMEOUT);
        let answer = match (local, row) {
            (Some(leader), _) => {
                let answer = call_local_leader(&leader, call.clone());
                tokio::time::timeout(remaining, answer)
                    .await
                    .unwrap_or(CellAnswer::Unknown)
            }
            (None, Some(row)) => {
                let answer = self.peers.call(row.record.address, SLICE, call, timeout);
                let replaced = self.leader_replaced(row.record.epoch);
                let answer = tokio::select! {
                    answer = answer => answer,
                    () = replaced => {
                        info!("call given up: its leader was replaced", kv: {
                            leader: = row.record.address, epoch = row.record.epoch
                        });
                        return Some(Answer::Unknown);
                    }
                };
                match answer {
                    Ok(answer) => answer,
                    Err(CallError::Unknown(slice, peer, cause)) => {
                        warn!("outcome of a call to the leader is unknown", kv: {
                            slice = slice, peer = peer.as_str(), cause = cause.as_str()
                        });
                        CellAnswer::Unknown
                    }
                    Err(_) => CellAnswer::NotLeader,
                }
            }
            (None, None) => CellAnswer::NotLeader,
        };
        match answer {
            CellAnswer::Accepted => Some(Answer::Accepted),
            CellAnswer::Refused { retry_after_ms } => Some(Answer::Refused {
                retry_after: Duration::from_millis(retry_after_ms),
            }),
            CellAnswer::Unavailable { retry_after_ms } => Some(Answer::Unavailable {
                retry_after: Duration::from_millis(retry_after_ms),
            }),
            CellAnswer::NoQueue => Some(Answer::NoQueue),
            CellAnswer::Unauthorized => Some(Answer::Unauthorized),
            CellAnswer::OtherTenant => Some(Answer::OtherTenant),
            CellAnswer::Status { status } => Some(Answer::Status(status)),
            CellAnswer::Pending { jobs } => Some(Answer::Pending(jobs)),
            CellAnswer::Unknown => Some(Answer::Unknown),
            CellAnswer::NotLeader
            | CellAnswer::Redirect { .. }
            | CellAnswer::HeartbeatAck { .. }
            | CellAnswer::Advice { .. }
            | CellAnswer::AdvisorBusy { .. }
            | CellAnswer::Configuration { .. }
            | CellAnswer::Promised { .. }
            | CellAnswer::Acknowledged
            | CellAnswer::Stopped { .. } => None,
        }
    }
}

fn job_call(caller: Caller, queue: &QueueId, job: &JobId) -> JobCall {
    JobCall {
        job: job.clone(),
        queue: queue.clone(),
        caller: Some(caller),
    }
}
