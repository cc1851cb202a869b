//! The leader task's use of other instances: as successors, and to detect a later epoch.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use spdlog::info;

use super::{
    handover::{LeaderFitness, OfferReason},
    LeaderTask,
};
use crate::{
    calls::offer_epoch,
    settings::{LAG_SMOOTHING, PEERS_LISTED_MAX, PEER_HEARTBEAT_AGE_MAX, TICK_PERIOD},
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
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        !self.state.leaving && self.is_heard(now)
    }

    /// Returns whether the instance has sent a recent heartbeat.
    pub(super) fn is_heard(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heartbeat_at) < PEER_HEARTBEAT_AGE_MAX
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

    /// Returns the best instance to take over, apart from some: the strongest one, and of equals the
    /// one that lags least.
    pub(super) fn successor(&self, except: &[SocketAddr], now: Instant) -> Option<SocketAddr> {
        let is_usable = |(address, known): &(&SocketAddr, &KnownPeer)| {
            **address != self.own_address && known.is_usable(now) && !except.contains(address)
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
        let Some(successor) = self.successor(&[], now) else {
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
}
