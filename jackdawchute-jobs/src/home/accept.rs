//! Acceptance of jobs: a submission is answered once the job is journaled.

use std::time::{Duration, Instant};

use jackdawchute_ownership::Error as JournalError;
use jackdawchute_types::{JobId, JobKind, JobSpec, Refusal, RefusalReason};

use crate::{
    effect::{AfterAppend, CallId, Count, Effect, Now},
    home::{
        job::{Acceptance, Job, Task},
        state::{HomeGroups, Unit},
    },
    record::{job_key, put_entry, JobRecord},
    Reply,
};

impl HomeGroups {
    /// Accepts a job, or a repeated submission of one. The caller is answered once the job is
    /// journaled, or with a refusal of work that did not run.
    pub fn submit(&mut self, call: CallId, id: &JobId, spec: JobSpec, now: Now) -> Vec<Effect> {
        if let Some(known) = self.jobs.get_mut(id) {
            return known.resubmit(call, &spec);
        }
        let class = spec.class.clone();
        let accepted = self
            .check_submission(id, &spec)
            .and_then(|()| self.insert_job(call, id, spec, now));
        if let Err(refusal) = accepted {
            return refuse(call, class, refusal);
        }
        self.journal_acceptance(id)
    }

    /// Refuses a job of another home owner, and one that is invalid or can never fit the fleet.
    fn check_submission(&self, id: &JobId, spec: &JobSpec) -> Result<(), Refusal> {
        let group = crate::home_group(id, self.settings.partitions);
        if !self.owns(&group) {
            let detail = format!("{group} has another owner");
            return Err(Refusal::not_run(RefusalReason::OwnerUnavailable, detail));
        }
        if let Err(error) = spec.check() {
            return Err(Refusal::not_run(RefusalReason::Invalid, error.to_string()));
        }
        self.check_fits(spec)
    }

    /// Adds a job and queues its units, or undoes both if admission refuses one.
    fn insert_job(
        &mut self,
        call: CallId,
        id: &JobId,
        spec: JobSpec,
        now: Now,
    ) -> Result<(), Refusal> {
        let deadline = self.deadline_for(&spec, now.instant);
        let group = crate::home_group(id, self.settings.partitions);
        let tasks = vec![Task::default(); spec.tasks as usize];
        let record = JobRecord {
            id: id.clone(),
            spec,
            accepted_unix: now.unix,
            cancelled: false,
            refused: None,
        };
        let job = Job {
            record,
            tasks,
            group,
            accepted_at: now.instant,
            deadline,
            accept_by: deadline.unwrap_or(now.instant + self.settings.accept_wait_max),
            acceptance: Acceptance::Waiting,
            submit_calls: vec![call],
            cancel_calls: Vec::new(),
            hold_round: None,
            hold_rounds: 0,
            gang_work_item: None,
            gang_queue_key: None,
            last_start: None,
            finished: false,
            history: Default::default(),
        };
        self.jobs.insert(id.clone(), job);
        self.unaccepted.insert(id.clone());
        self.enqueue_all(id, now.instant).inspect_err(|_| {
            self.dequeue_job(id);
            self.jobs.remove(id);
            self.unaccepted.remove(id);
        })
    }

    /// Returns the deadline of a job: its own or else that of its class, counted from acceptance.
    pub(crate) fn deadline_for(&self, spec: &JobSpec, accepted_at: Instant) -> Option<Instant> {
        let class = self.settings.limits.classes.get(&spec.class);
        let longest = if spec.deadline == Duration::ZERO {
            class.map_or(Duration::ZERO, |class| class.deadline)
        } else {
            spec.deadline
        };
        (longest > Duration::ZERO).then(|| accepted_at + longest)
    }

    /// Queues the units of a job, up to the first that admission refuses.
    fn enqueue_all(&mut self, id: &JobId, now: Instant) -> Result<(), Refusal> {
        for unit in self.waiting_units(id) {
            self.enqueue(unit, now)?;
        }
        Ok(())
    }

