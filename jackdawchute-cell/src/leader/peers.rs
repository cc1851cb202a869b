//! The leader task's use of other instances: for advice, as successors, to detect a later epoch.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_peer::PeerClient;
use jackdawchute_scheduler::AdviceRequest;
use spdlog::{info, warn};
use xtra::{prelude::*, refcount::Weak};

use super::{
    handlers::AdviceAnswered,
    handover::{LeaderFitness, OfferReason},
    LeaderTask,
};
use crate::{
    advisor::{self, AdviceOutcome, Busy},
    calls::offer_epoch,
    messages::{CellAnswer, CellCall, SLICE},
    settings::{
        ADVICE_MARGIN, ADVISOR_BACKLOG_MAX, LAG_SMOOTHING, PEERS_LISTED_MAX, PEER_CALL_MARGIN,
        PEER_HEARTBEAT_AGE_MAX, TICK_PERIOD,
    },
};

/// The state of an instance, as its heartbeat reports it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerState {
    /// Whether the instance is shutting down.
    pub(crate) leaving: bool,
    /// How late the instance handles its ticks, smoothed.
    pub(crate) lag: Duration,
    /// The instance's processor, in thousandths of a core.
    pub(crate) processor_millicores: u64,
}

/// An instance that the leader knows of; this one is included.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownPeer {
    pub(super) last_heartbeat_at: Instant,
    /// When the instance's advisor is expected to have answered all requests sent to it.
    pub(super) advisor_free_at: Instant,
    pub(super) state: PeerState,
}

impl KnownPeer {
    /// Returns whether the instance has sent a recent heartbeat and is not leaving.
    fn is_usable(&self, now: Instant) -> bool {
        !self.state.leaving
            && now.saturating_duration_since(self.last_heartbeat_at) < PEER_HEARTBEAT_AGE_MAX
    }
}

impl LeaderTask {
    /// Records the state that a heartbeat reports.
    pub(super) fn record_heartbeat(&mut self, address: SocketAddr, state: PeerState, now: Instant) {
        let known = self.peers.entry(address).or_insert(KnownPeer {
            last_heartbeat_at: now,
            advisor_free_at: now,
            state,
        });
        known.last_heartbeat_at = now;
        known.state = state;
    }

    /// Returns the processor of the strongest usable instance, this one included.
    pub(super) fn strongest_millicores(&self, now: Instant) -> u64 {
        let usable = self.peers.values().filter(|known| known.is_usable(now));
        let strongest = usable.map(|known| known.state.processor_millicores).max();
        strongest.unwrap_or(0).max(self.processor_millicores)
    }

    /// Returns some usable instances other than this one and the caller.
    pub(super) fn other_peers(&self, caller: SocketAddr, now: Instant) -> Vec<SocketAddr> {
        self.peers
            .iter()
            .filter(|(address, known)| {
                **address != caller && **address != self.own_address && known.is_usable(now)
            })
            .map(|(address, _)| *address)
            .take(PEERS_LISTED_MAX)
            .collect()
    }

    /// Returns the best instance to take over: the strongest one, and of equals the one that lags
    /// least.
    pub(super) fn successor(&self, now: Instant) -> Option<SocketAddr> {
        let is_usable = |(address, known): &(&SocketAddr, &KnownPeer)| {
            **address != self.own_address && known.is_usable(now)
        };
        let best = self
            .peers
            .iter()
            .filter(is_usable)
            .min_by_key(|(_, known)| {
                let strength = std::cmp::Reverse(known.state.processor_millicores);
                (
                    strength,
                    known.state.lag,
                    std::cmp::Reverse(known.last_heartbeat_at),
                )
            });
        best.map(|(address, _)| *address)
    }

    /// Offers the epoch to the best other instance if a takeover by it helps.
    pub(super) fn offer_epoch_if_better(&mut self, now: Instant) {
        let excused = self.scheduler.awaits_first_renewals(now);
        let workers = self.scheduler.workers_count();
        self.handover.record_lag(self.lag, workers, excused, now);
        let Some(successor) = self.successor(now) else {
            return;
        };
        let Some(state) = self.peers.get(&successor).map(|known| known.state) else {
            return;
        };
        let own = LeaderFitness {
            processor_millicores: self.processor_millicores,
            lag: self.lag,
        };
        let other = LeaderFitness {
            processor_millicores: state.processor_millicores,
            lag: state.lag,
        };
        let Some(reason) = self.handover.offer(&own, &other, workers, now) else {
            return;
        };
        let lag_takeovers = match reason {
            OfferReason::LagsLess => self.handover.lag_takeovers() + 1,
            OfferReason::Stronger => 0,
        };
        info!("offering the epoch to a better instance", kv: {
            epoch = self.head.epoch, reason:? = reason, lag_ms = own.lag.as_millis() as u64,
            processor_millicores = own.processor_millicores,
            its_lag_ms = other.lag.as_millis() as u64,
            its_processor_millicores = other.processor_millicores,
            lag_takeovers = lag_takeovers
        });
        let (peers, epoch) = (self.ports.peers.clone(), self.head.epoch);
        tokio::spawn(async move { offer_epoch(&peers, successor, epoch, lag_takeovers).await });
    }

    /// Measures the load of short advice requests, and how late ticks are handled, which shows by
    /// how much this instance's processor is overloaded.
    pub(super) fn record_tick(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_tick_at);
        let lateness = elapsed.saturating_sub(TICK_PERIOD);
        self.short_request_load.tick(elapsed);
        self.last_tick_at = now;
        let excused = self.scheduler.awaits_first_renewals(now);
        self.overload.record_tick(lateness, excused);
        self.lag = self.lag.mul_f64(1.0 - LAG_SMOOTHING) + lateness.mul_f64(LAG_SMOOTHING);
    }

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
        let Some((address, known)) = first_free else {
            return;
        };
        let queued = known.advisor_free_at.saturating_duration_since(now);
        if queued > ADVISOR_BACKLOG_MAX {
            // The step requests advice again after its timeout.
            return;
        }
        known.advisor_free_at = known.advisor_free_at.max(now) + request.expected;
        let peer = *address;
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

    /// Postpones requests to an advisor until it has answered those of an earlier leader.
    pub(super) fn record_busy_advisor(&mut self, peer: SocketAddr, busy: Busy, now: Instant) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.advisor_free_at = known.advisor_free_at.max(now + busy.free_in);
        }
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
