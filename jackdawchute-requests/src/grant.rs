//! Grants slots to waiting calls.

use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use jackdawchute_admission::WorkItem;
use jackdawchute_types::{ClassId, IncarnationId, MinionId, Refusal, RefusalReason, RequestKey};

use crate::{
    group::{GrantPhase, GrantRef, Group, OpenGrant, ParkedFor, WaitingCall},
    keys::{KeyPhase, SaveState},
    AppendOutcome, AppendStep, Effect, Grant, JournaledKey, JournaledState, Reply,
};

/// Removes the first call of the class that follows `last` in round-robin order, so that many
/// parked calls of one class do not delay the other classes.
fn take_round_robin(
    queue: &mut VecDeque<WaitingCall>,
    last: Option<&ClassId>,
) -> Option<WaitingCall> {
    let classes: BTreeSet<&ClassId> = queue.iter().map(|waiting| &waiting.acquire.class).collect();
    let next = classes
        .iter()
        .find(|class| last.is_none_or(|last| **class > last));
    let class = (*next.or(classes.first())?).clone();
    let index = queue
        .iter()
        .position(|waiting| waiting.acquire.class == class)?;
    queue.remove(index)
}

impl Group {
    /// Grants free slots to waiting calls in the order of the admission policy.
    pub(crate) fn grant_waiting(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.may_grant {
            return;
        }
        loop {
            self.unpark(now, effects);
            if !self.grant_queued(now, effects) {
                return;
            }
        }
    }

    /// Grants until no slot is free or no call is queued; returns whether any slot was granted.
    fn grant_queued(&mut self, now: Instant, effects: &mut Vec<Effect>) -> bool {
        let mut granted = false;
        loop {
            self.admission
                .set_capacity(self.used_units + self.free_slots(now));
            let Some(work_item) = self.admission.next(now) else {
                return granted;
            };
            self.used_units += work_item.cost;
            let Some(waiting) = self.queued.remove(&work_item.id) else {
                self.return_work_item(&work_item);
                continue;
            };
            granted |= self.try_grant(work_item, waiting, now, effects);
        }
    }

    /// Returns a work item that was not granted a slot to the admission policy.
    fn return_work_item(&mut self, work_item: &WorkItem) {
        self.used_units = self.used_units.saturating_sub(work_item.cost);
        self.admission.release(work_item, Duration::ZERO);
    }

    /// Queues one parked call for each reason that no longer applies.
    fn unpark(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let reasons: Vec<ParkedFor> = self.parked.keys().cloned().collect();
        for reason in reasons {
            let may_queue = match &reason {
                ParkedFor::Journal => self.accepts_intents(),
                ParkedFor::Registration(holder) => {
                    self.is_registered(holder) || self.may_register(holder)
                }
                ParkedFor::Holder(holder) => self.choose_minion(holder, &[], false, now).is_some(),
            };
            let Some(queue) = self.parked.get_mut(&reason).filter(|_| may_queue) else {
                continue;
            };
            let next = take_round_robin(queue, self.last_unparked_class.get(&reason));
            if queue.is_empty() {
                self.parked.remove(&reason);
            }
            if let Some(waiting) = next {
                let class = waiting.acquire.class.clone();
                self.last_unparked_class.insert(reason, class);
                self.enqueue(waiting, now, effects);
            }
        }
    }

    /// Returns whether the journal is available and another intent may be journaled now.
    fn accepts_intents(&self) -> bool {
        let slots: u32 = self.minions.values().map(|minion| minion.slots).sum();
        let max = slots * self.settings.grants.intents_max_percent / 100;
        !self.journal_down && self.pending_intents < max.max(1) as usize
    }

    /// Grants a slot to a call, or parks the call; returns whether a slot was granted.
    fn try_grant(
        &mut self,
        work_item: WorkItem,
        waiting: WaitingCall,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let key = waiting.acquire.journaled_key().cloned();
        if key.is_some() && !self.accepts_intents() {
            self.return_work_item(&work_item);
            self.park(ParkedFor::Journal, waiting, now, effects);
            return false;
        }
        let holder = waiting.acquire.holder.clone();
        if key.is_none() && !self.is_registered(&holder) {
            self.return_work_item(&work_item);
            if self.may_register(&holder) {
                self.register([&holder].into_iter(), effects);
            }
            self.park(ParkedFor::Registration(holder), waiting, now, effects);
            return false;
        }
        let failed_on = &waiting.acquire.failed_on;
        let Some(minion) = self.choose_minion(&holder, failed_on, key.is_some(), now) else {
            self.return_work_item(&work_item);
            self.park(ParkedFor::Holder(holder.clone()), waiting, now, effects);
            self.refuse_if_share_exhausted(&holder, now, effects);
            return false;
        };
        let grant = self.open_grant(work_item, minion, holder, key.clone(), now);
        match key {
            Some(key) => self.journal_intent(grant, &key, waiting, effects),
            None => self.send_grant(grant, &waiting, now, effects),
        }
        true
    }

