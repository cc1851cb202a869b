//! The end of jobs: cancellation, failure and completion.

use std::time::Instant;

use jackdawchute_types::JobId;
use spdlog::info;

use crate::{job::JobPhase, worker::RunPhase, JobOutcome, JobStatus, Scheduler};

impl Scheduler {
    /// Cancels a job and stops its tasks; returns the status of the job before.
    ///
    /// A job that was queued or running has ended once its end is committed.
    pub fn cancel(&mut self, id: &JobId) -> JobStatus {
        let status = self.status(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return status;
        };
        if job.phase == JobPhase::Live {
            info!("job cancelled", kv: { job = id.as_str(), begun = job.begun });
            self.end_job(id, JobOutcome::Cancelled);
        }
        status
    }

    /// Returns whether an earlier leader may still start tasks of a job, whatever its status here: it
    /// may not know of the job's end, and workers that have not reported to this leader follow it.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{Scheduler, Settings};
    ///
    /// let now = Instant::now();
    /// let scheduler = Scheduler::new(Settings::default(), 1, now);
    /// assert!(!scheduler.may_start_under_earlier_leader(&"job".into(), now));
    /// ```
    pub fn may_start_under_earlier_leader(&self, id: &JobId, now: Instant) -> bool {
        if self.recovery.is_complete() || now >= self.authority.earlier_until {
            return false;
        }
        match self.jobs.get(id) {
            Some(job) => job.recovering,
            None => self.ended.get(id).is_some_and(|ended| ended.recovered),
        }
    }

    /// Sets the outcome of a job and stops its tasks; callers see the end once it is committed.
    pub(crate) fn end_job(&mut self, id: &JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if matches!(job.phase, JobPhase::Ending(_)) {
            return;
        }
        job.phase = JobPhase::Ending(outcome);
        let change = self.unsaved.next_change();
        self.unsaved.insert(id, change);
        self.placeable.remove(id);
        self.stop_runs_of(id);
    }

    /// Stops all runs of a job.
    fn stop_runs_of(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for (worker, task) in job.placed_tasks() {
            let target = self.workers.get_mut(&worker);
            let run = target.and_then(|target| target.runs.get_mut(&task));
            if let Some(run) = run.filter(|run| run.phase != RunPhase::Stopping) {
                run.phase = RunPhase::Stopping;
                self.send_stop(&worker, &task);
            }
        }
    }
}
