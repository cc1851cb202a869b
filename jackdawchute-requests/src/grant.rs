//! Grants slots to calls that wait.

use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use jackdawchute_admission::WorkItem;
use jackdawchute_types::{ClassId, IncarnationId, MinionId, Refusal, RefusalReason, RequestKey};

use crate::{
    group::{GrantPhase, GrantRef, Group, OpenGrant, ParkedFor, Waiting},
    keys::{Phase, Saved},
    AppendOutcome, AppendStep, Effect, Grant, JournaledKey, JournaledState, Reply,
};

/// Takes the first call of the class after `last`, so that a flood of one class that is parked
/// holds up no other.
fn take_turn(queue: &mut VecDeque<Waiting>, last: Option<&ClassId>) -> Option<Waiting> {
    let classes: BTreeSet<&ClassId> = queue.iter().map(|waiting| &waiting.acquire.class).collect();
    let after = classes
        .iter()
        .find(|class| last.is_none_or(|last| **class > last));
    let class = (*after.or(classes.first())?).clone();
    let index = queue
        .iter()
        .position(|waiting| waiting.acquire.class == class)?;
    queue.remove(index)
}

impl Group {
    /// Grants free slots in the order of the admission policy.
    pub(crate) fn pump(&mut self, now: Instant, effects: &mut Vec<Effect>) {
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

    /// Grants until no slot is free or nothing waits; `true` if it granted anything.
    fn grant_queued(&mut self, now: Instant, effects: &mut Vec<Effect>) -> bool {
        let mut granted = false;
        loop {
            self.admission
                .set_capacity(self.used_units + self.free_slots(now));
            let Some(work_item) = self.admission.next(now) else {
                return granted;
            };
            self.used_units += work_item.cost;
            let Some(waiting) = self.waiting.remove(&work_item.id) else {
                self.put_down(&work_item);
                continue;
            };
            granted |= self.start(work_item, waiting, now, effects);
        }
    }

    /// Returns a ticket that did not start.
    fn put_down(&mut self, work_item: &WorkItem) {
        self.used_units = self.used_units.saturating_sub(work_item.cost);
        self.admission.release(work_item, Duration::ZERO);
    }

    /// Queues the first parked call of each reason that does not hold any more.
    fn unpark(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let reasons: Vec<ParkedFor> = self.parked.keys().cloned().collect();
        for reason in reasons {
            let clear = match &reason {
                ParkedFor::Journal => self.journal_takes_intents(),
                ParkedFor::Registration(holder) => {
                    self.is_registered(holder) || self.may_register(holder)
                }
                ParkedFor::Holder(holder) => self.choose_minion(holder, &[], false, now).is_some(),
            };
            let Some(queue) = self.parked.get_mut(&reason).filter(|_| clear) else {
                continue;
            };
            let next = take_turn(queue, self.unparked.get(&reason));
            if queue.is_empty() {
                self.parked.remove(&reason);
            }
            if let Some(waiting) = next {
                let class = waiting.acquire.class.clone();
                self.unparked.insert(reason, class);
                self.enqueue(waiting, now, effects);
            }
        }
    }

    fn journal_takes_intents(&self) -> bool {
        let slots: u32 = self.minions.values().map(|minion| minion.slots).sum();
        let max = slots * self.settings.grants.intents_max_percent / 100;
        !self.journal_down && self.intents < max.max(1) as usize
    }

    fn start(
        &mut self,
        work_item: WorkItem,
        waiting: Waiting,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let key = waiting.acquire.journaled_key().cloned();
        if key.is_some() && !self.journal_takes_intents() {
            self.put_down(&work_item);
            self.park(ParkedFor::Journal, waiting, now, effects);
            return false;
        }
        let holder = waiting.acquire.holder.clone();
        if key.is_none() && !self.is_registered(&holder) {
            self.put_down(&work_item);
            if self.may_register(&holder) {
                self.register([&holder].into_iter(), effects);
            }
            self.park(ParkedFor::Registration(holder), waiting, now, effects);
            return false;
        }
        let failed_on = &waiting.acquire.failed_on;
        let Some(minion) = self.choose_minion(&holder, failed_on, key.is_some(), now) else {
            self.put_down(&work_item);
            self.park(ParkedFor::Holder(holder.clone()), waiting, now, effects);
            self.refuse_stuck(&holder, now, effects);
            return false;
        };
        let grant = self.open_grant(work_item, minion, holder, key.clone(), now);
        match key {
            Some(key) => self.journal_intent(grant, &key, waiting, effects),
            None => self.give(grant, &waiting, now, effects),
        }
        true
    }

    /// Refuses the calls that wait for a share of their holder which is all taken by requests
    /// without an answer: nothing of it is given back before these have surely ended, and another
    /// group may have room.
    pub(crate) fn refuse_stuck(
        &mut self,
        holder: &IncarnationId,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let mut held = self
            .open
            .values()
            .filter(|open| open.holder == *holder && open.key.is_none())
            .peekable();
        let stuck =
            held.peek().is_some() && held.all(|open| matches!(open.phase, GrantPhase::Lingering));
        if !stuck {
            return;
        }
        let parked = self.parked.remove(&ParkedFor::Holder(holder.clone()));
        for waiting in parked.into_iter().flatten() {
            let detail = "the instance's slots may all still run requests without an answer";
            let refusal = Refusal::not_run(RefusalReason::QueueFull, detail);
            self.refuse(waiting, refusal, now, effects);
        }
    }

    /// The minion with the largest free share; equal ones take turns. One on which the request
    /// failed before comes last, so that its attempts do not all end there.
    fn choose_minion(
        &self,
        holder: &IncarnationId,
        failed_on: &[MinionId],
        journaled: bool,
        now: Instant,
    ) -> Option<MinionId> {
        let held_back = self.held_back();
        // Until a holder told what it holds, it may already have as many as it may have.
        let holder_max = match self.unaccounted.contains_key(holder) {
            true => 0,
            false => self.settings.grants.hold_back_slots,
        };
        let count = self.minions.len().max(1);
        self.minions
            .iter()
            .enumerate()
            .filter(|(_, (_, minion))| journaled || minion.held_by(holder) < holder_max)
            .map(|(index, (id, minion))| (minion.free(held_back, now), index, id))
            .filter(|(free, _, _)| *free > 0)
            .max_by_key(|(free, index, id)| {
                let turn = (index + self.rotation) % count;
                (!failed_on.contains(id), *free, turn)
            })
            .map(|(_, _, id)| id.clone())
    }

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
            minion.take(&holder, key.is_some());
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
            since: now,
            ends: now + self.settings.grants.ended_after(),
            phase: GrantPhase::Given,
            missing: false,
        };
        self.open.insert(grant, open);
        grant
    }

    fn journal_intent(
        &mut self,
        grant: GrantRef,
        key: &RequestKey,
        waiting: Waiting,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get_mut(&grant) else {
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
            record.phase = Phase::Journaling;
            record.in_journal = true;
        }
        self.intents += 1;
        effects.push(Effect::Append {
            purpose: self.purpose(AppendStep::Intent, key),
            records: vec![(key.clone(), Some(intent))],
        });
    }

    /// Gives a grant to its holder.
    fn give(
        &mut self,
        grant: GrantRef,
        waiting: &Waiting,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get_mut(&grant) else {
            return;
        };
        let Some(minion) = self.minions.get(&open.minion) else {
            return;
        };
        let settings = &self.settings.grants;
        open.phase = GrantPhase::Given;
        open.since = now;
        open.ends = now + settings.ended_after();
        let waited = now.saturating_duration_since(waiting.received);
        effects.push(Effect::Placed {
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

    /// Goes on after an intent was journaled or was not.
    pub(crate) fn intent_appended(
        &mut self,
        key: &RequestKey,
        outcome: AppendOutcome,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        self.intents = self.intents.saturating_sub(1);
        let Some(grant) = self.keys.get(key).and_then(|record| record.grant.clone()) else {
            return;
        };
        let grant = grant.0;
        let waiting = match self.open.get_mut(&grant).map(|open| &mut open.phase) {
            Some(GrantPhase::Journaling(waiting)) => waiting.take().map(|waiting| *waiting),
            _ => return,
        };
        match (outcome, waiting) {
            (AppendOutcome::Journaled, Some(waiting)) if !self.takes_work(grant) => {
                self.free_grant(grant, now);
                self.requeue(key, waiting, now, effects);
            }
            (AppendOutcome::Journaled, Some(waiting)) => {
                if let Some(record) = self.keys.get_mut(key) {
                    record.phase = Phase::Open;
                }
                self.give(grant, &waiting, now, effects);
            }
            (AppendOutcome::Journaled, None) => {
                self.free_grant(grant, now);
                self.close_unsent(key, None, effects);
            }
            (AppendOutcome::NotJournaled { store_down }, waiting) => {
                self.free_grant(grant, now);
                self.intent_not_kept(key, store_down, waiting, now, effects);
            }
            (AppendOutcome::Unknown, waiting) => {
                self.free_grant(grant, now);
                self.intent_unknown(key, waiting, now, effects);
            }
        }
        self.pump(now, effects);
    }

    /// Whether the minion of a grant that was not given yet may still get work.
    fn takes_work(&self, grant: GrantRef) -> bool {
        let minion = self.open.get(&grant).map(|open| &open.minion);
        minion
            .and_then(|minion| self.minions.get(minion))
            .is_some_and(|minion| minion.live)
    }

    /// Queues a call again whose intent was never given; the next intent replaces it.
    fn requeue(
        &mut self,
        key: &RequestKey,
        waiting: Waiting,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(record) = self.keys.get_mut(key) {
            record.phase = Phase::Queued;
        }
        self.enqueue(waiting, now, effects);
    }

    fn intent_not_kept(
        &mut self,
        key: &RequestKey,
        store_down: bool,
        waiting: Option<Waiting>,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        self.journal_down |= store_down;
        if let Some(record) = self.keys.get_mut(key) {
            record.in_journal = false;
        }
        let Some(waiting) = waiting else {
            self.forget_key(key, now, effects);
            return;
        };
        if store_down {
            if let Some(record) = self.keys.get_mut(key) {
                record.phase = Phase::Queued;
            }
            self.park(ParkedFor::Journal, waiting, now, effects);
            return;
        }
        let refusal = Refusal::not_run(RefusalReason::OwnerUnavailable, "the owner was replaced");
        self.refuse(waiting, refusal, now, effects);
    }

    /// The intent may be journaled, but it is never given: it does not run, and its key is spent.
    fn intent_unknown(
        &mut self,
        key: &RequestKey,
        waiting: Option<Waiting>,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(waiting) = waiting {
            let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, "no journal answer");
            effects.extend(crate::group::refusal_effects(&waiting, refusal));
        }
        self.settle(key, Phase::Unknown, now, effects);
        self.keys.set_saved(key, Saved::No);
    }
}
