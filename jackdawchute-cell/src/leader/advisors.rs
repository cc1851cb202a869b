//! The leader task's use of the advisors, one at each instance.

use std::time::{Duration, Instant};

use jackdawchute_peer::PeerClient;
use jackdawchute_scheduler::{AdviceCounts, AdviceRequest, AdvisorSlot, Advisors};
use jackdawchute_types::{whole_ms, AdvisorId};
use spdlog::{info, warn};
use xtra::{prelude::*, refcount::Weak};

use super::{handlers::AdviceAnswered, peers::KnownPeer, LeaderTask};
use crate::{
    advisor::{request_advice as request_own_advice, AdviceOutcome, Busy, SHORT_REQUEST_MAX},
    messages::{CellAnswer, CellCall, SLICE},
    settings::{ADVICE_MARGIN, ADVICE_RETRY_PAUSE, ADVISOR_BACKLOG_MAX, PEER_CALL_MARGIN},
};

/// The advice requests since the load was last logged.
#[derive(Debug, Default)]
pub(super) struct AdviceWork {
    sent: usize,
    answered: usize,
    busy: usize,
    failed: usize,
    given_up: usize,
    /// How long the advisors were expected to take for the answered requests.
    answered_took: Duration,
}

impl AdviceWork {
    fn record(&mut self, request: &AdviceRequest, advice: &AdviceOutcome) {
        match advice {
            AdviceOutcome::Answered(_) => {
                self.answered += 1;
                self.answered_took += request.expected;
            }
            AdviceOutcome::Busy(_) => self.busy += 1,
            AdviceOutcome::Unanswered => self.failed += 1,
        }
    }
}

impl LeaderTask {
    /// Returns the advisors that can be asked, this instance's and those of the usable peers, apart from
    /// those that are late with all their answers.
    ///
    /// Some advisors answer short requests only, so that these never wait behind long ones.
    pub(super) fn advisors(&self, now: Instant) -> Advisors {
        let late = self.advice_under_way.late(now);
        let usable = self
            .peers
            .iter()
            .filter(|(address, known)| **address == self.own_address || known.is_usable(now));
        let slots: Vec<AdvisorSlot> = usable
            .filter(|(address, _)| !late.contains(address))
            .map(|(address, known)| AdvisorSlot {
                advisor: *address,
                free_at: known.advisor_free_at,
            })
            .collect();
        let reserved = self.short_request_load.reserved(slots.len());
        Advisors::new(slots, reserved, SHORT_REQUEST_MAX, ADVISOR_BACKLOG_MAX)
    }

