//! Takes grants back and keeps the outcomes of non-idempotent requests.

use std::time::Instant;

use jackdawchute_types::{Refusal, RefusalReason, RequestKey};

use crate::{
    acquire::{known_outcome, outcome_effects},
    group::{GrantPhase, GrantRef, Group},
    keys::{Phase, Saved},
    AppendOutcome, AppendStep, CallId, Complete, Effect, GrantOutcome, JournaledKey, Reply,
    StoredAnswer,
};

impl Group {
    /// Takes a grant back; the reply waits until the outcome is journaled, if it needs to be.
    pub(crate) fn complete(
        &mut self,
        call: Option<CallId>,
        complete: Complete,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let grant = GrantRef {
            epoch: complete.epoch,
            id: complete.grant,
        };
        if !self.may_complete(grant, &complete) {
            let detail = format!("grant {} is not held by {}", grant.id, complete.holder);
            reply(
                call,
                Err(Refusal::unknown(RefusalReason::Invalid, detail)),
                effects,
            );
            return;
        }
        let ended = complete.outcome != GrantOutcome::AnswerLost;
        if ended && !self.open.contains_key(&grant) && !self.unaccounted.is_empty() {
            self.returned_early.insert(grant);
        }
        self.take_back(grant, &complete.outcome, now);
        if complete.outcome == GrantOutcome::AnswerLost {
            self.refuse_stuck(&complete.holder, now, effects);
        }
        match self.keys.by_grant(grant).cloned() {
            Some(key) => self.complete_key(call, &key, complete.outcome, now, effects),
            None => reply(call, Ok(Reply::Completed), effects),
        }
        self.pump(now, effects);
    }

    fn may_complete(&self, grant: GrantRef, complete: &Complete) -> bool {
        let key = self.keys.by_grant(grant);
        let recorded = key.and_then(|key| self.keys.get(key)?.grant.as_ref());
        let by_key = recorded.is_none_or(|(_, holder)| *holder == complete.holder);
        let by_grant = self.open.get(&grant).is_none_or(|open| {
            open.holder == complete.holder && !matches!(open.phase, GrantPhase::Journaling(_))
        });
        by_key && by_grant && complete.epoch <= self.epoch
    }

    /// Frees the slot, or keeps it counted while a request without answer may still run.
    fn take_back(&mut self, grant: GrantRef, outcome: &GrantOutcome, now: Instant) {
        let Some(minion) = self.open.get(&grant).map(|open| open.minion.clone()) else {
            return;
        };
        match outcome {
            GrantOutcome::AnswerLost => {
                self.linger(grant, now);
                return;
            }
            GrantOutcome::NotSent { connection_refused } => {
                if *connection_refused {
                    self.eject(&minion, now);
                }
            }
            GrantOutcome::Answered { .. } => {
                if let Some(minion) = self.minions.get_mut(&minion) {
                    minion.reinstate();
                }
            }
        }
        self.free_grant(grant, now);
    }

    /// Keeps the slot of a grant counted until its request has surely ended.
    pub(crate) fn linger(&mut self, grant: GrantRef, now: Instant) {
        self.release_ticket(grant, now);
        if let Some(open) = self.open.get_mut(&grant) {
            open.phase = GrantPhase::Lingering;
        }
    }

    /// Stops work for a minion that refuses connections, within the share that may be stopped.
    fn eject(&mut self, minion: &str, now: Instant) {
        let settings = &self.settings.ejection;
        let live = self.minions.values().filter(|m| m.live).count();
        let ejected = self
            .minions
            .iter()
            .filter(|(id, m)| m.live && m.is_ejected() && *id != minion)
            .count();
        if (ejected + 1) * 100 > live * settings.share_max_percent as usize {
            return;
        }
        if let Some(minion) = self.minions.get_mut(minion) {
            minion.eject(settings, now);
        }
    }

