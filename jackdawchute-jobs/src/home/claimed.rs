//! Gain and loss of home groups, with recovery of the jobs in the journal.

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
    record::{parse, JobRecord, JournaledTaskState, TaskRecord},
    Error,
};

impl HomeGroups {
    /// Starts owning a home group. Assigned tasks may run, so their rack owners are called before
    /// these tasks change state.
    ///
    /// Returns an error for each entry that cannot be parsed; the others are recovered.
    pub fn claimed(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        entries: &[(EntryKey, String)],
        now: Now,
    ) -> Vec<Error> {
        let refusals = self.lost(group);
        self.deferred_effects.extend(refusals);
        self.owned.insert(group.clone(), epoch);
        let mut errors = Vec::new();
        let mut jobs = Vec::new();
        for (key, value) in entries.iter().filter(|(key, _)| key.starts_with("job/")) {
            match parse::<JobRecord>(group, key, value) {
                Ok(record) => {
                    jobs.push(record.id.clone());
                    self.recover_job(group, record, now);
                }
                Err(error) => errors.push(error),
            }
        }
        for (key, value) in entries.iter().filter(|(key, _)| key.starts_with("task/")) {
            match parse::<TaskRecord>(group, key, value) {
                Ok(record) => self.recover_task(record, now.instant),
                Err(error) => errors.push(error),
            }
        }
        for id in &jobs {
            self.requeue_recovered(id, now);
        }
        errors
    }

    /// Adds a journaled job with all its tasks waiting.
    fn recover_job(&mut self, group: &GroupId, record: JobRecord, now: Now) {
        let age = now.unix.saturating_sub(record.accepted_unix);
        let accepted_at = now.instant.checked_sub(age).unwrap_or(now.instant);
        let deadline = self.deadline_for(&record.spec, accepted_at);
        let id = record.id.clone();
        let mut job = Job {
            tasks: vec![Task::default(); record.spec.tasks as usize],
            record,
            group: group.clone(),
            accepted_at,
            deadline,
            accept_by: accepted_at,
            acceptance: Acceptance::Accepted,
            submit_calls: Vec::new(),
            cancel_calls: Vec::new(),
            hold_round: None,
            hold_rounds: 0,
            gang_work_item: None,
            gang_queue_key: None,
            last_start: None,
            finished: false,
            history: Default::default(),
        };
        job.record_event("taken over from a former owner");
        self.jobs.insert(id, job);
    }

    /// Sets a task of a recovered job to its journaled state.
    fn recover_task(&mut self, record: TaskRecord, now: Instant) {
        let Some(job) = self.jobs.get_mut(&record.job) else {
            return;
        };
        let Some(task) = job.task_mut(record.index) else {
            return;
        };
        task.attempt = record.attempt;
        task.failures = record.failures;
        task.phase = match record.state {
            JournaledTaskState::Assigned { rack, worker } => {
                // The predecessor may have called the rack owner.
                task.rack_calls = 1;
                task.assigned_at = Some(now);
                TaskPhase::Assigned {
                    rack,
                    worker,
                    running: false,
                }
            }
            JournaledTaskState::Waiting => TaskPhase::Waiting,
            JournaledTaskState::Succeeded => TaskPhase::Succeeded,
            JournaledTaskState::Failed => TaskPhase::Failed,
            JournaledTaskState::Cancelled => TaskPhase::Cancelled,
        };
    }

    /// Queues the waiting tasks of a recovered job, and calls to the rack owners of assigned ones.
    fn requeue_recovered(&mut self, id: &JobId, now: Now) {
        let Some(job) = self.jobs.get(id) else { return };
        let (ending, kind) = (job.is_ending(), job.spec().kind);
        let assigned = job.indices(|task| matches!(task.phase, TaskPhase::Assigned { .. }));
        let waits = job
            .tasks
            .iter()
            .any(|task| task.phase == TaskPhase::Waiting);
        for index in &assigned {
            self.pending_rack_calls.insert((id.clone(), *index), None);
        }
        if ending {
            self.end_job(id, now);
        } else if kind == JobKind::Gang && !assigned.is_empty() && waits {
            self.stop_gang_tasks(id);
        } else if waits {
            for unit in self.waiting_units(id) {
                self.requeue(unit, now.instant);
            }
        }
        self.finish_if_over(id, now.instant);
    }

    /// Stops owning a home group and forgets its jobs. Callers that wait for the journal get a
    /// refusal with an unknown outcome, since the append may still succeed; those whose job was not
    /// sent to the journal yet get one of work that did not run.
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
            self.dequeue_job(&id);
            effects.extend(self.drop_job(&id));
        }
        self.forget_unjournaled(group);
        effects
    }

    /// Forgets a job of a lost group, releases what it uses and answers its callers.
    fn drop_job(&mut self, id: &JobId) -> Vec<Effect> {
        let Some(job) = self.jobs.remove(id) else {
            return Vec::new();
        };
        self.unaccepted.remove(id);
        self.finished_jobs.retain(|(_, finished)| finished != id);
        for (index, task) in (0_u32..).zip(&job.tasks) {
            self.pending_rack_calls.remove(&(id.clone(), index));
            self.fleet_view
                .release(&crate::home::assign::assignment_key(&job.attempt(index)));
            if let Some(work_item) = &task.work_item {
                self.admission.release(work_item, Default::default());
            }
        }
        if let Some(work_item) = &job.gang_work_item {
            self.admission.release(work_item, Default::default());
        }
        let refusal = group_lost_refusal(&job);
        let class = job.record.spec.class;
        let calls = job.submit_calls.into_iter().chain(job.cancel_calls);
        calls
            .flat_map(|call| refuse(call, class.clone(), refusal.clone()))
            .collect()
    }
}

/// Returns the refusal for the callers of a job whose home group was lost; they may call the
/// successor.
fn group_lost_refusal(job: &Job) -> Refusal {
    let detail = format!("{} has another owner now", job.group);
    match job.acceptance {
        Acceptance::Waiting => Refusal::not_run(RefusalReason::OwnerUnavailable, detail),
        Acceptance::Journaling | Acceptance::Accepted => {
            Refusal::unknown(RefusalReason::OwnerUnavailable, detail)
        }
    }
}