    /// Sends a request to an instance's advisor, this one's or a peer's.
    pub(super) fn request_advice(
        &mut self,
        advisor: AdvisorId,
        request: AdviceRequest,
        task: Address<Self, Weak>,
        now: Instant,
    ) {
        let own_address = self.own_address;
        if request.expected <= SHORT_REQUEST_MAX {
            self.short_request_load.record(request.expected);
        }
        let mut queued = Duration::ZERO;
        let mut expected_at = now + request.expected;
        if let Some(known) = self.peers.get_mut(&advisor) {
            queued = known.advisor_free_at.saturating_duration_since(now);
            expected_at += queued;
            known.advisor_free_at = expected_at;
        }
        let call = self
            .advice_under_way
            .begin(advisor, request.clone(), now, expected_at);
        self.advice_work.sent += 1;
        info!("advice requested", kv: {
            job = request.step.job.as_str(), step = request.step.step,
            workers = request.workers.len(), expected_ms = whole_ms(request.expected),
            queued_ms = whole_ms(queued), advisor: = advisor
        });
        let ports = self.ports.clone();
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            let sent_at = Instant::now();
            let advice = if advisor == own_address {
                request_own_advice(&ports.advisor, request.clone()).await
            } else {
                request_advice_from_peer(&ports.peers, advisor, &request).await
            };
            let outcome = match &advice {
                AdviceOutcome::Answered(_) => "answered",
                AdviceOutcome::Busy(_) => "busy",
                AdviceOutcome::Unanswered => "failed",
            };
            metrics.call("advise", outcome, sent_at.elapsed());
            let answered = AdviceAnswered {
                call,
                request,
                advisor,
                advice,
            };
            let _ = task.send(answered).await;
        });
    }

    /// Handles the outcome of an advice request.
    pub(super) fn advice_answered(&mut self, message: AdviceAnswered, now: Instant) {
        let AdviceAnswered {
            call,
            request,
            advisor,
            advice,
        } = message;
        self.advice_work.record(&request, &advice);
        self.advice_under_way.end(call);
        let is_asked = self.advice_under_way.is_asked(advisor);
        if let Some(known) = self.peers.get_mut(&advisor) {
            match &advice {
                AdviceOutcome::Answered(_) if !is_asked => {
                    known.advisor_free_at = now;
                }
                // The advisor answers those of an earlier leader first.
                AdviceOutcome::Busy(busy) => {
                    known.advisor_free_at = known.advisor_free_at.max(now + busy.free_in);
                }
                AdviceOutcome::Unanswered => {
                    known.advisor_free_at = known.advisor_free_at.max(now + ADVICE_RETRY_PAUSE);
                }
                AdviceOutcome::Answered(_) => {}
            }
        }
        let answer = match advice {
            AdviceOutcome::Answered(answer) => Some(answer),
            AdviceOutcome::Busy(_) | AdviceOutcome::Unanswered => None,
        };
        self.scheduler.advice_answered(&request, answer, now);
    }

    /// Gives up the requests to advisors whose instances have fallen silent, and those that are not
    /// answered in time, so that their steps ask others before the calls time out.
    ///
    /// A leaving instance still answers what it was asked.
    pub(super) fn give_up_late_advice(&mut self, now: Instant) {
        let (peers, own_address) = (&self.peers, self.own_address);
        let is_heard = |advisor| {
            let is_known = |known: &KnownPeer| known.is_heard(now);
            advisor == own_address || peers.get(&advisor).is_some_and(is_known)
        };
        let given_up = self
            .advice_under_way
            .give_up(now, |advisor| !is_heard(advisor));
        self.advice_work.given_up += given_up.len();
        for (advisor, request) in given_up {
            info!("advice request given up", kv: {
                job = request.step.job.as_str(), step = request.step.step,
                workers = request.workers.len(), advisor: = advisor, heard = is_heard(advisor)
            });
            self.scheduler.advice_answered(&request, None, now);
        }
    }

    /// Logs the advice requests since the last call, what came of the tickets, and how many advisors
    /// have nothing to do.
    pub(super) fn log_advice(&mut self, now: Instant) {
        let work = std::mem::take(&mut self.advice_work);
        let AdviceCounts {
            steps_waiting,
            tickets_received,
            tickets_used,
        } = self.scheduler.take_advice_counts();
        self.metrics.tickets(tickets_received, tickets_used);
        let advisors = self.advisors(now);
        let slots = advisors.slots().iter();
        let idle = slots.filter(|slot| slot.free_at <= now).count();
        info!("advice load", kv: {
            sent = work.sent, answered = work.answered,
            busy = work.busy, failed = work.failed, given_up = work.given_up,
            answered_ms = whole_ms(work.answered_took),
            advisors = advisors.slots().len(), idle_advisors = idle, steps_waiting = steps_waiting,
            tickets_received = tickets_received, tickets_used = tickets_used
        });
    }
}

/// Sends an advice request to a peer's advisor.
async fn request_advice_from_peer(
    peers: &PeerClient,
    peer: AdvisorId,
    request: &AdviceRequest,
) -> AdviceOutcome {
    let call = CellCall::Advise {
        request: request.clone(),
    };
    let timeout = ADVISOR_BACKLOG_MAX + request.expected + ADVICE_MARGIN + PEER_CALL_MARGIN;
    match peers.call(peer, SLICE, &call, timeout).await {
        Ok(CellAnswer::Advice { answer }) => AdviceOutcome::Answered(answer),
        Ok(CellAnswer::AdvisorBusy { free_in_ms }) => AdviceOutcome::Busy(Busy {
            free_in: Duration::from_millis(free_in_ms),
        }),
        // The peer has logged why its advisor did not answer.
        Ok(_) => AdviceOutcome::Unanswered,
        Err(error) => {
            warn!("advice request to a peer failed", kv: {
                job = request.step.job.as_str(), peer: = peer, cause: = error
            });
            AdviceOutcome::Unanswered
        }
    }
}
