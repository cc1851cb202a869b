//! The periodic work of the home owner: deadlines, retries, repeated calls and retention.

use std::time::Instant;

use jackdawchute_ownership::Error as JournalError;
use jackdawchute_types::{GroupId, JobId, Refusal, RefusalReason};

use crate::{
    effect::{AfterAppend, CallId, Count, Effect, Now},
    home::{job::Acceptance, state::HomeGroups},
    record::{job_key, put_entry},
    Reply,
};

impl HomeGroups {
    /// Does the work that is due at this time.
    pub fn tick(&mut self, now: Now) -> Vec<Effect> {
        self.ticks.record(now.instant);
        let mut effects = self.journal_waiting_acceptances(now);
        self.expire(now);
        self.resume_delayed(now.instant);
        effects.extend(self.dispatch(now));
        self.preempt(now.instant);
        effects.extend(self.send_rack_calls(now.instant));
        if !self.ready.is_empty() || !self.queued.is_empty() {
            effects.extend(self.request_views(now.instant));
        }
        self.refresh_shares_if_due(now.instant);
        self.forget_finished(now.instant);
        if !self.append_in_flight {
            effects.extend(self.journal_pending_entries(None, now.instant));
        }
        effects
    }

    /// Journals jobs that wait for their acceptance, and refuses those that waited too long.
    fn journal_waiting_acceptances(&mut self, now: Now) -> Vec<Effect> {
        let waiting = |job: &&crate::home::Job| job.acceptance == Acceptance::Waiting;
        let waiting: Vec<JobId> = self
            .unaccepted
            .iter()
            .filter(|id| self.jobs.get(*id).is_some_and(|job| waiting(&job)))
            .cloned()
            .collect();
        let mut effects = Vec::new();
        for id in waiting {
            let late = self
                .jobs
                .get(&id)
                .is_some_and(|job| job.accept_by <= now.instant);
            if late {
                let detail = "the journal could not be written in time";
                let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, detail);
                effects.extend(self.refuse_submission(&id, &refusal));
            } else {
                effects.extend(self.journal_acceptance(&id));
            }
        }
        effects
    }

    /// Refuses jobs with a task that was not placed in time.
    fn expire(&mut self, now: Now) {
        let mut late: Vec<(JobId, Option<RefusalReason>)> = Vec::new();
        for (work_item, refusal) in self.admission.expire(now.instant) {
            if let Some(unit) = self.queued.remove(&work_item.id) {
                self.set_queue_key(&unit, None);
                late.push((unit.job, Some(refusal.reason)));
            }
        }
        let passed = |id: &JobId| {
            let deadline = self.jobs.get(id).and_then(|job| job.deadline);
            deadline.is_some_and(|deadline| deadline <= now.instant)
        };
        let ready = self.ready.values().map(|(unit, _)| &unit.job);
        let delayed = self.delayed.values().map(|(unit, _)| &unit.job);
        let waiting = ready.chain(delayed).filter(|id| passed(id));
        late.extend(waiting.map(|id| (id.clone(), None)));
        for (id, reason) in late {
            self.refuse_accepted(&id, reason, now);
        }
    }

    /// Refuses an accepted job: ends its waiting tasks and stops the placed ones. For a job that is
    /// not journaled yet, only ends the wait for its acceptance.
    fn refuse_accepted(&mut self, id: &JobId, reason: Option<RefusalReason>, now: Now) {
        let expiry = self.expiry_reason();
        let reason = reason
            .filter(|reason| *reason != RefusalReason::DeadlineExpired)
            .unwrap_or(expiry);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.acceptance != Acceptance::Accepted {
            job.accept_by = now.instant;
            return;
        }
        if job.is_ending() || !job.cancel_calls.is_empty() {
            return;
        }
        job.record.refused = Some(reason);
        job.record_event(format!("refused: {reason}"));
        let class = job.spec().class.clone();
        let entry = put_entry(&job.group, job_key(id), &job.record);
        self.add_unjournaled(entry);
        self.counts.push(Count::Refused(class, reason));
        let effects = self.abort_hold_round(id, now.instant);
        self.deferred_effects.extend(effects);
        self.end_job(id, now);
    }

    /// Journals the queued entries and then answers `call`, the report of a rack owner: the rack
    /// owner may forget the ends that it reported only once they are journaled here. Ends of tasks
    /// that this owner does not know are journaled nowhere, but may be those of a successor's tasks.
    pub(crate) fn journal_pending_entries(
        &mut self,
        call: Option<CallId>,
        now: Instant,
    ) -> Vec<Effect> {
        if self.unjournaled.is_empty() {
            let is_sole_owner = self.ticks.is_sole_owner(self.lease_state, now);
            let result = match is_sole_owner {
                true => Ok(Reply::Acknowledged),
                false => Err(not_journaled()),
            };
            let answer = call.map(|call| Effect::Answer { call, result });
            return answer.into_iter().collect();
        }
        if !self.is_confirmed() {
            let refused = |call| Effect::Answer {
                call,
                result: Err(not_journaled()),
            };
            return call.map(refused).into_iter().collect();
        }
        self.append_in_flight = true;
        let entries = self.unjournaled.values().cloned().collect();
        let after = AfterAppend::Ended(call);
        vec![Effect::Append { entries, after }]
    }

    /// Removes `entries` from the queue if they were journaled, and answers the waiting report.
    pub fn ends_journaled(
        &mut self,
        call: Option<CallId>,
        entries: &[jackdawchute_ownership::JournalEntry],
        result: Result<(), JournalError>,
    ) -> Vec<Effect> {
        self.append_in_flight = false;
        if result.is_ok() {
            for entry in entries {
                let key = (entry.group.clone(), entry.key.clone());
                if self.unjournaled.get(&key) == Some(entry) {
                    self.unjournaled.remove(&key);
                }
            }
        }
        let result = match result {
            Ok(()) => Ok(Reply::Acknowledged),
            Err(_) => Err(not_journaled()),
        };
        let answer = call.map(|call| Effect::Answer { call, result });
        answer.into_iter().collect()
    }

    /// Drops the queued entries of a lost group.
    pub(crate) fn forget_unjournaled(&mut self, group: &GroupId) {
        self.unjournaled
            .retain(|(entry_group, _), _| entry_group != group);
    }
}

fn not_journaled() -> Refusal {
    let detail = "the events are not journaled";
    Refusal::not_run(RefusalReason::StoreUnavailable, detail)
}
