//! The end of attempts: retries of tasks, and the end of tasks and jobs.

use std::time::{Duration, Instant};

use jackdawchute_types::{JobId, JobKind, RetryReason};

use crate::{
    effect::Count,
    home::{
        assign::assignment_key,
        job::{parse_task, TaskPhase},
        state::{HomeGroups, Unit},
    },
    record::{delete_entry, job_key, put_entry, task_key},
    AttemptEnd, AttemptState, NotStartedReason, TaskAttempt,
};

/// The cost of one retry, in hundredths of a retry.
const RETRY_COST: u32 = 100;

impl HomeGroups {
    /// Applies the state of an attempt that a rack owner answered or reported. States of earlier
    /// attempts are ignored, since those are over.
    pub(crate) fn apply_attempt_state(
        &mut self,
        id: &TaskAttempt,
        state: AttemptState,
        now: Instant,
    ) {
        let Some((job_id, index)) = parse_task(&id.task) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&job_id) else {
            return;
        };
        if job.attempt(index) != *id {
            return;
        }
        let Some(task) = job.task_mut(index) else {
            return;
        };
        let TaskPhase::Assigned { running, .. } = &mut task.phase else {
            return;
        };
        let stopping = task.stopping;
        match state {
            AttemptState::Ended(end) => {
                self.end_attempt(&job_id, index, end, now);
                return;
            }
            AttemptState::Running => {
                let first = !std::mem::replace(running, true);
                if first {
                    self.mark_running(&job_id, index, now);
                }
            }
            AttemptState::Journaled => {}
        }
        if !stopping {
            self.pending_rack_calls.remove(&(job_id, index));
        }
    }

    /// Records the first report that an attempt runs.
    fn mark_running(&mut self, id: &JobId, index: u32, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.last_start = Some(now);
        let waited = now.saturating_duration_since(job.accepted_at);
        let class = job.spec().class.clone();
        job.record_event(format!("task {index} runs"));
        self.counts.push(Count::Placed(class, waited));
    }

    /// Ends the current attempt of a task and decides whether the task is tried again.
    fn end_attempt(&mut self, id: &JobId, index: u32, end: AttemptEnd, now: Instant) {
        self.release_capacity(id, index, now);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.record_event(format!("task {index} ended: {end:?}"));
        let ending = job.is_ending();
        let next = match end {
            AttemptEnd::Succeeded => TaskPhase::Succeeded,
            _ if ending => TaskPhase::Cancelled,
            AttemptEnd::Failed => self.phase_after_failure(id, index),
            _ => TaskPhase::Waiting,
        };
        self.set_phase(id, index, next.clone());
        if next == TaskPhase::Waiting {
            self.retry(id, index, end, now);
        } else {
            self.end_failed_gang(id);
            self.requeue_gang(id, now);
            self.finish_if_over(id, now);
        }
    }

    /// Releases the capacity of an ended attempt.
    fn release_capacity(&mut self, id: &JobId, index: u32, now: Instant) {
        self.pending_rack_calls.remove(&(id.clone(), index));
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let (attempt, resources) = (job.attempt(index), job.spec().resources);
        let kind = job.spec().kind;
        let Some(task) = job.task_mut(index) else {
            return;
        };
        task.stopping = false;
        let work_item = task.work_item.take();
        let assigned_at = task.assigned_at.take();
        let worker = match &task.phase {
            TaskPhase::Assigned {
                worker,
                running: true,
                ..
            } => Some(worker.clone()),
            _ => None,
        };
        if let Some(work_item) = work_item {
            // The run time of a service says nothing about how soon capacity becomes free.
            let measured = assigned_at.filter(|_| worker.is_some() && kind != JobKind::Service);
            let ran = measured.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            self.admission.release(&work_item, ran);
        }
        self.fleet_view.release(&assignment_key(&attempt));
        if let Some(worker) = worker {
            self.deduct_ended_task(&worker, &resources);
        }
    }

    /// Counts a failure and returns the next phase: waiting for a retry if the limit of failures
    /// and the retry budget of the class allow one, else failed.
    fn phase_after_failure(&mut self, id: &JobId, index: u32) -> TaskPhase {
        let failures_max = self.settings.failures_max;
        let Some(job) = self.jobs.get_mut(id) else {
            return TaskPhase::Failed;
        };
        let class = job.spec().class.clone();
        let Some(task) = job.task_mut(index) else {
            return TaskPhase::Failed;
        };
        task.failures += 1;
        let exhausted = task.failures >= failures_max;
        if exhausted || !self.take_from_retry_budget(&class) {
            return TaskPhase::Failed;
        }
        TaskPhase::Waiting
    }

    /// Takes one retry from the budget of a class; returns whether there was one.
    fn take_from_retry_budget(&mut self, class: &jackdawchute_types::ClassId) -> bool {
        let full = self.settings.retry_budget_max.saturating_mul(RETRY_COST);
        let budget = self.retry_budgets.entry(class.clone()).or_insert(full);
        let enough = *budget >= RETRY_COST;
        if enough {
            *budget -= RETRY_COST;
        }
        enough
    }

    /// Adds to the retry budget of a job's class after a success.
    fn add_to_retry_budget(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let full = self.settings.retry_budget_max.saturating_mul(RETRY_COST);
        let class = job.spec().class.clone();
        let budget = self.retry_budgets.entry(class).or_insert(full);
        *budget = budget
            .saturating_add(self.settings.retry_budget_percent)
            .min(full);
    }

    /// Sets the phase of a task after an attempt and queues its record for the journal.
    fn set_phase(&mut self, id: &JobId, index: u32, phase: TaskPhase) {
        if phase == TaskPhase::Succeeded {
            self.add_to_retry_budget(id);
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(task) = job.task_mut(index) {
            task.phase = phase;
        }
        let group = job.group.clone();
        if let Some(record) = job.task_record(index) {
            self.add_unjournaled(put_entry(&group, task_key(id, index), &record));
        }
    }

    /// Queues a task for another attempt, later after each failure; a gang only once all its tasks
    /// have stopped.
    fn retry(&mut self, id: &JobId, index: u32, end: AttemptEnd, now: Instant) {
        let Some(job) = self.jobs.get(id) else { return };
        let failures = job
            .tasks
            .get(index as usize)
            .map_or(0, |task| task.failures);
        let (kind, class) = (job.spec().kind, job.spec().class.clone());
        self.counts.push(Count::Retried(class, retry_reason(end)));
        if kind == JobKind::Gang {
            self.stop_gang_tasks(id);
            self.requeue_gang(id, now);
            return;
        }
        let unit = Unit {
            job: id.clone(),
            index: Some(index),
        };
        self.delay(unit, None, now, failures);
    }

    /// Marks a job as finished if all its tasks are over.
    pub(crate) fn finish_if_over(&mut self, id: &JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.finished || !job.tasks.iter().all(|task| task.phase.is_over()) {
            return;
        }
        job.finished = true;
        job.record_event("finished");
        self.finished_jobs.push_back((now, id.clone()));
    }

    /// Forgets finished jobs beyond the retention time and count, and deletes their entries.
    pub(crate) fn forget_finished(&mut self, now: Instant) {
        while let Some((at, id)) = self.finished_jobs.front().cloned() {
            let old = now.saturating_duration_since(at) >= self.settings.retention;
            if !old && self.finished_jobs.len() <= self.settings.retained_max {
                return;
            }
            self.finished_jobs.pop_front();
            let Some(job) = self.jobs.remove(&id) else {
                continue;
            };
            for index in job.indices(|task| task.attempt > 0) {
                self.add_unjournaled(delete_entry(&job.group, task_key(&id, index)));
            }
            self.add_unjournaled(delete_entry(&job.group, job_key(&id)));
        }
    }
}

fn retry_reason(end: AttemptEnd) -> RetryReason {
    match end {
        AttemptEnd::NotStarted(NotStartedReason::NoRoom | NotStartedReason::NotAccepting) => {
            RetryReason::NoCapacity
        }
        AttemptEnd::NotStarted(NotStartedReason::StoreUnavailable) => RetryReason::StoreUnavailable,
        AttemptEnd::NotStarted(_) => RetryReason::OwnerChanged,
        AttemptEnd::Failed => RetryReason::TaskFailed,
        AttemptEnd::Succeeded | AttemptEnd::Stopped | AttemptEnd::Lost => RetryReason::LeaseLapsed,
    }
}
