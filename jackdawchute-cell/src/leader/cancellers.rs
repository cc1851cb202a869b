//! Callers that wait until the cancellation of their job is in force.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::{JobStatus, Scheduler};
use jackdawchute_types::JobId;
use tokio::sync::oneshot;

use crate::messages::CellAnswer;

/// How long a saved cancellation waits to be in force before its caller is told that the outcome is
/// unknown; below the timeout of the peer that forwards the call.
const IN_FORCE_WAIT_MAX: Duration = Duration::from_millis(1_000);

struct Canceller {
    asked_at: Instant,
    reply: oneshot::Sender<CellAnswer>,
}

/// The callers by job.
#[derive(Default)]
pub(super) struct Cancellers(HashMap<JobId, Vec<Canceller>>);

impl Cancellers {
    /// Adds a caller who asked to cancel a job.
    pub(super) fn add(&mut self, job: JobId, reply: oneshot::Sender<CellAnswer>, now: Instant) {
        let canceller = Canceller {
            asked_at: now,
            reply,
        };
        self.0.entry(job).or_default().push(canceller);
    }

    /// Replies to the callers whose job has ended and starts no task under an earlier leader either,
    /// and to those for whom this takes too long.
    pub(super) fn answer(&mut self, scheduler: &Scheduler, now: Instant) {
        self.0.retain(|job, cancellers| {
            let status = scheduler.status(job);
            if !matches!(status, JobStatus::Ended(_)) {
                return true;
            }
            let in_force = !scheduler.may_start_under_earlier_leader(job, now);
            let (answered, waiting) = std::mem::take(cancellers)
                .into_iter()
                .partition(|it| in_force || now >= it.asked_at + IN_FORCE_WAIT_MAX);
            let answer = match in_force {
                true => CellAnswer::Status { status },
                false => CellAnswer::Unknown,
            };
            reply_to(answered, &answer);
            *cancellers = waiting;
            !cancellers.is_empty()
        });
    }

    /// Replies to all callers that the outcome is unknown.
    pub(super) fn give_up(&mut self) {
        for (_, cancellers) in self.0.drain() {
            reply_to(cancellers, &CellAnswer::Unknown);
        }
    }
}

fn reply_to(cancellers: Vec<Canceller>, answer: &CellAnswer) {
    for canceller in cancellers {
        // A caller that has disconnected needs no answer.
        let _ = canceller.reply.send(answer.clone());
    }
}
