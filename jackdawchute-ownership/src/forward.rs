//! Forwards commits through peers, and gives promises to peers that ask.

use std::time::{Duration, Instant};

use jackdawchute_ports::WriteId;
use jackdawchute_types::{CallError, IncarnationId};

use crate::{
    effect::Effect,
    messages::{Call, Reply},
    pending_commit::CommitStep,
    rows::{decode, IncarnationRow},
    state::State,
    takeover::promise_duration,
    view::Versioned,
};

impl State {
    /// Asks every peer to forward the pending commit, because the table does not answer; a peer
    /// that does not reach the table either may promise not to fence this incarnation.
    pub(crate) fn ask_peers_to_forward(&mut self, effects: &mut Vec<Effect>) {
        let peers: Vec<_> = self
            .peers()
            .map(|(id, address)| (id.clone(), address))
            .collect();
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.step = match peers.len() {
            0 => CommitStep::AwaitingRetry,
            peer_count => CommitStep::AskingPeers(peer_count),
        };
        for (peer, address) in peers {
            let call = Call::ForwardCommit {
                holder: self.identity.incarnation.clone(),
                commit: pending.commit.clone(),
            };
            effects.push(Effect::CallPeer {
                peer,
                address,
                call,
            });
        }
    }

    /// Handles the answer of a peer, or the failure of the call, about the commit `write_id`;
    /// `asked_at` is when the call was sent.
    pub fn peer_answered(
        &mut self,
        peer: &IncarnationId,
        write_id: &WriteId,
        asked_at: Instant,
        answer: Result<Reply, CallError>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Ok(Reply::CommitNotForwarded {
            incarnation,
            hold_off,
            ..
        }) = &answer
        {
            if incarnation == peer && !hold_off.is_zero() {
                self.record_promise(peer, asked_at + *hold_off);
            }
        }
        if self.is_pending(write_id) {
            self.apply_peer_answer(answer, &mut effects);
        }
        self.send_next_commit(now, &mut effects);
        effects
    }

    fn record_promise(&mut self, peer: &IncarnationId, until: Instant) {
        let promise = self
            .owner_lease
            .promises
            .entry(peer.clone())
            .or_insert(until);
        *promise = until.max(*promise);
    }

    fn apply_peer_answer(&mut self, answer: Result<Reply, CallError>, effects: &mut Vec<Effect>) {
        if let Some(pending) = &mut self.pending {
            pending.outcome_unknown |= leaves_outcome_unknown(&answer);
            if let CommitStep::AskingPeers(outstanding) = &mut pending.step {
                *outstanding -= 1;
                match *outstanding {
                    0 => pending.step = CommitStep::AwaitingRetry,
                    // The calls that are still in flight may forward the commit after this answer.
                    _ => {
                        pending.outcome_unknown |=
                            matches!(answer, Ok(Reply::CommitForwarded { .. }))
                    }
                }
            }
        }
        if let Ok(Reply::CommitForwarded { outcome, row }) = answer {
            match row.as_ref().and_then(parse_own_row) {
                Some(row) => self.resolve_pending(Some(&row), effects),
                None => self.commit_answered(outcome, effects),
            }
        }
    }

    /// Returns how long this instance promises not to fence a holder; zero if it cannot promise,
    /// because a fence of the holder is in flight.
    pub fn give_promise(&mut self, holder: &IncarnationId, now: Instant) -> Duration {
        let fence = self
            .pending
            .as_ref()
            .and_then(|pending| pending.plan.fence.as_ref());
        let is_fencing = fence.is_some_and(|fence| fence.incarnation == *holder);
        let promised = promise_duration(is_fencing, self.timing.hold_off);
        self.promises_given.retain(|_, until| *until > now);
        if !promised.is_zero() {
            self.promises_given.insert(holder.clone(), now + promised);
        }
        promised
    }
}

/// Whether the commit may have taken effect although the peer did not return an answer of the
/// table.
fn leaves_outcome_unknown(answer: &Result<Reply, CallError>) -> bool {
    match answer {
        Ok(Reply::CommitNotForwarded {
            outcome_unknown, ..
        }) => *outcome_unknown,
        Ok(Reply::CommitForwarded { .. }) => false,
        Ok(Reply::Acknowledged) => true,
        Err(error) => !error.is_undelivered(),
    }
}

fn parse_own_row(row: &jackdawchute_ports::Row) -> Option<Versioned<IncarnationRow>> {
    Some(Versioned {
        version: row.version,
        row: Some(decode(row.value.as_ref()?)?),
    })
}
