//! Acceptance: a job's id is given once the journal holds the job.

use std::time::{Duration, Instant};

use jackdawchute_ownership::Error as JournalError;
use jackdawchute_types::{JobId, JobKind, JobSpec, Refusal, RefusalReason};

use crate::{
    effect::{AfterAppend, CallId, Count, Effect, Now},
    home::{
        job::{Acceptance, Job, Task},
        state::{HomeGroups, Unit},
    },
    record::{job_key, put, JobRecord},
    Reply,
};

impl HomeGroups {
    /// Takes a job in. The caller is answered once the journal holds it, or with a refusal of
    /// work that did not run.
    pub fn submit(&mut self, call: CallId, id: &JobId, spec: JobSpec, now: Now) -> Vec<Effect> {
        if let Some(known) = self.jobs.get_mut(id) {
            return known.submitted_again(call, &spec);
        }
        let class = spec.class.clone();
        let accepted = self
            .check(id, &spec)
            .and_then(|()| self.insert(call, id, spec, now));
        if let Err(refusal) = accepted {
            return refuse(call, class, refusal);
        }
        self.journal_acceptance(id)
    }

    fn check(&self, id: &JobId, spec: &JobSpec) -> Result<(), Refusal> {
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

    fn insert(&mut self, call: CallId, id: &JobId, spec: JobSpec, now: Now) -> Result<(), Refusal> {
        let deadline = self.deadline_of(&spec, now.instant);
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
            accepted: now.instant,
            deadline,
            accept_by: deadline.unwrap_or(now.instant + self.settings.accept_wait_max),
            acceptance: Acceptance::Waiting,
            calls: vec![call],
            cancelling: Vec::new(),
            round: None,
            rounds: 0,
            gang_work_item: None,
            gang_queue: None,
            last_start: None,
            finished: false,
            history: Default::default(),
        };
        self.jobs.insert(id.clone(), job);
        self.unaccepted.insert(id.clone());
        self.offer_all(id, now.instant).inspect_err(|_| {
            self.drop_units(id);
            self.jobs.remove(id);
            self.unaccepted.remove(id);
        })
    }

    pub(crate) fn deadline_of(&self, spec: &JobSpec, accepted: Instant) -> Option<Instant> {
        let class = self.settings.limits.classes.get(&spec.class);
        let longest = if spec.deadline == Duration::ZERO {
            class.map_or(Duration::ZERO, |class| class.deadline)
        } else {
            spec.deadline
        };
        (longest > Duration::ZERO).then(|| accepted + longest)
    }

    /// Queues every unit of a job, or reports the first that admission refuses.
    fn offer_all(&mut self, id: &JobId, now: Instant) -> Result<(), Refusal> {
        for unit in self.waiting_units(id) {
            self.offer(unit, now)?;
        }
        Ok(())
    }

    /// One unit for a gang, else one for each waiting task.
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

    /// Asks the journal once it can be written.
    pub(crate) fn journal_acceptance(&mut self, id: &JobId) -> Vec<Effect> {
        let confirmed = self.is_confirmed();
        let Some(job) = self.jobs.get_mut(id).filter(|_| confirmed) else {
            return Vec::new();
        };
        if job.acceptance != Acceptance::Waiting {
            return Vec::new();
        }
        job.acceptance = Acceptance::Journaling;
        let entries = vec![put(&job.group, job_key(id), &job.record)];
        let after = AfterAppend::Accepted(id.clone());
        vec![Effect::Append { entries, after }]
    }

    /// Answers the callers of a job that the journal holds, or surely never will.
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
                job.note("accepted and journaled");
                self.unaccepted.remove(id);
                let calls = std::mem::take(&mut job.calls);
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

    /// Refuses a job that the journal does not hold.
    pub(crate) fn refuse_submission(&mut self, id: &JobId, refusal: &Refusal) -> Vec<Effect> {
        self.drop_units(id);
        self.unaccepted.remove(id);
        let Some(job) = self.jobs.remove(id) else {
            return Vec::new();
        };
        let class = job.record.spec.class;
        let calls = job.calls.into_iter();
        calls
            .flat_map(|call| refuse(call, class.clone(), refusal.clone()))
            .collect()
    }

    pub(crate) fn answer_status(&self, id: &JobId, calls: Vec<CallId>) -> Vec<Effect> {
        let answer = |call| Effect::Answer {
            call,
            result: self.status(id),
        };
        calls.into_iter().map(answer).collect()
    }
}

impl Job {
    /// A repeated submission gets the first job; another one under its key is refused.
    fn submitted_again(&mut self, call: CallId, spec: &JobSpec) -> Vec<Effect> {
        if self.record.spec != *spec {
            let detail = "the key was used for another job";
            let refusal = Refusal::not_run(RefusalReason::KeyMismatch, detail);
            return refuse(call, spec.class.clone(), refusal);
        }
        if self.acceptance != Acceptance::Accepted {
            self.calls.push(call);
            return Vec::new();
        }
        let result = Ok(Reply::Job(self.status()));
        vec![Effect::Answer { call, result }]
    }
}

pub(crate) fn refuse(
    call: CallId,
    class: jackdawchute_types::ClassId,
    refusal: Refusal,
) -> Vec<Effect> {
    let count = Count::Refused(class, refusal.reason);
    let result = Err(refusal);
    vec![Effect::Count(count), Effect::Answer { call, result }]
}
