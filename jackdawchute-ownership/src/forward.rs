//! Asks peers to carry a commit, and answers when they ask.

use std::time::{Duration, Instant};

use jackdawchute_ports::WriteId;
use jackdawchute_types::{CallError, IncarnationId};

use crate::{
    effect::Effect,
    messages::{Call, Reply},
    pending_commit::CommitStep,
    rows::{decode, IncarnationRow},
    state::State,
    takeover::promise,
    view::Versioned,
};

impl State {
    /// The table does not answer: every peer is asked to bring the commit, or to promise that it
    /// does not fence this incarnation.
    pub(crate) fn ask_peers(&mut self, effects: &mut Vec<Effect>) {
        let peers: Vec<_> = self
            .peers()
            .map(|(id, address)| (id.clone(), address))
            .collect();
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.step = match peers.len() {
            0 => CommitStep::AwaitingRetry,
            asked => CommitStep::Asking(asked),
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

    /// A peer answered, or did not, a call about the commit `write_id` that was sent at `asked`.
    pub fn peer_answered(
        &mut self,
        peer: &IncarnationId,
        write_id: &WriteId,
        asked: Instant,
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
                self.promised(peer, asked + *hold_off);
            }
        }
        if self.is_pending(write_id) {
            self.peer_answered_pending(answer, &mut effects);
        }
        self.pump(now, &mut effects);
        effects
    }

    fn promised(&mut self, peer: &IncarnationId, until: Instant) {
        let promise = self
            .owner_lease
            .promises
            .entry(peer.clone())
            .or_insert(until);
        *promise = until.max(*promise);
    }

    fn peer_answered_pending(
        &mut self,
        answer: Result<Reply, CallError>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(pending) = &mut self.pending {
            pending.outcome_unknown |= leaves_doubt(&answer);
            if let CommitStep::Asking(left) = &mut pending.step {
                *left -= 1;
                match *left {
                    0 => pending.step = CommitStep::AwaitingRetry,
                    // The calls that are still under way may bring the commit after this answer.
                    _ => {
                        pending.outcome_unknown |=
                            matches!(answer, Ok(Reply::CommitForwarded { .. }))
                    }
                }
            }
        }
        if let Ok(Reply::CommitForwarded { outcome, row }) = answer {
            match row.as_ref().and_then(own_row) {
                Some(row) => self.settle(Some(&row), effects),
                None => self.answered(outcome, effects),
            }
        }
    }

    /// How long this instance promises not to fence a holder, zero if it cannot promise.
    pub fn hold_off(&mut self, holder: &IncarnationId, now: Instant) -> Duration {
        let fence = self
            .pending
            .as_ref()
            .and_then(|pending| pending.plan.fence.as_ref());
        let is_fencing = fence.is_some_and(|fence| fence.incarnation == *holder);
        let promised = promise(is_fencing, self.timing.hold_off);
        self.held_off.retain(|_, until| *until > now);
        if !promised.is_zero() {
            self.held_off.insert(holder.clone(), now + promised);
        }
        promised
    }
}

/// Whether the commit may have taken effect although the peer brought no answer of the table.
fn leaves_doubt(answer: &Result<Reply, CallError>) -> bool {
    match answer {
        Ok(Reply::CommitNotForwarded { in_doubt, .. }) => *in_doubt,
        Ok(Reply::CommitForwarded { .. }) => false,
        Ok(Reply::Acknowledged) => true,
        Err(error) => !error.is_undelivered(),
    }
}

fn own_row(row: &jackdawchute_ports::Row) -> Option<Versioned<IncarnationRow>> {
    Some(Versioned {
        version: row.version,
        row: Some(decode(row.value.as_ref()?)?),
    })
}
