//! Answers callers, whichever instance they reach.

use std::time::{Duration, Instant};

use jackdawchute_peer::PeerClient;
use jackdawchute_scheduler::{JobGraph, JobOutcome, JobStatus};
use jackdawchute_types::{CallError, JobId, QueueId};
use spdlog::{info, warn};
use tokio::sync::watch;

use crate::{
    election::LeaderView,
    messages::{CellAnswer, CellCall, SubmitJob, SLICE},
    peers::ask_leader,
    routes::QueueRoute,
    settings::{
        outage_retry_after, DEADLINE_MARGIN, LEADER_TIMEOUT, NO_LEADER_WAIT_MAX, PASS_ON_TIMEOUT,
    },
    Metrics, Routes,
};

/// The pause between two tries to find the scheduling instance.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// The least time in which an answer of a peer can come; several times the longest way to it.
const CALL_TIME_MIN: Duration = Duration::from_millis(15);
/// How long past a silent leader an instance still takes callers' calls.
const READY_SILENCE: Duration = LEADER_TIMEOUT;

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is accepted and saved.
    Accepted,
    /// It was not done and never will be.
    Refused {
        /// When it is worth coming back.
        retry_after: Duration,
    },
    /// It could not be done or asked now.
    Unavailable {
        /// When it is worth coming back.
        retry_after: Duration,
    },
    /// There is no such queue.
    NoQueue,
    /// A job's status.
    Status(JobStatus),
    /// A queue's jobs that have not begun.
    Pending(usize),
    /// It may or may not have been done; the same call may be repeated.
    Unknown,
}

/// Passes callers' calls to the scheduling instance.
#[derive(Clone, Debug)]
pub struct Gateway {
    pub(crate) view: watch::Receiver<LeaderView>,
    pub(crate) routes: watch::Receiver<Routes>,
    pub(crate) peers: PeerClient,
    pub(crate) metrics: Metrics,
}

impl Gateway {
    /// The configuration in force here; version 0 before the first.
    pub fn routes(&self) -> watch::Ref<'_, Routes> {
        self.routes.borrow()
    }

    /// Whether callers should be sent here.
    pub fn ready(&self) -> bool {
        let view = self.view.borrow();
        let heard = |at: Instant| at.elapsed() < READY_SILENCE;
        !view.leaving && self.routes.borrow().version > 0 && view.heard_at.is_some_and(heard)
    }

    /// Whether the instance is about to end.
    pub fn leaving(&self) -> bool {
        self.view.borrow().leaving
    }

    /// Submits a job to a queue and waits at most `deadline` for its fate.
    pub async fn submit(
        &self,
        job: JobId,
        graph: JobGraph,
        route: &QueueRoute,
        deadline: Duration,
    ) -> Answer {
        let call = CellCall::Submit(Box::new(SubmitJob {
            job: job.clone(),
            graph,
            policy: route.policy.clone(),
            configuration: self.routes.borrow().version,
        }));
        let answer = self.ask("submit", call, deadline).await;
        info!("submission answered", kv: {
            job = job.as_str(), queue = route.policy.queue.as_str(), answer:? = answer
        });
        answer
    }

    /// Asks for a job's status.
    pub async fn status(&self, job: JobId, deadline: Duration) -> Answer {
        match self.ask("status", CellCall::Status { job }, deadline).await {
            Answer::Status(JobStatus::Undecided) => self.unavailable(),
            answer => answer,
        }
    }

    /// Cancels a job; answers its status from then on.
    pub async fn cancel(&self, job: JobId, deadline: Duration) -> Answer {
        let call = CellCall::Cancel { job: job.clone() };
        let answer = self.ask("cancel", call, deadline).await;
        info!("cancellation answered", kv: { job = job.as_str(), answer:? = answer });
        match answer {
            Answer::Status(JobStatus::Undecided) => Answer::Unknown,
            Answer::Status(JobStatus::Queued | JobStatus::Running) => {
                Answer::Status(JobStatus::Ended(JobOutcome::Cancelled))
            }
            answer => answer,
        }
    }

    /// Asks how many jobs of a queue have not begun.
    pub async fn pending(&self, queue: QueueId, deadline: Duration) -> Answer {
        self.ask("pending", CellCall::Pending { queue }, deadline)
            .await
    }

    /// Asks the scheduling instance, again if it changes meanwhile.
    async fn ask(&self, step: &'static str, call: CellCall, deadline: Duration) -> Answer {
        let began_at = Instant::now();
        let until = began_at + deadline.saturating_sub(DEADLINE_MARGIN);
        let mut open = false;
        let answer = loop {
            let left = until.saturating_duration_since(Instant::now());
            if left < CALL_TIME_MIN {
                // Too little time for an answer: what is not sent surely has no effect.
                break self.unavailable();
            }
            let answer = self.try_once(&call, left).await;
            match answer {
                Some(answer) if answer != Answer::Unknown => break answer,
                Some(_) => open = true,
                None => {}
            }
            let waited = began_at.elapsed();
            if Instant::now() + RETRY_PAUSE >= until {
                break self.unavailable();
            }
            if !open && waited > NO_LEADER_WAIT_MAX {
                break self.unavailable();
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        // After a try without an answer only the scheduling instance's own word excludes that
        // the call took effect.
        let answer = match answer {
            Answer::Unavailable { .. } if open => Answer::Unknown,
            answer => answer,
        };
        let outcome = match &answer {
            Answer::Refused { .. } => "refused",
            Answer::Unavailable { .. } => "unavailable",
            Answer::Unknown => "unknown",
            _ => "answered",
        };
        self.metrics.call(step, outcome, began_at.elapsed());
        answer
    }

    /// The answer while no scheduling instance is found.
    fn unavailable(&self) -> Answer {
        let heard_at = self.view.borrow().heard_at;
        let lasted = heard_at.map_or(Duration::ZERO, |at| at.elapsed());
        Answer::Unavailable {
            retry_after: outage_retry_after(lasted),
        }
    }

    /// Asks once; `None` if the call surely had no effect.
    async fn try_once(&self, call: &CellCall, left: Duration) -> Option<Answer> {
        let (local, row) = {
            let view = self.view.borrow();
            (view.local.clone(), view.row.clone())
        };
        let timeout = left.min(PASS_ON_TIMEOUT);
        let answer = match (local, row) {
            (Some(leader), _) => {
                let answer = ask_leader(&leader, call.clone());
                tokio::time::timeout(left, answer)
                    .await
                    .unwrap_or(CellAnswer::Unknown)
            }
            (None, Some(row)) => {
                let answer = self
                    .peers
                    .call(row.record.address, SLICE, call, timeout)
                    .await;
                match answer {
                    Ok(answer) => answer,
                    Err(CallError::Unknown(slice, peer, cause)) => {
                        warn!("call without an answer", kv: {
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
            CellAnswer::Status { status } => Some(Answer::Status(status)),
            CellAnswer::Pending { jobs } => Some(Answer::Pending(jobs)),
            CellAnswer::Unknown => Some(Answer::Unknown),
            CellAnswer::NotLeader
            | CellAnswer::Redirect { .. }
            | CellAnswer::HeartbeatAck { .. }
            | CellAnswer::Advice { .. }
            | CellAnswer::AdvisorBusy { .. }
            | CellAnswer::Configuration { .. }
            | CellAnswer::Acknowledged => None,
        }
    }
}
