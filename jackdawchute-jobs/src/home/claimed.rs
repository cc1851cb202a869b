//! Home groups that come and go, with the jobs that their former owner journaled.

use std::time::Instant;

use jackdawchute_ownership::EntryKey;
use jackdawchute_types::{Epoch, GroupId, JobId, JobKind, Refusal, RefusalReason};

use crate::{
    effect::{Effect, Now},
    home::{
        accept::refuse,
        job::{Acceptance, Job, Task, TaskPhase},
        state::HomeGroups,
    },
    record::{parse, JobRecord, TaskPlace, TaskRecord},
    Error,
};

impl HomeGroups {
    /// Adopts a home group. Assigned tasks may run: their rack owners are asked before anything
    /// else becomes of them. Entries that cannot be read are returned.
    pub fn claimed(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        entries: &[(EntryKey, String)],
        now: Now,
    ) -> Vec<Error> {
        let unanswered = self.lost(group);
        self.late_effects.extend(unanswered);
        self.owned.insert(group.clone(), epoch);
        let mut errors = Vec::new();
        let mut jobs = Vec::new();
        for (key, value) in entries.iter().filter(|(key, _)| key.starts_with("job/")) {
            match parse::<JobRecord>(group, key, value) {
                Ok(record) => {
                    jobs.push(record.id.clone());
                    self.adopt_job(group, record, now);
                }
                Err(error) => errors.push(error),
            }
        }
        for (key, value) in entries.iter().filter(|(key, _)| key.starts_with("task/")) {
            match parse::<TaskRecord>(group, key, value) {
                Ok(record) => self.adopt_task(record, now.instant),
                Err(error) => errors.push(error),
            }
        }
        for id in &jobs {
            self.resume(id, now);
        }
        errors
    }

    fn adopt_job(&mut self, group: &GroupId, record: JobRecord, now: Now) {
        let age = now.unix.saturating_sub(record.accepted_unix);
        let accepted = now.instant.checked_sub(age).unwrap_or(now.instant);
        let deadline = self.deadline_of(&record.spec, accepted);
        let id = record.id.clone();
        let mut job = Job {
            tasks: vec![Task::default(); record.spec.tasks as usize],
            record,
            group: group.clone(),
            accepted,
            deadline,
            accept_by: accepted,
            acceptance: Acceptance::Accepted,
            calls: Vec::new(),
            cancelling: Vec::new(),
            round: None,
            rounds: 0,
            gang_work_item: None,
            gang_queue: None,
            last_start: None,
            finished: false,
            history: Default::default(),
        };
        job.note("taken over from a former owner");
        self.jobs.insert(id, job);
    }

    fn adopt_task(&mut self, record: TaskRecord, now: Instant) {
        let Some(job) = self.jobs.get_mut(&record.job) else {
            return;
        };
        let Some(task) = job.task_mut(record.index) else {
            return;
        };
        task.attempt = record.attempt;
        task.failures = record.failures;
        task.phase = match record.place {
            TaskPlace::Assigned { rack, worker } => {
                task.assigned = Some(now);
                TaskPhase::Assigned {
                    rack,
                    worker,
                    running: false,
                }
            }
            TaskPlace::Waiting => TaskPhase::Waiting,
            TaskPlace::Succeeded => TaskPhase::Succeeded,
            TaskPlace::Failed => TaskPhase::Failed,
            TaskPlace::Cancelled => TaskPhase::Cancelled,
        };
    }

    /// Queues what waits and asks for what is assigned.
    fn resume(&mut self, id: &JobId, now: Now) {
        let Some(job) = self.jobs.get(id) else { return };
        let (gave_up, kind) = (job.gave_up(), job.spec().kind);
        let assigned = job.indices(|task| matches!(task.phase, TaskPhase::Assigned { .. }));
        let waits = job
            .tasks
            .iter()
            .any(|task| task.phase == TaskPhase::Waiting);
        for index in &assigned {
            self.to_ask.insert((id.clone(), *index), None);
        }
        if gave_up {
            self.end_job(id, now);
        } else if kind == JobKind::Gang && !assigned.is_empty() && waits {
            self.break_gang(id);
        } else if waits {
            for unit in self.waiting_units(id) {
                self.offer_again(unit, now.instant);
            }
        }
        self.finish_if_over(id, now.instant);
    }

    /// Lets a home group go. Callers that wait for the journal learn that the outcome is not
    /// known here: it may still take what it was asked to.
    pub fn lost(&mut self, group: &GroupId) -> Vec<Effect> {
        self.owned.remove(group);
        let ids: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.group == *group)
            .map(|(id, _)| id.clone())
            .collect();
        let mut effects = Vec::new();
        for id in ids {
            self.drop_units(&id);
            effects.extend(self.drop_job(&id));
        }
        self.forget_unjournaled(group);
        effects
    }

    fn drop_job(&mut self, id: &JobId) -> Vec<Effect> {
        let Some(job) = self.jobs.remove(id) else {
            return Vec::new();
        };
        self.unaccepted.remove(id);
        self.finished.retain(|(_, finished)| finished != id);
        for (index, task) in (0_u32..).zip(&job.tasks) {
            self.to_ask.remove(&(id.clone(), index));
            self.view
                .release(&crate::home::assign::own_key(&job.attempt(index)));
            if let Some(work_item) = &task.work_item {
                self.admission.release(work_item, Default::default());
            }
        }
        if let Some(work_item) = &job.gang_work_item {
            self.admission.release(work_item, Default::default());
        }
        let refusal = moved_away(&job);
        let class = job.record.spec.class;
        let calls = job.calls.into_iter().chain(job.cancelling);
        calls
            .flat_map(|call| refuse(call, class.clone(), refusal.clone()))
            .collect()
    }
}

/// What the callers of a job are told whose home group was lost; they may ask the next owner.
fn moved_away(job: &Job) -> Refusal {
    let detail = format!("{} has another owner now", job.group);
    match job.acceptance {
        Acceptance::Waiting => Refusal::not_run(RefusalReason::OwnerUnavailable, detail),
        Acceptance::Journaling | Acceptance::Accepted => {
            Refusal::unknown(RefusalReason::OwnerUnavailable, detail)
        }
    }
}
