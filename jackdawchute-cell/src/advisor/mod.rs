//! The task that asks this instance's advisor, for itself and for peers.

mod queue;
mod reserve;

use std::{sync::Arc, time::Instant};

use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest};
use spdlog::warn;
use tokio::sync::oneshot;
use xtra::prelude::*;

pub use self::{
    queue::{AdviceRequestId, AdvisorQueue, Busy},
    reserve::ShortRequestLoad,
};
use crate::{settings::ADVICE_MARGIN, Advisor};

/// Asks the advisor, unless too many questions wait for it.
pub(crate) struct RequestAdvice(
    pub(crate) AdviceRequest,
    pub(crate) oneshot::Sender<AdviceOutcome>,
);

/// What became of a question.
#[derive(Debug)]
pub(crate) enum AdviceOutcome {
    Answered(AdviceAnswer),
    /// It was not asked.
    Busy(Busy),
    /// No answer came in time, or none that can be read.
    Unanswered,
}

/// A question has ended, with an answer or without.
struct Ended {
    request_id: AdviceRequestId,
    answered: bool,
}

/// Owns the queue of the advisor that this instance asks.
#[derive(xtra::Actor)]
pub(crate) struct AdvisorTask {
    advisor: Arc<dyn Advisor>,
    queue: AdvisorQueue,
}

/// Starts the task on the current tokio runtime.
pub(crate) fn spawn(advisor: Arc<dyn Advisor>) -> Address<AdvisorTask> {
    let task = AdvisorTask {
        advisor,
        queue: AdvisorQueue::default(),
    };
    xtra::spawn_tokio(task, Mailbox::unbounded())
}

/// Asks the task and waits for what becomes of the question.
pub(crate) async fn ask(task: &Address<AdvisorTask>, request: AdviceRequest) -> AdviceOutcome {
    let (reply, advised) = oneshot::channel();
    if task.send(RequestAdvice(request, reply)).await.is_err() {
        return AdviceOutcome::Unanswered;
    }
    advised.await.unwrap_or(AdviceOutcome::Unanswered)
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
                // Whoever asked may have gone.
                let _ = reply.send(AdviceOutcome::Busy(busy));
                return;
            }
        };
        let timeout = queued + request.expected + ADVICE_MARGIN;
        let advisor = self.advisor.clone();
        let own = context.mailbox().address();
        tokio::spawn(async move {
            let answer = advisor.advise(&request, timeout).await;
            let ended = Ended {
                request_id,
                answered: answer.is_ok(),
            };
            let _ = own.send(ended).await;
            let advised = answer.map_or_else(
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
            let _ = reply.send(advised);
        });
    }
}

impl Handler<Ended> for AdvisorTask {
    type Return = ();

    async fn handle(&mut self, ended: Ended, _context: &mut Context<Self>) {
        let now = Instant::now();
        if ended.answered {
            self.queue.answered(ended.request_id, now);
        } else {
            self.queue.timed_out(now);
        }
    }
}