    /// Refuses the parked calls of a holder whose share of slots is used up by requests whose
    /// responses were lost: none of these slots is released before their requests are known to have
    /// ended, while another group may have free slots.
    pub(crate) fn refuse_if_share_exhausted(
        &mut self,
        holder: &IncarnationId,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let mut held_grants = self
            .open_grants
            .values()
            .filter(|open| open.holder == *holder && open.key.is_none())
            .peekable();
        let exhausted = held_grants.peek().is_some()
            && held_grants.all(|open| matches!(open.phase, GrantPhase::AwaitingEnd));
        if !exhausted {
            return;
        }
        let parked = self.parked.remove(&ParkedFor::Holder(holder.clone()));
        for waiting in parked.into_iter().flatten() {
            let detail = "the instance's slots may all still run requests without an answer";
            let refusal = Refusal::not_run(RefusalReason::QueueFull, detail);
            self.refuse(waiting, refusal, now, effects);
        }
    }

    /// Chooses the minion with the most free slots, in rotation among equal ones. A minion on which
    /// the request failed before is chosen last, so that not all attempts go to the same one.
    fn choose_minion(
        &self,
        holder: &IncarnationId,
        failed_on: &[MinionId],
        journaled: bool,
        now: Instant,
    ) -> Option<MinionId> {
        let held_back = self.held_back();
        // A holder that has not reported its grants may already hold its whole share.
        let holder_max = match self.unaccounted.contains_key(holder) {
            true => 0,
            false => self.settings.grants.hold_back_slots,
        };
        let count = self.minions.len().max(1);
        self.minions
            .iter()
            .enumerate()
            .filter(|(_, (_, minion))| journaled || minion.unjournaled_held_by(holder) < holder_max)
            .map(|(index, (id, minion))| (minion.free_slots(held_back, now), index, id))
            .filter(|(free, _, _)| *free > 0)
            .max_by_key(|(free, index, id)| {
                let turn = (index + self.rotation) % count;
                (!failed_on.contains(id), *free, turn)
            })
            .map(|(_, _, id)| id.clone())
    }

    /// Counts a new grant against the slots of `minion`.
    fn open_grant(
        &mut self,
        work_item: WorkItem,
        minion: MinionId,
        holder: IncarnationId,
        key: Option<RequestKey>,
        now: Instant,
    ) -> GrantRef {
        self.rotation = self.rotation.wrapping_add(1);
        if let Some(minion) = self.minions.get_mut(&minion) {
            minion.occupy_slot(&holder, key.is_some());
        }
        let grant = GrantRef {
            epoch: self.epoch,
            id: self.next_id(),
        };
        if let Some(key) = &key {
            self.keys.set_grant(key, grant, holder.clone());
        }
        let open = OpenGrant {
            minion,
            holder,
            key,
            work_item: Some(work_item),
            granted_at: now,
            ends_by: now + self.settings.grants.ended_after(),
            phase: GrantPhase::Granted,
            reported_missing: false,
        };
        self.open_grants.insert(grant, open);
        grant
    }

    fn journal_intent(
        &mut self,
        grant: GrantRef,
        key: &RequestKey,
        waiting: WaitingCall,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open_grants.get_mut(&grant) else {
            return;
        };
        let intent = JournaledKey {
            digest: waiting.acquire.digest,
            epoch: grant.epoch,
            grant: grant.id,
            holder: open.holder.clone(),
            state: JournaledState::Intent {
                minion: open.minion.clone(),
                ended_after: self.settings.grants.ended_after(),
            },
        };
        open.phase = GrantPhase::Journaling(Some(Box::new(waiting)));
        if let Some(record) = self.keys.get_mut(key) {
            record.phase = KeyPhase::Journaling;
            record.may_be_journaled = true;
        }
        self.pending_intents += 1;
        effects.push(Effect::Append {
            purpose: self.purpose(AppendStep::Intent, key),
            records: vec![(key.clone(), Some(intent))],
        });
    }