    /// Returns one unit for a gang, else one for each waiting task.
    pub(crate) fn waiting_units(&self, id: &JobId) -> Vec<Unit> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let unit = |index| Unit {
            job: id.clone(),
            index,
        };
        if job.spec().kind == JobKind::Gang {
            return vec![unit(None)];
        }
        let waiting = job.indices(|task| task.phase == crate::home::TaskPhase::Waiting);
        waiting.into_iter().map(|index| unit(Some(index))).collect()
    }

    /// Journals a job that is not journaled yet, if the lease state allows it.
    pub(crate) fn journal_acceptance(&mut self, id: &JobId) -> Vec<Effect> {
        let confirmed = self.is_confirmed();
        let Some(job) = self.jobs.get_mut(id).filter(|_| confirmed) else {
            return Vec::new();
        };
        if job.acceptance != Acceptance::Waiting {
            return Vec::new();
        }
        job.acceptance = Acceptance::Journaling;
        let entries = vec![put_entry(&job.group, job_key(id), &job.record)];
        let after = AfterAppend::Accepted(id.clone());
        vec![Effect::Append { entries, after }]
    }

    /// Answers the submitters of a job that was journaled, or refuses a job that can never be.
    /// While the journal is unavailable the job waits to be journaled again.
    pub fn accepted(
        &mut self,
        id: &JobId,
        result: Result<(), JournalError>,
        now: Now,
    ) -> Vec<Effect> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        match result {
            Ok(()) => {
                job.acceptance = Acceptance::Accepted;
                job.record_event("accepted and journaled");
                self.unaccepted.remove(id);
                let calls = std::mem::take(&mut job.submit_calls);
                let mut effects = self.answer_status(id, calls);
                effects.extend(self.dispatch(now));
                effects
            }
            Err(JournalError::Unavailable(_)) => {
                job.acceptance = Acceptance::Waiting;
                Vec::new()
            }
            Err(error) => {
                let refusal = Refusal::not_run(RefusalReason::OwnerUnavailable, error.to_string());
                self.refuse_submission(id, &refusal)
            }
        }
    }

    /// Refuses and forgets a job that is not journaled.
    pub(crate) fn refuse_submission(&mut self, id: &JobId, refusal: &Refusal) -> Vec<Effect> {
        self.dequeue_job(id);
        self.unaccepted.remove(id);
        let Some(job) = self.jobs.remove(id) else {
            return Vec::new();
        };
        let class = job.record.spec.class;
        let calls = job.submit_calls.into_iter();
        calls
            .flat_map(|call| refuse(call, class.clone(), refusal.clone()))
            .collect()
    }

    /// Answers the calls with the status of the job.
    pub(crate) fn answer_status(&self, id: &JobId, calls: Vec<CallId>) -> Vec<Effect> {
        let answer = |call| Effect::Answer {
            call,
            result: self.status(id),
        };
        calls.into_iter().map(answer).collect()
    }
}

impl Job {
    /// Answers a repeated submission with this job, and refuses another job under the same key.
    fn resubmit(&mut self, call: CallId, spec: &JobSpec) -> Vec<Effect> {
        if self.record.spec != *spec {
            let detail = "the key was used for another job";
            let refusal = Refusal::not_run(RefusalReason::KeyMismatch, detail);
            return refuse(call, spec.class.clone(), refusal);
        }
        if self.acceptance != Acceptance::Accepted {
            self.submit_calls.push(call);
            return Vec::new();
        }
        let result = Ok(Reply::Job(self.status()));
        vec![Effect::Answer { call, result }]
    }
}

/// Refuses a call and counts the refusal.
pub(crate) fn refuse(
    call: CallId,
    class: jackdawchute_types::ClassId,
    refusal: Refusal,
) -> Vec<Effect> {
    let count = Count::Refused(class, refusal.reason);
    let result = Err(refusal);
    vec![Effect::Count(count), Effect::Answer { call, result }]
}
