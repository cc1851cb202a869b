//! The leader task's use of the advisors, one at each instance.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_peer::PeerClient;
use jackdawchute_scheduler::{AdviceCounts, AdviceRequest};
use jackdawchute_types::whole_ms;
use spdlog::{info, warn};
use xtra::{prelude::*, refcount::Weak};

use super::{handlers::AdviceAnswered, LeaderTask};
use crate::{
    advisor::{self, AdviceOutcome, Busy},
    messages::{CellAnswer, CellCall, SLICE},
    settings::{ADVICE_MARGIN, ADVISOR_BACKLOG_MAX, PEER_CALL_MARGIN},
};

/// The advice requests since the load was last logged.
#[derive(Debug, Default)]
pub(super) struct AdviceWork {
    sent: usize,
    /// The requests that no advisor had room for.
    unsent: usize,
    answered: usize,
    busy: usize,
    failed: usize,
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
    /// Sends an advice request to the advisor that is free first, of this instance or a peer.
    pub(super) fn request_advice(
        &mut self,
        request: AdviceRequest,
        task: Address<Self, Weak>,
        now: Instant,
    ) {
        let own_address = self.own_address;
        // Some advisors answer short requests only, so that these never wait behind long ones.
        let advisors = self
            .peers
            .values()
            .filter(|known| known.is_usable(now))
            .count();
        let reserved_against = self
            .short_request_load
            .reserved_against(request.expected, advisors);
        let first_free = self
            .peers
            .iter_mut()
            .filter(|(address, known)| **address == own_address || known.is_usable(now))
            .skip(reserved_against)
            .min_by_key(|(_, known)| known.advisor_free_at);
        let queued = first_free.as_ref().map(|(_, known)| {
            let free_at = known.advisor_free_at;
            free_at.saturating_duration_since(now)
        });
        let Some((address, known)) = first_free.filter(|_| queued <= Some(ADVISOR_BACKLOG_MAX))
        else {
            // The step requests advice again after its timeout.
            self.advice_work.unsent += 1;
            self.metrics.call("advise", "unsent", Duration::ZERO);
            info!("advice request not sent: no advisor has room", kv: {
                job = request.step.job.as_str(), step = request.step.step,
                workers = request.workers.len(), expected_ms = whole_ms(request.expected),
                queued_ms:? = queued.map(whole_ms), reserved = reserved_against
            });
            return;
        };
        known.advisor_free_at = known.advisor_free_at.max(now) + request.expected;
        let peer = *address;
        self.advice_work.sent += 1;
        info!("advice requested", kv: {
            job = request.step.job.as_str(), step = request.step.step,
            workers = request.workers.len(), expected_ms = whole_ms(request.expected),
            queued_ms = queued.map_or(0, whole_ms), advisor: = peer
        });
        let ports = self.ports.clone();
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            let sent_at = Instant::now();
            let advice = if peer == own_address {
                advisor::request_advice(&ports.advisor, request.clone()).await
            } else {
                request_advice_from_peer(&ports.peers, peer, &request).await
            };
            let outcome = match &advice {
                AdviceOutcome::Answered(_) => "answered",
                AdviceOutcome::Busy(_) => "busy",
                AdviceOutcome::Unanswered => "failed",
            };
            metrics.call("advise", outcome, sent_at.elapsed());
            let answered = AdviceAnswered {
                request,
                peer,
                advice,
            };
            let _ = task.send(answered).await;
        });
    }

    /// Handles the outcome of an advice request.
    pub(super) fn advice_answered(&mut self, message: AdviceAnswered, now: Instant) {
        let AdviceAnswered {
            request,
            peer,
            advice,
        } = message;
        self.advice_work.record(&request, &advice);
        let answer = match advice {
            AdviceOutcome::Answered(answer) => Some(answer),
            AdviceOutcome::Busy(busy) => {
                self.record_busy_advisor(peer, busy, now);
                None
            }
            AdviceOutcome::Unanswered => None,
        };
        self.scheduler.advice_answered(&request, answer, now);
    }

    /// Postpones requests to an advisor until it has answered those of an earlier leader.
    fn record_busy_advisor(&mut self, peer: SocketAddr, busy: Busy, now: Instant) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.advisor_free_at = known.advisor_free_at.max(now + busy.free_in);
        }
    }

    /// Logs the advice requests since the last call, what came of the tickets, and how many advisors
    /// have nothing to do.
    pub(super) fn log_advice(&mut self, now: Instant) {
        let work = std::mem::take(&mut self.advice_work);
        let AdviceCounts {
            tickets_received,
            tickets_used,
        } = self.scheduler.take_advice_counts();
        self.metrics.tickets(tickets_received, tickets_used);
        let usable = self
            .peers
            .iter()
            .filter(|(address, known)| **address == self.own_address || known.is_usable(now));
        let free_at: Vec<Instant> = usable.map(|(_, known)| known.advisor_free_at).collect();
        let idle = free_at.iter().filter(|free_at| **free_at <= now).count();
        info!("advice load", kv: {
            sent = work.sent, unsent = work.unsent, answered = work.answered,
            busy = work.busy, failed = work.failed,
            answered_ms = whole_ms(work.answered_took),
            advisors = free_at.len(), idle_advisors = idle,
            tickets_received = tickets_received, tickets_used = tickets_used
        });
    }
}

/// Sends an advice request to a peer's advisor.
async fn request_advice_from_peer(
    peers: &PeerClient,
    peer: SocketAddr,
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
