//! Releases grants and journals the outcomes of non-idempotent requests.

use std::time::Instant;

use jackdawchute_types::{Refusal, RefusalReason, RequestKey};

use crate::{
    acquire::{known_outcome, outcome_effects},
    group::{GrantPhase, GrantRef, Group},
    keys::{KeyPhase, SaveState},
    AppendOutcome, AppendStep, CallId, Complete, Effect, GrantOutcome, JournaledKey, Reply,
    StoredAnswer,
};

impl Group {
    /// Processes the outcome of a grant. For a keyed request, the reply waits until the outcome is
    /// journaled.
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
        let has_ended = complete.outcome != GrantOutcome::AnswerLost;
        if has_ended && !self.open_grants.contains_key(&grant) && !self.unaccounted.is_empty() {
            self.released_early.insert(grant);
        }
        self.apply_outcome(grant, &complete.outcome, now);
        if complete.outcome == GrantOutcome::AnswerLost {
            self.refuse_if_share_exhausted(&complete.holder, now, effects);
        }
        match self.keys.by_grant(grant).cloned() {
            Some(key) => self.complete_key(call, &key, complete.outcome, now, effects),
            None => reply(call, Ok(Reply::Completed), effects),
        }
        self.grant_waiting(now, effects);
    }

    fn may_complete(&self, grant: GrantRef, complete: &Complete) -> bool {
        let key = self.keys.by_grant(grant);
        let recorded = key.and_then(|key| self.keys.get(key)?.grant.as_ref());
        let by_key = recorded.is_none_or(|(_, holder)| *holder == complete.holder);
        let by_grant = self.open_grants.get(&grant).is_none_or(|open| {
            open.holder == complete.holder && !matches!(open.phase, GrantPhase::Journaling(_))
        });
        by_key && by_grant && complete.epoch <= self.epoch
    }

    /// Frees the slot, or keeps it counted while a request whose response was lost may still run.
    fn apply_outcome(&mut self, grant: GrantRef, outcome: &GrantOutcome, now: Instant) {
        let Some(minion) = self.open_grants.get(&grant).map(|open| open.minion.clone()) else {
            return;
        };
        match outcome {
            GrantOutcome::AnswerLost => {
                self.keep_until_end(grant, now);
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

    /// Keeps the slot of a grant counted until `ends_by`, when its request is known to have ended.
    pub(crate) fn keep_until_end(&mut self, grant: GrantRef, now: Instant) {
        self.release_work_item(grant, now);
        if let Some(open) = self.open_grants.get_mut(&grant) {
            open.phase = GrantPhase::AwaitingEnd;
        }
    }

    /// Ejects a minion that refuses connections, unless too large a share of minions would be
    /// ejected.
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
            (KeyPhase::Granted | KeyPhase::OutcomeUnknown, GrantOutcome::Answered { answer }) => {
                let retained = answer.map(|answer| self.limit_body(answer));
                self.finish_key(key, KeyPhase::Answered(retained), now, effects);
                self.save_outcome(key, call, effects);
            }
            (KeyPhase::Granted | KeyPhase::OutcomeUnknown, GrantOutcome::NotSent { .. }) => {
                self.remove_intent(key, call, effects);
            }
            (KeyPhase::Granted, GrantOutcome::AnswerLost) => {
                self.finish_key(key, KeyPhase::OutcomeUnknown, now, effects);
                self.save_outcome(key, call, effects);
            }
            _ => reply(call, Ok(Reply::Completed), effects),
        }
    }

    fn limit_body(&self, answer: StoredAnswer) -> StoredAnswer {
        let max = self.settings.retention.body_max_bytes;
        StoredAnswer {
            body: answer.body.filter(|body| body.len() <= max),
            ..answer
        }
    }

    /// Records the outcome of a key and answers the calls that wait for it.
    pub(crate) fn finish_key(
        &mut self,
        key: &RequestKey,
        phase: KeyPhase,
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

    /// Removes the journaled intent of a key whose request never ran.
    pub(crate) fn remove_intent(
        &mut self,
        key: &RequestKey,
        call: Option<CallId>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(record) = self.keys.get_mut(key) {
            record.phase = KeyPhase::RemovingIntent;
            record.finished_at = None;
        }
        self.save_outcome(key, call, effects);
    }

    /// Returns the outcome of a key as a journal record; `None` if there is none to journal.
    pub(crate) fn journaled_outcome(&self, key: &RequestKey) -> Option<JournaledKey> {
        let record = self.keys.get(key)?;
        let grant = record.grant.as_ref().map(|(grant, _)| grant);
        let open = grant.and_then(|grant| self.open_grants.get(grant));
        record.journaled_outcome(open.map(|open| open.minion.clone()))
    }

    /// Journals the outcome of a key, or removes its intent.
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
        if outcome.is_none() && record.phase != KeyPhase::RemovingIntent {
            reply(call, Ok(Reply::Completed), effects);
            return;
        }
        record.revision += 1;
        let step = AppendStep::Outcome {
            call,
            revision: record.revision,
        };
        self.keys.set_saved(key, SaveState::Saving);
        effects.push(Effect::Append {
            purpose: self.purpose(step, key),
            records: vec![(key.clone(), outcome)],
        });
    }

    /// Processes the result of journaling an outcome.
    pub(crate) fn outcome_appended(
        &mut self,
        key: &RequestKey,
        (call, revision): (Option<CallId>, u64),
        outcome: AppendOutcome,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let journaled = outcome == AppendOutcome::Journaled;
        if let AppendOutcome::NotJournaled { store_down } = outcome {
            self.journal_down |= store_down;
        }
        let is_latest = self.keys.get(key).is_some_and(|r| r.revision == revision);
        if is_latest {
            let saved = if journaled {
                SaveState::Saved
            } else {
                SaveState::Unsaved
            };
            self.keys.set_saved(key, saved);
        }
        let removed = self
            .keys
            .get(key)
            .is_some_and(|r| r.phase == KeyPhase::RemovingIntent);
        if is_latest && journaled && removed {
            if let Some(record) = self.keys.get_mut(key) {
                record.may_be_journaled = false;
            }
            self.remove_key(key, now, effects);
        }
        let result = if journaled {
            Ok(Reply::Completed)
        } else {
            Err(Refusal::unknown(
                RefusalReason::StoreUnavailable,
                "the outcome is known but not journaled yet",
            ))
        };
        reply(call, result, effects);
        self.grant_waiting(now, effects);
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
