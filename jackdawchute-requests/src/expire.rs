//! Expiry of waiting calls, grants, held-back slots and retained keys; cancelling of calls.

use std::time::{Duration, Instant};

use jackdawchute_admission::WorkItemId;
use jackdawchute_types::{IncarnationId, Refusal, RefusalReason, RequestKey};

use crate::{
    group::{refusal_effects, GrantPhase, GrantRef, Group, OpenGrant, ParkedFor, WaitingCall},
    keys::KeyPhase,
    recover::HOLDINGS_QUERY_PERIOD,
    AppendStep, Effect, Grant,
};

/// The time between two attempts to use a journal that is unavailable.
const JOURNAL_PROBE_PERIOD: Duration = Duration::from_millis(500);

impl Group {
    /// Expires everything whose time has passed, then grants the slots that became free.
    pub(crate) fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.expire_queued(now, effects);
        self.expire_parked(now, effects);
        self.expire_journaling(now, effects);
        self.expire_waiters(now, effects);
        self.free_ended_grants(now, effects);
        self.expire_hold_back(now);
        self.retire_keys(now, effects);
        self.retry_journal(now, effects);
        self.grant_waiting(now, effects);
    }

    fn expire_queued(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for (work_item, refusal) in self.admission.expire(now) {
            if let Some(waiting) = self.queued.remove(&work_item.id) {
                self.refuse(waiting, refusal, now, effects);
            }
        }
    }

    fn expire_parked(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for (reason, waiting) in self.take_parked_if(|waiting| waiting.deadline <= now) {
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

    fn take_parked_if(
        &mut self,
        matches_call: impl Fn(&WaitingCall) -> bool,
    ) -> Vec<(ParkedFor, WaitingCall)> {
        let mut taken = Vec::new();
        for (reason, queue) in &mut self.parked {
            let (matching, remaining): (Vec<WaitingCall>, _) =
                queue.drain(..).partition(&matches_call);
            *queue = remaining.into();
            taken.extend(
                matching
                    .into_iter()
                    .map(|waiting| (reason.clone(), waiting)),
            );
        }
        self.parked.retain(|_, queue| !queue.is_empty());
        taken
    }

    /// Refuses calls whose intent was not journaled before the deadline; their grants are never
    /// sent.
    pub(crate) fn expire_journaling(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for waiting in self.take_journaling_if(|waiting| waiting.deadline <= now) {
            let refusal = Refusal::not_run(
                RefusalReason::StoreUnavailable,
                "the intent was not journaled in time and is never used",
            );
            effects.extend(refusal_effects(&waiting, refusal));
        }
    }

    fn take_journaling_if(
        &mut self,
        matches_call: impl Fn(&WaitingCall) -> bool,
    ) -> Vec<WaitingCall> {
        let mut taken = Vec::new();
        for open in self.open_grants.values_mut() {
            if let GrantPhase::Journaling(waiting) = &mut open.phase {
                if waiting.as_deref().is_some_and(&matches_call) {
                    taken.extend(waiting.take().map(|waiting| *waiting));
                }
            }
        }
        taken
    }

    fn expire_waiters(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for waiting in self.keys.take_waiters_if(|waiting| waiting.deadline <= now) {
            let detail = "an earlier request with the same key is not done";
            let refusal = Refusal::unknown(RefusalReason::KeyInProgress, detail);
            effects.extend(refusal_effects(&waiting, refusal));
        }
    }

    /// Frees the slots of abandoned grants whose requests are known to have ended, and issues
    /// holdings queries to the holders of overdue grants.
    fn free_ended_grants(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let ended: Vec<GrantRef> = self
            .open_grants
            .iter()
            .filter(|(_, open)| {
                open.ends_by <= now && matches!(open.phase, GrantPhase::AwaitingEnd)
            })
            .map(|(grant, _)| *grant)
            .collect();
        for grant in ended {
            self.free_grant(grant, now);
            self.journal_end(grant, effects);
        }
        let overdue = self
            .open_grants
            .values_mut()
            .filter(|open| open.is_overdue(now));
        let mut holders: Vec<IncarnationId> = overdue.map(|open| open.holder.clone()).collect();
        holders.sort_unstable();
        holders.dedup();
        for holder in holders {
            if self
                .overdue_queried_at
                .get(&holder)
                .is_some_and(|at| now < *at + HOLDINGS_QUERY_PERIOD)
            {
                continue;
            }
            self.overdue_queried_at.insert(holder.clone(), now);
            self.holdings_queries.insert(holder);
        }
        self.overdue_queried_at
            .retain(|_, at| now < *at + HOLDINGS_QUERY_PERIOD * 2);
    }

    /// Journals that a request whose response was lost no longer runs, so that no successor counts
    /// it.
    fn journal_end(&mut self, grant: GrantRef, effects: &mut Vec<Effect>) {
        let Some(key) = self.keys.by_grant(grant).cloned() else {
            return;
        };
        let unknown = self
            .keys
            .get(&key)
            .is_some_and(|r| r.phase == KeyPhase::OutcomeUnknown);
        if unknown {
            self.save_outcome(&key, None, effects);
        }
    }

    /// Abandons overdue grants that are missing from two reports of their holder.
    ///
    /// One report is not enough: a holder removes a grant right before it reports the outcome.
    pub(crate) fn abandon_missing(
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
        let mut abandoned = Vec::new();
        for (grant, open) in &mut self.open_grants {
            if open.holder != *holder || !open.is_overdue(now) || is_held(grant) {
                continue;
            }
            if open.reported_missing {
                abandoned.push(*grant);
            }
            open.reported_missing = true;
        }
        for grant in abandoned {
            self.abandon(grant, now, effects);
        }
    }

    /// Abandons the overdue grants of a holder that is not listed any more.
    pub(crate) fn abandon_overdue(
        &mut self,
        holder: &IncarnationId,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let overdue = |open: &OpenGrant| open.holder == *holder && open.is_overdue(now);
        let open = self.open_grants.iter().filter(|(_, open)| overdue(open));
        let abandoned: Vec<GrantRef> = open.map(|(grant, _)| *grant).collect();
        for grant in abandoned {
            self.abandon(grant, now, effects);
        }
    }

    /// Stops holding slots back for incarnations whose requests are known to have ended, and
    /// queries the others again.
    fn expire_hold_back(&mut self, now: Instant) {
        self.unaccounted
            .retain(|_, unaccounted| now < unaccounted.ends_by);
        if self.unaccounted.is_empty() {
            self.released_early.clear();
        }
        for (incarnation, unaccounted) in &mut self.unaccounted {
            if now >= unaccounted.queried_at + HOLDINGS_QUERY_PERIOD {
                unaccounted.queried_at = now;
                self.holdings_queries.insert(incarnation.clone());
            }
        }
    }

    /// Drops answers and keys whose retention has ended, also in the journal.
    fn retire_keys(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let retired = self.keys.retire(&self.settings.retention, now);
        let removed = retired.keys.into_iter().map(|key| (key, None));
        let trimmed = retired.answers.into_iter().filter_map(|key| {
            let record = self.journaled_outcome(&key)?;
            Some((key, Some(record)))
        });
        let records: Vec<_> = removed.chain(trimmed).collect();
        if !records.is_empty() {
            effects.push(Effect::Append {
                purpose: self.purpose(AppendStep::Cleanup, &RequestKey::default()),
                records,
            });
        }
    }

    /// Allows appends again after the journal was unavailable; a failed append sets `journal_down`
    /// again.
    fn retry_journal(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if now < self.next_journal_probe {
            return;
        }
        self.next_journal_probe = now + JOURNAL_PROBE_PERIOD;
        self.journal_down = false;
        self.retry_unsaved(effects);
    }

    /// Cancels the waiting calls that match the predicate.
    pub(crate) fn cancel(
        &mut self,
        matches_call: impl Fn(&WaitingCall) -> bool,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let work_items: Vec<WorkItemId> = self
            .queued
            .iter()
            .filter(|(_, waiting)| matches_call(waiting))
            .map(|(id, _)| *id)
            .collect();
        let queued = work_items.into_iter().filter_map(|id| {
            self.admission.cancel(id);
            self.queued.remove(&id)
        });
        let mut dropped: Vec<WaitingCall> = queued.collect();
        let parked = self.take_parked_if(&matches_call);
        dropped.extend(parked.into_iter().map(|(_, waiting)| waiting));
        for waiting in dropped {
            self.refuse(waiting, cancelled(), now, effects);
        }
        let mut unqueued = self.take_journaling_if(&matches_call);
        unqueued.extend(self.keys.take_waiters_if(&matches_call));
        for waiting in unqueued {
            effects.extend(refusal_effects(&waiting, cancelled()));
        }
    }

    pub(crate) fn cancel_calls_of(
        &mut self,
        is_unlisted: &impl Fn(&IncarnationId) -> bool,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        self.cancel(|waiting| is_unlisted(&waiting.acquire.holder), now, effects);
    }

    /// Refuses every waiting call, because the group is lost to another owner.
    pub(crate) fn refuse_all(&mut self, effects: &mut Vec<Effect>) {
        self.may_grant = false;
        let mut not_run: Vec<WaitingCall> =
            self.queued.drain().map(|(_, waiting)| waiting).collect();
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
