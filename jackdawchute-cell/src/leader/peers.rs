//! What the scheduling task knows of other instances: advisors, successors, a later epoch.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_peer::PeerClient;
use jackdawchute_scheduler::AdviceRequest;
use spdlog::{info, warn};
use xtra::{prelude::*, refcount::Weak};

use super::{handlers::AdviceAnswered, LeaderTask};
use crate::{
    advisor::{self, AdviceOutcome, Busy},
    calls::{ask_for_row, offer_epoch},
    election::EpochLost,
    messages::{CellAnswer, CellCall, SLICE},
    settings::{
        ADVICE_MARGIN, ADVISOR_BACKLOG_MAX, LAG_GAIN, LAG_MAX, LEADER_STORE_OUTAGE_MAX,
        OFFER_PAUSE, OTHERS_TOLD, PEERS_ASK_PERIOD, PEER_CALL_MARGIN, PEER_MEMORY,
        STRONGER_PERCENT, TICK_PERIOD,
    },
};

/// What an instance tells of itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerState {
    pub(crate) leaving: bool,
    /// How late it gets to its work.
    pub(crate) lag: Duration,
    pub(crate) processor_millicores: u64,
}

/// What is known of another instance, or of this one.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerLoad {
    pub(super) heard_at: Instant,
    /// When its advisor has answered all questions that were asked through it.
    pub(super) advisor_free_at: Instant,
    pub(super) state: PeerState,
}

impl PeerLoad {
    /// Whether it was heard of late and stays.
    fn usable(&self, now: Instant) -> bool {
        !self.state.leaving && now.saturating_duration_since(self.heard_at) < PEER_MEMORY
    }
}

impl LeaderTask {
    pub(super) fn note_peer(&mut self, address: SocketAddr, state: PeerState, now: Instant) {
        let load = self.peers.entry(address).or_insert(PeerLoad {
            heard_at: now,
            advisor_free_at: now,
            state,
        });
        load.heard_at = now;
        load.state = state;
    }

    /// The most processor that an instance has which was heard of late, or this one.
    pub(super) fn strongest_millicores(&self, now: Instant) -> u64 {
        let usable = self.peers.values().filter(|load| load.usable(now));
        let strongest = usable.map(|load| load.state.processor_millicores).max();
        strongest.unwrap_or(0).max(self.processor_millicores)
    }

    /// Some instances that were heard of late, other than the one that asks.
    pub(super) fn some_others(&self, asking: SocketAddr, now: Instant) -> Vec<SocketAddr> {
        self.peers
            .iter()
            .filter(|(address, load)| {
                **address != asking && **address != self.own_address && load.usable(now)
            })
            .map(|(address, _)| *address)
            .take(OTHERS_TOLD)
            .collect()
    }

    /// The instance that could best take over: the strongest, of these the least busy.
    pub(super) fn successor(&self, now: Instant) -> Option<SocketAddr> {
        let usable = |(address, load): &(&SocketAddr, &PeerLoad)| {
            **address != self.own_address && load.usable(now)
        };
        let best = self.peers.iter().filter(usable).min_by_key(|(_, load)| {
            let strength = std::cmp::Reverse(load.state.processor_millicores);
            (strength, load.state.lag, std::cmp::Reverse(load.heard_at))
        });
        best.map(|(address, _)| *address)
    }

    /// Offers the epoch to an instance that is much stronger, or, when this one does not keep up,
    /// to one that is as strong and less busy. A weaker one would only keep up worse.
    pub(super) fn offer_to_better(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < OFFER_PAUSE;
        if self.offered_at.is_some_and(recent) {
            return;
        }
        let Some(successor) = self.successor(now) else {
            return;
        };
        let Some(state) = self.peers.get(&successor).map(|load| load.state) else {
            return;
        };
        if !self.is_better(&state, now) {
            return;
        }
        self.offered_at = Some(now);
        info!("another instance could schedule better", kv: {
            epoch = self.head.epoch, lag_ms = self.lag.as_millis() as u64,
            processor_millicores = self.processor_millicores,
            its_lag_ms = state.lag.as_millis() as u64,
            its_processor_millicores = state.processor_millicores
        });
        let (peers, epoch) = (self.ports.peers.clone(), self.head.epoch);
        tokio::spawn(async move { offer_epoch(&peers, successor, epoch).await });
    }

    fn is_better(&self, other: &PeerState, now: Instant) -> bool {
        let own = self.processor_millicores;
        let much_stronger = other.processor_millicores * 100 >= own * STRONGER_PERCENT;
        let as_strong = other.processor_millicores >= own;
        // Whoever meets thousands of workers is late, and the next one would be as well.
        let late = self.lag >= LAG_MAX && !self.scheduler.awaits_first_renewals(now);
        (much_stronger && other.lag < LAG_MAX) || (as_strong && late && other.lag * 2 <= self.lag)
    }

