//! The advisor task, which calls this instance's advisor for the leader here or at a peer.

mod queue;
mod reserve;

use std::{sync::Arc, time::Instant};

use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest};
use spdlog::warn;
use tokio::sync::oneshot;
use xtra::prelude::*;

pub use self::{
    queue::{AdviceRequestId, AdvisorQueue, Busy},
    reserve::{ShortRequestLoad, SHORT_REQUEST_MAX},
};
use crate::{settings::ADVICE_MARGIN, Advisor};

/// A request to the advisor, and where its outcome goes.
pub(crate) struct RequestAdvice(
    pub(crate) AdviceRequest,
    pub(crate) oneshot::Sender<AdviceOutcome>,
);

/// The outcome of an advice request.
#[derive(Debug)]
pub(crate) enum AdviceOutcome {
    Answered(AdviceAnswer),
    /// The advisor was not called, as its backlog is too long.
    Busy(Busy),
    /// No valid answer came in time.
    Unanswered,
}

/// The end of a call to the advisor, with an answer or without.
struct RequestEnded {
    request_id: AdviceRequestId,
    answered: bool,
}

/// Calls the advisor and tracks its backlog.
#[derive(xtra::Actor)]
pub(crate) struct AdvisorTask {
    advisor: Arc<dyn Advisor>,
    queue: AdvisorQueue,
}

/// Starts the advisor task on the current tokio runtime.
pub(crate) fn spawn(advisor: Arc<dyn Advisor>) -> Address<AdvisorTask> {
    let task = AdvisorTask {
        advisor,
        queue: AdvisorQueue::default(),
    };
    xtra::spawn_tokio(task, Mailbox::unbounded())
}

/// Sends a request to the advisor task and waits for its outcome.
pub(crate) async fn request_advice(
    task: &Address<AdvisorTask>,
    request: AdviceRequest,
) -> AdviceOutcome {
    let (reply, outcome) = oneshot::channel();
    if task.send(RequestAdvice(request, reply)).await.is_err() {
        return AdviceOutcome::Unanswered;
    }
    outcome.await.unwrap_or(AdviceOutcome::Unanswered)
}

impl Handler<RequestAdvice> for AdvisorTask {
    type Return = ();

    async fn handle(&mut self, message: RequestAdvice, context: &mut Context<Self>) {
        let RequestAdvice(request, reply) = message;
        let now = Instant::now();
        let queued = self.queue.free_in(now);
        let request_id = match self.queue.push(request.expected, now) {
            Ok(request_id) => request_id,
            Err(busy) => {
                // The caller may have stopped waiting.
                let _ = reply.send(AdviceOutcome::Busy(busy));
                return;
            }
        };
        let timeout = queued + request.expected + ADVICE_MARGIN;
        let advisor = self.advisor.clone();
        let task = context.mailbox().address();
        tokio::spawn(async move {
            let answer = advisor.advise(&request, timeout).await;
            let ended = RequestEnded {
                request_id,
                answered: answer.is_ok(),
            };
            let _ = task.send(ended).await;
            let outcome = answer.map_or_else(
                |error| {
                    warn!("advisor did not answer", kv: {
                        job = request.step.job.as_str(),
                        queued_ms = queued.as_millis() as u64,
                        expected_ms = request.expected.as_millis() as u64, cause: = error
                    });
                    AdviceOutcome::Unanswered
                },
                AdviceOutcome::Answered,
            );
            let _ = reply.send(outcome);
        });
    }
}

impl Handler<RequestEnded> for AdvisorTask {
    type Return = ();

    async fn handle(&mut self, ended: RequestEnded, _context: &mut Context<Self>) {
        let now = Instant::now();
        if ended.answered {
            self.queue.answered(ended.request_id, now);
        } else {
            self.queue.timed_out(now);
        }
    }
}
