//! What follows from the end of a run.

use std::time::{Duration, Instant};

use jackdawchute_types::{Checkpoint, JobId, RunNumber, WorkerId};
use spdlog::{info, warn};

use crate::{
    job::{JobPhase, StepRun},
    EndReason, EndedRun, JobOutcome, Scheduler, TaskName,
};

/// Failures of different jobs in a row after which a worker gets no new tasks for a while.
const QUARANTINE_FAILURES: usize = 3;
/// How long a worker is left alone before it is tried again.
const QUARANTINE: Duration = Duration::from_millis(3_000);
/// The weight of a new measurement of a worker's speed.
const SLOWNESS_GAIN: f64 = 0.2;

impl Scheduler {
    pub(crate) fn run_ended(&mut self, id: &WorkerId, end: &EndedRun, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if end.number <= worker.ends_noted {
            return;
        }
        worker.ends_noted = end.number;
        self.ends_unsaved.insert(id.clone());
        let run = worker.runs.get(&end.task).filter(|run| run.run <= end.run);
        let known = run.is_some();
        // Of a run that was taken over nobody knows when it started.
        let started_at = run.filter(|run| run.start.is_some()).map(|run| run.since);
        self.note_health(id, end);
        self.note_duration(id, end, started_at, now);
        self.apply_end(id, end, now);
        if known {
            self.remove_run(id, &end.task, now);
        }
    }

    /// Applies an end to the task's job.
    fn apply_end(&mut self, worker: &WorkerId, end: &EndedRun, now: Instant) {
        let id = &end.task.step.job;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        info!("task ended", kv: {
            job = id.as_str(), step = end.task.step.step, task = end.task.index, run = end.run,
            worker = worker.as_str(), reason:? = end.reason
        });
        job.begun = true;
        let attempts_max = job.queue.attempts_max.max(1);
        let spec = job.graph.steps.get(end.task.step.step as usize);
        let long_running = spec.is_some_and(|spec| spec.long_running);
        let Some(unit) = job.unit_mut(&end.task.step, end.task.index) else {
            return;
        };
        unit.last_run = unit.last_run.max(end.run);
        let mut failed = false;
        match end.reason {
            EndReason::Succeeded if !long_running && !unit.done => {
                unit.done = true;
                if let Some(step) = job.step_mut(&end.task.step) {
                    step.open = step.open.saturating_sub(1);
                }
                self.after_success(&end.task, now);
            }
            EndReason::Failed
                if !long_running && !unit.done && !unit.failed_runs.contains(&end.run) =>
            {
                unit.failed_runs.push(end.run);
                unit.failed_on = Some(worker.clone());
                failed = unit.failed_runs.len() >= attempts_max as usize;
            }
            _ => {}
        }
        self.keep_checkpoint(&end.task, end.run, &end.checkpoint);
        self.unsaved.insert(id.clone());
        if failed {
            info!("job failed", kv: {
                job = id.as_str(), step = end.task.step.step, task = end.task.index,
                failures = attempts_max
            });
            self.end_job(&id.clone(), JobOutcome::Failed);
        }
    }

    fn keep_checkpoint(&mut self, task: &TaskName, run: RunNumber, checkpoint: &Checkpoint) {
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

    fn after_success(&mut self, task: &TaskName, now: Instant) {
        let id = &task.step.job;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let occurrence = task.step.occurrence;
        let complete = |steps: &[StepRun]| steps.iter().all(|step| step.open == 0);
        if job
            .occurrence(occurrence)
            .is_some_and(|it| complete(&it.steps))
        {
            if job.graph.repeat.is_some() {
                job.occurrences.retain(|it| it.occurrence != occurrence);
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

    /// Learns from an end whether its worker fails what it starts.
    fn note_health(&mut self, id: &WorkerId, end: &EndedRun) {
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

    /// Learns from an end how long tasks take, and quarantines a worker that fails them all.
    fn note_duration(
        &mut self,
        id: &WorkerId,
        end: &EndedRun,
        since: Option<Instant>,
        now: Instant,
    ) {
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
        let (Some(since), EndReason::Succeeded) = (since, end.reason) else {
            return;
        };
        let Some(job) = self.jobs.get(&end.task.step.job) else {
            return;
        };
        let Some(spec) = job.graph.steps.get(end.task.step.step as usize) else {
            return;
        };
        let measured = now.saturating_duration_since(since);
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        if !expected.is_zero() {
            let ratio = (measured.as_secs_f64() / expected.as_secs_f64()).clamp(0.1, 20.0);
            health.slowness += SLOWNESS_GAIN * (ratio - health.slowness);
        }
        let queue = job.queue.queue.clone();
        self.run_times.record(&queue, spec.estimate, measured);
    }
}
