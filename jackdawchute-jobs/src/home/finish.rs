//! What becomes of a task and its job when an attempt ends.

use std::time::{Duration, Instant};

use jackdawchute_types::{JobId, JobKind, RetryReason};

use crate::{
    effect::Count,
    home::{
        assign::own_key,
        job::{parse_task, TaskPhase},
        state::{HomeGroups, Unit},
    },
    record::{forget, job_key, put, task_key},
    AttemptEnd, AttemptState, NotStartedReason, TaskAttempt,
};

/// One retry in hundredths.
const RETRY_COST: u32 = 100;

impl HomeGroups {
    /// Takes in what a rack owner says of an attempt; anything but the current one is over.
    pub(crate) fn note_state(&mut self, id: &TaskAttempt, state: AttemptState, now: Instant) {
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
                self.note_end(&job_id, index, end, now);
                return;
            }
            AttemptState::Running => {
                let first = !std::mem::replace(running, true);
                if first {
                    self.note_running(&job_id, index, now);
                }
            }
            AttemptState::Journaled => {}
        }
        if !stopping {
            self.to_ask.remove(&(job_id, index));
        }
    }

    fn note_running(&mut self, id: &JobId, index: u32, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.last_start = Some(now);
        let waited = now.saturating_duration_since(job.accepted);
        let class = job.spec().class.clone();
        job.note(format!("task {index} runs"));
        self.counts.push(Count::Placed(class, waited));
    }

    fn note_end(&mut self, id: &JobId, index: u32, end: AttemptEnd, now: Instant) {
        self.give_back(id, index, now);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.note(format!("task {index} ended: {end:?}"));
        let over = job.gave_up();
        let next = match end {
            AttemptEnd::Succeeded => TaskPhase::Succeeded,
            _ if over => TaskPhase::Cancelled,
            AttemptEnd::Failed => self.after_failure(id, index),
            _ => TaskPhase::Waiting,
        };
        self.set_ended(id, index, next.clone());
        if next == TaskPhase::Waiting {
            self.retry(id, index, end, now);
        } else {
            self.give_up_gang(id);
            self.requeue_gang(id, now);
            self.finish_if_over(id, now);
        }
    }

    /// Gives the capacity of an ended attempt back.
    fn give_back(&mut self, id: &JobId, index: u32, now: Instant) {
        self.to_ask.remove(&(id.clone(), index));
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
        let since = task.assigned.take();
        let worker = match &task.phase {
            TaskPhase::Assigned {
                worker,
                running: true,
                ..
            } => Some(worker.clone()),
            _ => None,
        };
        if let Some(work_item) = work_item {
            // The time that a service runs says nothing of how soon others get its place.
            let measured = since.filter(|_| worker.is_some() && kind != JobKind::Service);
            let ran = measured.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            self.admission.release(&work_item, ran);
        }
        self.view.release(&own_key(&attempt));
        if let Some(worker) = worker {
            self.note_gone(&worker, &resources);
        }
    }

    /// Failed for good, or waiting for a retry within the class's budget.
    fn after_failure(&mut self, id: &JobId, index: u32) -> TaskPhase {
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
        if exhausted || !self.take_retry(&class) {
            return TaskPhase::Failed;
        }
        TaskPhase::Waiting
    }

    fn take_retry(&mut self, class: &jackdawchute_types::ClassId) -> bool {
        let full = self.settings.retry_budget_max.saturating_mul(RETRY_COST);
        let saved = self.retry_budgets.entry(class.clone()).or_insert(full);
        let enough = *saved >= RETRY_COST;
        if enough {
            *saved -= RETRY_COST;
        }
        enough
    }

    fn save_retry(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let full = self.settings.retry_budget_max.saturating_mul(RETRY_COST);
        let class = job.spec().class.clone();
        let saved = self.retry_budgets.entry(class).or_insert(full);
        *saved = saved
            .saturating_add(self.settings.retry_budget_percent)
            .min(full);
    }

    fn set_ended(&mut self, id: &JobId, index: u32, phase: TaskPhase) {
        if phase == TaskPhase::Succeeded {
            self.save_retry(id);
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(task) = job.task_mut(index) {
            task.phase = phase;
        }
        let group = job.group.clone();
        if let Some(record) = job.task_record(index) {
            self.journal_later(put(&group, task_key(id, index), &record));
        }
    }

    fn retry(&mut self, id: &JobId, index: u32, end: AttemptEnd, now: Instant) {
        let Some(job) = self.jobs.get(id) else { return };
        let failures = job
            .tasks
            .get(index as usize)
            .map_or(0, |task| task.failures);
        let (kind, class) = (job.spec().kind, job.spec().class.clone());
        self.counts.push(Count::Retried(class, retry_reason(end)));
        if kind == JobKind::Gang {
            self.break_gang(id);
            self.requeue_gang(id, now);
            return;
        }
        let unit = Unit {
            job: id.clone(),
            index: Some(index),
        };
        self.delay(unit, None, now, failures);
    }

    /// Ends a job whose tasks are all over.
    pub(crate) fn finish_if_over(&mut self, id: &JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.finished || !job.tasks.iter().all(|task| task.phase.is_over()) {
            return;
        }
        job.finished = true;
        job.note("finished");
        self.finished.push_back((now, id.clone()));
    }

    /// Forgets finished jobs beyond the time and count that are kept.
    pub(crate) fn forget_finished(&mut self, now: Instant) {
        while let Some((at, id)) = self.finished.front().cloned() {
            let old = now.saturating_duration_since(at) >= self.settings.retention;
            if !old && self.finished.len() <= self.settings.retained_max {
                return;
            }
            self.finished.pop_front();
            let Some(job) = self.jobs.remove(&id) else {
                continue;
            };
            for index in job.indices(|task| task.attempt > 0) {
                self.journal_later(forget(&job.group, task_key(&id, index)));
            }
            self.journal_later(forget(&job.group, job_key(&id)));
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