    /// Asks peers whether another instance has taken over, which the store would tell if it could
    /// be reached from here.
    pub(super) fn ask_peers_in_trouble(&mut self, now: Instant) {
        let recent = now.saturating_duration_since(self.peers_asked_at) < PEERS_ASK_PERIOD;
        if recent || self.store_trouble(now) < LEADER_STORE_OUTAGE_MAX {
            return;
        }
        self.peers_asked_at = now;
        let heartbeat = CellCall::Heartbeat {
            address: self.own_address,
            epoch: self.head.epoch,
            leaving: false,
            lag_ms: 0,
            processor_millicores: self.processor_millicores,
        };
        let others = self
            .peers
            .keys()
            .copied()
            .filter(|it| *it != self.own_address);
        for address in others.take(OTHERS_TOLD) {
            let (peers, heartbeat) = (self.ports.peers.clone(), heartbeat.clone());
            let (epoch_lost, epoch) = (self.epoch_lost.clone(), self.head.epoch);
            tokio::spawn(async move {
                let row = ask_for_row(&peers, address, &heartbeat).await;
                if let Some(row) = row.filter(|row| row.record.epoch > epoch) {
                    // The receiver is gone only when the instance ends.
                    let _ = epoch_lost.send(EpochLost {
                        epoch,
                        row: Some(row),
                    });
                }
            });
        }
    }

    /// Measures the load of short questions, and how late ticks are handled, which tells how much
    /// this instance's processor lacks.
    pub(super) fn note_tick(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.ticked_at);
        let late = elapsed.saturating_sub(TICK_PERIOD);
        self.short_request_load.tick(elapsed);
        self.ticked_at = now;
        self.lag = self.lag.mul_f64(1.0 - LAG_GAIN) + late.mul_f64(LAG_GAIN);
    }

    /// Asks through the instance whose advisor is free first.
    pub(super) fn ask_advisor(
        &mut self,
        request: AdviceRequest,
        own: Address<Self, Weak>,
        now: Instant,
    ) {
        let own_address = self.own_address;
        // Some advisors answer short questions only, so that those never wait behind long ones.
        let advisors = self.peers.values().filter(|load| load.usable(now)).count();
        let reserved_against = self
            .short_request_load
            .reserved_against(request.expected, advisors);
        let least = self
            .peers
            .iter_mut()
            .filter(|(address, load)| **address == own_address || load.usable(now))
            .skip(reserved_against)
            .min_by_key(|(_, load)| load.advisor_free_at);
        let Some((address, load)) = least else {
            return;
        };
        let queued = load.advisor_free_at.saturating_duration_since(now);
        if queued > ADVISOR_BACKLOG_MAX {
            // The step asks again once its patience is over.
            return;
        }
        load.advisor_free_at = load.advisor_free_at.max(now) + request.expected;
        let through = *address;
        let ports = self.ports.clone();
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            let asked_at = Instant::now();
            let advised = if through == own_address {
                advisor::ask(&ports.advisor, request.clone()).await
            } else {
                ask_peer(&ports.peers, through, &request).await
            };
            let outcome = match &advised {
                AdviceOutcome::Answered(_) => "answered",
                AdviceOutcome::Busy(_) => "busy",
                AdviceOutcome::Unanswered => "failed",
            };
            metrics.call("advise", outcome, asked_at.elapsed());
            let answered = AdviceAnswered {
                request,
                through,
                advised,
            };
            let _ = own.send(answered).await;
        });
    }

    /// Asks an advisor no more until it has answered what an earlier scheduling instance asked.
    pub(super) fn note_busy_advisor(&mut self, through: SocketAddr, busy: Busy, now: Instant) {
        if let Some(load) = self.peers.get_mut(&through) {
            load.advisor_free_at = load.advisor_free_at.max(now + busy.free_in);
        }
    }
}

async fn ask_peer(
    peers: &PeerClient,
    through: SocketAddr,
    request: &AdviceRequest,
) -> AdviceOutcome {
    let call = CellCall::Advise {
        request: request.clone(),
    };
    let timeout = ADVISOR_BACKLOG_MAX + request.expected + ADVICE_MARGIN + PEER_CALL_MARGIN;
    match peers.call(through, SLICE, &call, timeout).await {
        Ok(CellAnswer::Advice { answer }) => AdviceOutcome::Answered(answer),
        Ok(CellAnswer::AdvisorBusy { free_in_ms }) => AdviceOutcome::Busy(Busy {
            free_in: Duration::from_millis(free_in_ms),
        }),
        // The instance has logged why its advisor did not answer.
        Ok(_) => AdviceOutcome::Unanswered,
        Err(error) => {
            warn!("advice through a peer failed", kv: {
                job = request.step.job.as_str(), peer: = through, cause: = error
            });
            AdviceOutcome::Unanswered
        }
    }
}