    /// Answers the call of the holder with the grant.
    fn send_grant(
        &mut self,
        grant: GrantRef,
        waiting: &WaitingCall,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open_grants.get_mut(&grant) else {
            return;
        };
        let Some(minion) = self.minions.get(&open.minion) else {
            return;
        };
        let settings = &self.settings.grants;
        open.phase = GrantPhase::Granted;
        open.granted_at = now;
        open.ends_by = now + settings.ended_after();
        let waited = now.saturating_duration_since(waiting.received_at);
        effects.push(Effect::CountGrant {
            class: waiting.acquire.class.clone(),
            waited,
        });
        effects.push(Effect::Reply {
            call: waiting.call,
            result: Ok(Reply::Granted(Grant {
                id: grant.id,
                group: self.id.clone(),
                epoch: grant.epoch,
                minion: open.minion.clone(),
                address: minion.address,
                send_within: settings.send_within,
                life: settings.life,
                waited,
                transit_max: settings.transit_max,
                ended_after: settings.ended_after(),
            })),
        });
    }

    /// Processes the result of journaling an intent.
    pub(crate) fn intent_appended(
        &mut self,
        key: &RequestKey,
        outcome: AppendOutcome,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        self.pending_intents = self.pending_intents.saturating_sub(1);
        let Some(grant) = self.keys.get(key).and_then(|record| record.grant.clone()) else {
            return;
        };
        let grant = grant.0;
        let waiting = match self.open_grants.get_mut(&grant).map(|open| &mut open.phase) {
            Some(GrantPhase::Journaling(waiting)) => waiting.take().map(|waiting| *waiting),
            _ => return,
        };
        match (outcome, waiting) {
            (AppendOutcome::Journaled, Some(waiting)) if !self.minion_accepts_work(grant) => {
                self.free_grant(grant, now);
                self.requeue(key, waiting, now, effects);
            }
            (AppendOutcome::Journaled, Some(waiting)) => {
                if let Some(record) = self.keys.get_mut(key) {
                    record.phase = KeyPhase::Granted;
                }
                self.send_grant(grant, &waiting, now, effects);
            }
            (AppendOutcome::Journaled, None) => {
                self.free_grant(grant, now);
                self.remove_intent(key, None, effects);
            }
            (AppendOutcome::NotJournaled { store_down }, waiting) => {
                self.free_grant(grant, now);
                self.intent_not_journaled(key, store_down, waiting, now, effects);
            }
            (AppendOutcome::Unknown, waiting) => {
                self.free_grant(grant, now);
                self.intent_outcome_unknown(key, waiting, now, effects);
            }
        }
        self.grant_waiting(now, effects);
    }

    /// Returns whether the minion of a grant that was not sent yet is still live.
    fn minion_accepts_work(&self, grant: GrantRef) -> bool {
        let minion = self.open_grants.get(&grant).map(|open| &open.minion);
        minion
            .and_then(|minion| self.minions.get(minion))
            .is_some_and(|minion| minion.live)
    }

    /// Queues a call again whose grant was never sent; its next intent replaces the journaled one.
    fn requeue(
        &mut self,
        key: &RequestKey,
        waiting: WaitingCall,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(record) = self.keys.get_mut(key) {
            record.phase = KeyPhase::Queued;
        }
        self.enqueue(waiting, now, effects);
    }

    fn intent_not_journaled(
        &mut self,
        key: &RequestKey,
        store_down: bool,
        waiting: Option<WaitingCall>,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        self.journal_down |= store_down;
        if let Some(record) = self.keys.get_mut(key) {
            record.may_be_journaled = false;
        }
        let Some(waiting) = waiting else {
            self.remove_key(key, now, effects);
            return;
        };
        if store_down {
            if let Some(record) = self.keys.get_mut(key) {
                record.phase = KeyPhase::Queued;
            }
            self.park(ParkedFor::Journal, waiting, now, effects);
            return;
        }
        let refusal = Refusal::not_run(RefusalReason::OwnerUnavailable, "the owner was replaced");
        self.refuse(waiting, refusal, now, effects);
    }

    /// Refuses a call after the append of its intent had an unknown outcome. The grant is never
    /// sent, so the request does not run, but its key cannot be used again.
    fn intent_outcome_unknown(
        &mut self,
        key: &RequestKey,
        waiting: Option<WaitingCall>,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(waiting) = waiting {
            let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, "no journal answer");
            effects.extend(crate::group::refusal_effects(&waiting, refusal));
        }
        self.finish_key(key, KeyPhase::OutcomeUnknown, now, effects);
        self.keys.set_saved(key, SaveState::Unsaved);
    }
}
