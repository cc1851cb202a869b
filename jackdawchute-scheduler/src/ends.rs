//! The effects of a run's end on its task, its job and its worker.

use std::time::{Duration, Instant};

use jackdawchute_types::{Checkpoint, JobId, RunNumber, WorkerId};
use spdlog::{info, warn};

use crate::{
    job::{JobPhase, StepRun},
    unsaved::ChangeNumber,
    EndReason, EndedRun, JobOutcome, Scheduler, TaskName,
};

/// How many jobs fail on a worker in a row before it is quarantined.
const QUARANTINE_FAILURES: usize = 3;
/// How long a worker in quarantine gets no new tasks.
const QUARANTINE: Duration = Duration::from_millis(3_000);

impl Scheduler {
    /// Handles a run end that a worker reports; returns `false` if it is recorded already.
    pub(crate) fn run_ended(&mut self, id: &WorkerId, end: &EndedRun, now: Instant) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        if end.number <= worker.ends_recorded {
            return false;
        }
        worker.ends_recorded = end.number;
        let change = self.unsaved.next_change();
        worker.ends_unsaved.push_back((change, end.number));
        self.ends_unsaved.insert(id.clone());
        let run = worker.runs.get(&end.task).filter(|run| run.run <= end.run);
        let known_since = run.map(|run| run.known_since);
        // When a run started is known only if this leader ordered it.
        let started = run.filter(|run| run.start_order.is_some());
        let started = started.map(|run| (run.known_since, run.slowdown));
        self.record_health(id, end);
        self.quarantine(id, end, now);
        if end.reason == EndReason::Succeeded {
            self.learn_from_end(id, end, now);
            if let Some((started_at, slowdown)) = started {
                let run_time = now.saturating_duration_since(started_at);
                self.record_run_time(&end.task, run_time.div_f64(slowdown));
            }
        }
        self.apply_end(id, end, change, now);
        if let Some(known_since) = known_since {
            let run_time = now.saturating_duration_since(known_since);
            self.pause_restart(end, run_time, now);
            self.remove_run(id, &end.task, now);
        }
        true
    }

    /// Applies a run end to the task's job.
    fn apply_end(&mut self, worker: &WorkerId, end: &EndedRun, change: ChangeNumber, now: Instant) {
        let id = &end.task.step.job;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        self.unsaved.insert(id, change);
        info!("task ended", kv: {
            job = id.as_str(), step = end.task.step.step, task = end.task.index, run = end.run,
            worker = worker.as_str(), reason:? = end.reason
        });
        job.begun = true;
        // An earlier leader whose clock was ahead, or that did not save the occurrence, began it.
        if job.begin_occurrences(end.task.step.occurrence.saturating_add(1)) {
            self.placeable.insert(id.clone());
        }
        let attempts_max = job.queue.attempts_max.max(1);
        let spec = job.graph.steps.get(end.task.step.step as usize);
        let long_running = spec.is_some_and(|spec| spec.long_running);
        let Some(unit) = job.unit_mut(&end.task.step, end.task.index) else {
            return;
        };
        unit.last_run = unit.last_run.max(end.run);
        let mut job_failed = false;
        match end.reason {
            EndReason::Succeeded if !long_running && !unit.done => {
                unit.done = true;
                if let Some(step) = job.step_mut(&end.task.step) {
                    step.units_left = step.units_left.saturating_sub(1);
                }
                self.task_succeeded(&end.task, now);
            }
            EndReason::Failed
                if !long_running && !unit.done && !unit.failed_runs.contains(&end.run) =>
            {
                unit.failed_runs.push(end.run);
                unit.failed_on = Some(worker.clone());
                job_failed = unit.failed_runs.len() >= attempts_max as usize;
            }
            _ => {}
        }
        self.record_final_checkpoint(&end.task, end.run, &end.checkpoint);
        self.mark_unsaved(&end.task);
        if job_failed {
            info!("job failed", kv: {
                job = id.as_str(), step = end.task.step.step, task = end.task.index,
                failures = attempts_max
            });
            self.end_job(&id.clone(), JobOutcome::Failed);
        }
    }

    /// Has the progress row of a task written with the next batch.
    pub(crate) fn save_progress_of(&mut self, task: &TaskName) {
        let change = self.unsaved.next_change();
        self.unsaved.insert(&task.step.job, change);
        self.mark_unsaved(task);
    }

    /// Marks the progress row of a task as unsaved.
    fn mark_unsaved(&mut self, task: &TaskName) {
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            let spec = job.graph.steps.get(task.step.step as usize);
            if let Some(unit) = spec.map(|spec| spec.unit_index(task.index)) {
                job.mark_unit_unsaved(task.step.occurrence, task.step.step, unit);
            }
        }
    }

    /// Stores the last checkpoint of a run, unless a later run has begun.
    fn record_final_checkpoint(
        &mut self,
        task: &TaskName,
        run: RunNumber,
        checkpoint: &Checkpoint,
    ) {
        let unit = self
            .jobs
            .get_mut(&task.step.job)
            .and_then(|job| job.unit_mut(&task.step, task.index));
        if let Some(unit) = unit {
            if run >= unit.last_run && !checkpoint.is_empty() {
                unit.checkpoint = checkpoint.clone();
            }
        }
    }

    /// Completes the occurrence or the job after the success of a task, or lets further steps
    /// start.
    fn task_succeeded(&mut self, task: &TaskName, now: Instant) {
        let id = &task.step.job;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let occurrence = task.step.occurrence;
        let is_complete = |steps: &[StepRun]| steps.iter().all(|step| step.units_left == 0);
        if job
            .occurrence(occurrence)
            .is_some_and(|occurrence_run| is_complete(&occurrence_run.steps))
        {
            if job.graph.repeat.is_some() {
                job.mark_occurrence_unsaved(occurrence);
                job.occurrences
                    .retain(|occurrence_run| occurrence_run.occurrence != occurrence);
            }
            job.occurrences_done += 1;
            if job.occurrences_done >= job.occurrences_total() && job.phase == JobPhase::Live {
                let took = now.saturating_duration_since(job.accepted_at);
                info!("job completed", kv: {
                    job = id.as_str(), queue = job.queue.queue.as_str(),
                    took_ms = took.as_millis() as u64,
                    waited_ms = job.waited(now).as_millis() as u64
                });
                self.end_job(&id.clone(), JobOutcome::Completed);
                return;
            }
        }
        if let Some(job) = self.jobs.get(id) {
            if job.phase == JobPhase::Live {
                self.make_placeable(&id.clone(), now);
            }
        }
    }

    /// Records a run end that counts for the quarantine of a worker: a success, or the first
    /// failure of a job since the last success.
    fn record_health(&mut self, id: &WorkerId, end: &EndedRun) {
        let job: JobId = end.task.step.job.clone();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match end.reason {
            EndReason::Succeeded => {
                worker.health.failed_jobs.clear();
                worker.health.quarantined_until = None;
            }
            EndReason::Failed if !worker.health.failed_jobs.contains(&job) => {
                worker.health.failed_jobs.push(job);
            }
            _ => {}
        }
    }

    /// Quarantines a worker on which several jobs failed in a row.
    fn quarantine(&mut self, id: &WorkerId, end: &EndedRun, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let health = &mut worker.health;
        if end.reason == EndReason::Failed
            && health.failed_jobs.len() >= QUARANTINE_FAILURES
            && health.quarantined_until.is_none_or(|until| until < now)
        {
            warn!("worker quarantined", kv: {
                worker = id.as_str(), failed_jobs = health.failed_jobs.len()
            });
            health.quarantined_until = Some(now + QUARANTINE);
        }
    }

    /// Records the run time of a task that succeeded, as on the mean worker near its data, for the
    /// estimates of its queue.
    fn record_run_time(&mut self, task: &TaskName, run_time: Duration) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        if let Some(spec) = job.graph.steps.get(task.step.step as usize) {
            self.run_times
                .record(&job.queue.queue, spec.estimate, run_time);
        }
    }
}
