//! What time brings: deadlines, retries, repeated calls and retention.

use jackdawchute_ownership::Error as JournalError;
use jackdawchute_types::{GroupId, JobId, Refusal, RefusalReason};

use crate::{
    effect::{AfterAppend, CallId, Count, Effect, Now},
    home::{job::Acceptance, state::HomeGroups},
    record::{job_key, put},
    Reply,
};

impl HomeGroups {
    /// Does what is due.
    pub fn tick(&mut self, now: Now) -> Vec<Effect> {
        let mut effects = self.journal_waiting_acceptances(now);
        self.expire(now);
        self.resume_delayed(now.instant);
        effects.extend(self.dispatch(now));
        self.preempt(now.instant);
        effects.extend(self.ask_racks(now.instant));
        if !self.ready.is_empty() || !self.queued.is_empty() {
            effects.extend(self.ask_for_views(now.instant));
        }
        self.share_capacity_at(now.instant);
        self.forget_finished(now.instant);
        if !self.journaling {
            effects.extend(self.flush(None));
        }
        effects
    }

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

    /// Refuses jobs of which a task could not be placed in time.
    fn expire(&mut self, now: Now) {
        let mut late: Vec<(JobId, Option<RefusalReason>)> = Vec::new();
        for (work_item, refusal) in self.admission.expire(now.instant) {
            if let Some(unit) = self.queued.remove(&work_item.id) {
                self.set_queue(&unit, None);
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

    /// Refuses a job of which no task ever ran; others only lose their waiting tasks.
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
        if job.gave_up() || !job.cancelling.is_empty() {
            return;
        }
        job.record.refused = Some(reason);
        job.note(format!("refused: {reason}"));
        let class = job.spec().class.clone();
        let entry = put(&job.group, job_key(id), &job.record);
        self.journal_later(entry);
        self.counts.push(Count::Refused(class, reason));
        let effects = self.abort_round(id, now.instant);
        self.late_effects.extend(effects);
        self.end_job(id, now);
    }

    /// Journals what rack owners may forget only afterwards.
    pub(crate) fn flush(&mut self, call: Option<CallId>) -> Vec<Effect> {
        if self.unjournaled.is_empty() {
            let acknowledged = |call| Effect::Answer {
                call,
                result: Ok(Reply::Acknowledged),
            };
            return call.map(acknowledged).into_iter().collect();
        }
        if !self.is_confirmed() {
            let refused = |call| Effect::Answer {
                call,
                result: Err(not_journaled()),
            };
            return call.map(refused).into_iter().collect();
        }
        self.journaling = true;
        let entries = self.unjournaled.values().cloned().collect();
        let after = AfterAppend::Ended(call);
        vec![Effect::Append { entries, after }]
    }

    /// Takes in whether the journal holds `entries`, and tells the rack owner that waits.
    pub fn ends_journaled(
        &mut self,
        call: Option<CallId>,
        entries: &[jackdawchute_ownership::JournalEntry],
        result: Result<(), JournalError>,
    ) -> Vec<Effect> {
        self.journaling = false;
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

    /// Drops what belongs to a group that has another owner now.
    pub(crate) fn forget_unjournaled(&mut self, group: &GroupId) {
        self.unjournaled.retain(|(of, _), _| of != group);
    }
}

fn not_journaled() -> Refusal {
    let detail = "the events are not journaled";
    Refusal::not_run(RefusalReason::StoreUnavailable, detail)
}