    fn complete_key(
        &mut self,
        call: Option<CallId>,
        key: &RequestKey,
        outcome: GrantOutcome,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(phase) = self.keys.get(key).map(|record| record.phase.clone()) else {
            return;
        };
        match (phase, outcome) {
            (Phase::Open | Phase::Unknown, GrantOutcome::Answered { answer }) => {
                let kept = answer.map(|answer| self.bounded(answer));
                self.settle(key, Phase::Answered(kept), now, effects);
                self.save_outcome(key, call, effects);
            }
            (Phase::Open | Phase::Unknown, GrantOutcome::NotSent { .. }) => {
                self.close_unsent(key, call, effects);
            }
            (Phase::Open, GrantOutcome::AnswerLost) => {
                self.settle(key, Phase::Unknown, now, effects);
                self.save_outcome(key, call, effects);
            }
            _ => reply(call, Ok(Reply::Completed), effects),
        }
    }

    fn bounded(&self, answer: StoredAnswer) -> StoredAnswer {
        let max = self.settings.retention.body_max_bytes;
        StoredAnswer {
            body: answer.body.filter(|body| body.len() <= max),
            ..answer
        }
    }

    /// Notes the outcome of a key and answers the calls that wait for it.
    pub(crate) fn settle(
        &mut self,
        key: &RequestKey,
        phase: Phase,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        self.keys.finish(key, phase.clone(), now);
        let Some(outcome) = known_outcome(&phase) else {
            return;
        };
        for waiting in self.keys.take_waiters(key) {
            effects.extend(outcome_effects(&waiting, outcome.clone()));
        }
    }

    /// Tells the journal that the request of a key surely never ran.
    pub(crate) fn close_unsent(
        &mut self,
        key: &RequestKey,
        call: Option<CallId>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(record) = self.keys.get_mut(key) {
            record.phase = Phase::Closing;
            record.done = None;
        }
        self.save_outcome(key, call, effects);
    }

    /// The outcome of a key as it goes into the journal.
    pub(crate) fn journaled_outcome(&self, key: &RequestKey) -> Option<JournaledKey> {
        let record = self.keys.get(key)?;
        let grant = record.grant.as_ref().map(|(grant, _)| grant);
        let open = grant.and_then(|grant| self.open.get(grant));
        record.journaled_outcome(open.map(|open| open.minion.clone()))
    }

    /// Journals the outcome of a key.
    pub(crate) fn save_outcome(
        &mut self,
        key: &RequestKey,
        call: Option<CallId>,
        effects: &mut Vec<Effect>,
    ) {
        let outcome = self.journaled_outcome(key);
        let Some(record) = self.keys.get_mut(key) else {
            return;
        };
        if outcome.is_none() && record.phase != Phase::Closing {
            reply(call, Ok(Reply::Completed), effects);
            return;
        }
        record.revision += 1;
        let step = AppendStep::Outcome {
            call,
            revision: record.revision,
        };
        self.keys.set_saved(key, Saved::OnTheWay);
        effects.push(Effect::Append {
            purpose: self.purpose(step, key),
            records: vec![(key.clone(), outcome)],
        });
    }

    /// Goes on after an outcome was journaled or was not.
    pub(crate) fn outcome_appended(
        &mut self,
        key: &RequestKey,
        (call, revision): (Option<CallId>, u64),
        outcome: AppendOutcome,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let kept = outcome == AppendOutcome::Journaled;
        if let AppendOutcome::NotJournaled { store_down } = outcome {
            self.journal_down |= store_down;
        }
        let last = self.keys.get(key).is_some_and(|r| r.revision == revision);
        if last {
            let saved = if kept { Saved::Yes } else { Saved::No };
            self.keys.set_saved(key, saved);
        }
        let closed = self
            .keys
            .get(key)
            .is_some_and(|r| r.phase == Phase::Closing);
        if last && kept && closed {
            if let Some(record) = self.keys.get_mut(key) {
                record.in_journal = false;
            }
            self.forget_key(key, now, effects);
        }
        let result = if kept {
            Ok(Reply::Completed)
        } else {
            Err(Refusal::unknown(
                RefusalReason::StoreUnavailable,
                "the outcome is known but not journaled yet",
            ))
        };
        reply(call, result, effects);
        self.pump(now, effects);
    }
}

fn reply(
    call: Option<CallId>,
    result: std::result::Result<Reply, Refusal>,
    effects: &mut Vec<Effect>,
) {
    if let Some(call) = call {
        effects.push(Effect::Reply { call, result });
    }
}
