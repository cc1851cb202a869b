//! What the passing of time ends: queued calls, grants, held-back slots and retained keys.

use std::time::{Duration, Instant};

use jackdawchute_admission::WorkItemId;
use jackdawchute_types::{IncarnationId, Refusal, RefusalReason, RequestKey};

use crate::{
    adopt::ASK_PERIOD,
    group::{refusal_effects, GrantPhase, GrantRef, Group, OpenGrant, ParkedFor, Waiting},
    keys::Phase,
    AppendStep, Effect, Grant,
};

/// The time between two attempts at a journal that is down.
const JOURNAL_PROBE_PERIOD: Duration = Duration::from_millis(500);

impl Group {
    /// Ends what is over at `now`, then grants what became free.
    pub(crate) fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.expire_queued(now, effects);
        self.expire_parked(now, effects);
        self.expire_journaling(now, effects);
        self.expire_waiters(now, effects);
        self.end_grants(now, effects);
        self.end_hold_back(now);
        self.retire_keys(now, effects);
        self.probe_journal(now, effects);
        self.pump(now, effects);
    }

    fn expire_queued(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for (work_item, refusal) in self.admission.expire(now) {
            if let Some(waiting) = self.waiting.remove(&work_item.id) {
                self.refuse(waiting, refusal, now, effects);
            }
        }
    }

    fn expire_parked(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for (reason, waiting) in self.take_parked_if(|waiting| waiting.ends <= now) {
            let refusal = match reason {
                ParkedFor::Journal | ParkedFor::Registration(_) => Refusal::not_run(
                    RefusalReason::StoreUnavailable,
                    "nothing could be journaled in time",
                ),
                ParkedFor::Holder(_) => {
                    Refusal::not_run(RefusalReason::DeadlineExpired, "waited too long")
                }
            };
            self.refuse(waiting, refusal, now, effects);
        }
    }

    fn take_parked_if(&mut self, gone: impl Fn(&Waiting) -> bool) -> Vec<(ParkedFor, Waiting)> {
        let mut taken = Vec::new();
        for (reason, queue) in &mut self.parked {
            let (leave, stay): (Vec<Waiting>, _) = queue.drain(..).partition(&gone);
            *queue = stay.into();
            taken.extend(leave.into_iter().map(|waiting| (reason.clone(), waiting)));
        }
        self.parked.retain(|_, queue| !queue.is_empty());
        taken
    }

    /// Refuses calls whose intent is on its way for too long; the intent will never be given.
    fn expire_journaling(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for waiting in self.take_journaling_if(|waiting| waiting.ends <= now) {
            let refusal = Refusal::not_run(
                RefusalReason::StoreUnavailable,
                "the intent was not journaled in time and is never used",
            );
            effects.extend(refusal_effects(&waiting, refusal));
        }
    }

    fn take_journaling_if(&mut self, gone: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for open in self.open.values_mut() {
            if let GrantPhase::Journaling(waiting) = &mut open.phase {
                if waiting.as_deref().is_some_and(&gone) {
                    taken.extend(waiting.take().map(|waiting| *waiting));
                }
            }
        }
        taken
    }

    fn expire_waiters(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for waiting in self.keys.take_waiters_if(|waiting| waiting.ends <= now) {
            let detail = "an earlier request with the same key is not done";
            let refusal = Refusal::unknown(RefusalReason::KeyInProgress, detail);
            effects.extend(refusal_effects(&waiting, refusal));
        }
    }

    /// Frees the slots of requests that have surely ended.
    fn end_grants(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let over: Vec<GrantRef> = self
            .open
            .iter()
            .filter(|(_, open)| open.ends <= now && matches!(open.phase, GrantPhase::Lingering))
            .map(|(grant, _)| *grant)
            .collect();
        for grant in over {
            self.free_grant(grant, now);
            self.save_end(grant, effects);
        }
        let overdue = self.open.values_mut().filter(|open| open.is_overdue(now));
        let mut holders: Vec<IncarnationId> = overdue.map(|open| open.holder.clone()).collect();
        holders.sort_unstable();
        holders.dedup();
        for holder in holders {
            if self
                .overdue_asked
                .get(&holder)
                .is_some_and(|at| now < *at + ASK_PERIOD)
            {
                continue;
            }
            self.overdue_asked.insert(holder.clone(), now);
            self.asks.insert(holder);
        }
        self.overdue_asked
            .retain(|_, at| now < *at + ASK_PERIOD * 2);
    }

    /// Journals that a request without answer runs no more, so that no successor counts it.
    fn save_end(&mut self, grant: GrantRef, effects: &mut Vec<Effect>) {
        let Some(key) = self.keys.by_grant(grant).cloned() else {
            return;
        };
        let unknown = self
            .keys
            .get(&key)
            .is_some_and(|r| r.phase == Phase::Unknown);
        if unknown {
            self.save_outcome(&key, None, effects);
        }
    }

    /// Gives overdue grants up that their holder told twice not to hold.
    ///
    /// Once is not enough: the holder forgets a grant right before it gives it back.
    pub(crate) fn close_missing(
        &mut self,
        holder: &IncarnationId,
        grants: &[Grant],
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let is_held = |grant: &GrantRef| {
            grants
                .iter()
                .any(|held| held.epoch == grant.epoch && held.id == grant.id)
        };
        let mut lost = Vec::new();
        for (grant, open) in &mut self.open {
            if open.holder != *holder || !open.is_overdue(now) || is_held(grant) {
                continue;
            }
            if open.missing {
                lost.push(*grant);
            }
            open.missing = true;
        }
        for grant in lost {
            self.lose(grant, now, effects);
        }
    }

    /// Gives the overdue grants of a fenced holder up.
    pub(crate) fn lose_overdue(
        &mut self,
        holder: &IncarnationId,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let overdue = |open: &OpenGrant| open.holder == *holder && open.is_overdue(now);
        let open = self.open.iter().filter(|(_, open)| overdue(open));
        let lost: Vec<GrantRef> = open.map(|(grant, _)| *grant).collect();
        for grant in lost {
            self.lose(grant, now, effects);
        }
    }

    /// Ends the holding back for incarnations whose grants have surely ended, and asks the rest.
    fn end_hold_back(&mut self, now: Instant) {
        self.unaccounted
            .retain(|_, unaccounted| now < unaccounted.until);
        if self.unaccounted.is_empty() {
            self.returned_early.clear();
        }
        for (incarnation, unaccounted) in &mut self.unaccounted {
            if now >= unaccounted.asked + ASK_PERIOD {
                unaccounted.asked = now;
                self.asks.insert(incarnation.clone());
            }
        }
    }

    /// Forgets answers and keys beyond their retention, also in the journal.
    fn retire_keys(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let retired = self.keys.retire(&self.settings.retention, now);
        let forgotten = retired.keys.into_iter().map(|key| (key, None));
        let trimmed = retired.answers.into_iter().filter_map(|key| {
            let record = self.journaled_outcome(&key)?;
            Some((key, Some(record)))
        });
        let records: Vec<_> = forgotten.chain(trimmed).collect();
        if !records.is_empty() {
            effects.push(Effect::Append {
                purpose: self.purpose(AppendStep::Cleanup, &RequestKey::default()),
                records,
            });
        }
    }

    /// Tries a journal again that was down; the attempt's failure marks it as down again.
    fn probe_journal(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if now < self.journal_probe {
            return;
        }
        self.journal_probe = now + JOURNAL_PROBE_PERIOD;
        self.journal_down = false;
        self.save_again(effects);
    }

    /// Drops a call whose caller went away.
    pub(crate) fn cancel(
        &mut self,
        gone: impl Fn(&Waiting) -> bool,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let tickets: Vec<WorkItemId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| gone(waiting))
            .map(|(id, _)| *id)
            .collect();
        let queued = tickets.into_iter().filter_map(|id| {
            self.admission.cancel(id);
            self.waiting.remove(&id)
        });
        let mut dropped: Vec<Waiting> = queued.collect();
        let parked = self.take_parked_if(&gone);
        dropped.extend(parked.into_iter().map(|(_, waiting)| waiting));
        for waiting in dropped {
            self.refuse(waiting, cancelled(), now, effects);
        }
        let mut others = self.take_journaling_if(&gone);
        others.extend(self.keys.take_waiters_if(&gone));
        for waiting in others {
            effects.extend(refusal_effects(&waiting, cancelled()));
        }
    }

    pub(crate) fn drop_calls_of(
        &mut self,
        vanished: &impl Fn(&IncarnationId) -> bool,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        self.cancel(|waiting| vanished(&waiting.acquire.holder), now, effects);
    }

    /// Refuses every call that waits, because another owner decides from now on.
    pub(crate) fn refuse_all(&mut self, effects: &mut Vec<Effect>) {
        self.may_grant = false;
        let mut not_run: Vec<Waiting> = self.waiting.drain().map(|(_, waiting)| waiting).collect();
        let parked = std::mem::take(&mut self.parked);
        not_run.extend(parked.into_values().flatten());
        for waiting in not_run {
            let refusal = Refusal::not_run(RefusalReason::OwnerUnavailable, "the owner changed");
            effects.extend(refusal_effects(&waiting, refusal));
        }
        for waiting in self.keys.take_waiters_if(|_| true) {
            let refusal = Refusal::unknown(RefusalReason::OwnerUnavailable, "the owner changed");
            effects.extend(refusal_effects(&waiting, refusal));
        }
    }
}

fn cancelled() -> Refusal {
    Refusal::not_run(RefusalReason::Cancelled, "the caller went away")
}
