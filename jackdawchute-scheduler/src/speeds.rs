//! What runs tell of the speeds of workers, and what follows for a task.

use std::time::{Duration, Instant};

use jackdawchute_speeds::RunEstimate;
use jackdawchute_types::{RackId, Ticket, WorkerId};

use crate::{
    free_capacity::WorkerCapacity,
    job::Job,
    rank::Timeliness,
    worker::{Run, Worker},
    EndedRun, Scheduler, StepSpec, TaskName,
};

/// The time that work has left that nobody waits for.
const NO_HURRY: Duration = Duration::from_secs(30 * 24 * 3_600);

impl Scheduler {
    /// Returns by what factor tasks take longer on a worker than on the mean one.
    pub(crate) fn slowness(&self, worker: &Worker, now: Instant) -> f64 {
        self.fleet_speeds.slowness(&worker.health.speed, now)
    }

    /// Returns by what factor a step's tasks take longer on a rack, as their data is on another one;
    /// `None` if they don't.
    pub(crate) fn far_slowdown(&self, spec: &StepSpec, rack: Option<&RackId>) -> Option<f64> {
        let is_far = spec.data_rack.is_some() && spec.data_rack.as_ref() != rack;
        is_far.then_some(self.settings.remote_slowdown)
    }

    /// Returns how long a step's tasks are expected to take on the mean worker, near their data.
    pub(crate) fn estimate(&self, job: &Job, spec: &StepSpec) -> RunEstimate {
        self.run_times
            .estimate_of_step(&job.queue.queue, spec.estimate, spec.tasks)
    }

    /// Returns how long a task of a step is expected to take on a worker.
    pub(crate) fn expected_on(
        &self,
        spec: &StepSpec,
        estimate: &RunEstimate,
        worker_capacity: &WorkerCapacity,
    ) -> Duration {
        let far = self.far_slowdown(spec, worker_capacity.rack.as_ref());
        estimate.expected_at(worker_capacity.slowness * far.unwrap_or(1.0))
    }

    /// Returns for how long a task of a step may run from now on, with its job still in time: what it
    /// is expected to take, and its part of the job's slack. `None` for a job that is late.
    ///
    /// Work that lasts or fills gaps has time if nothing is promised for it, and so has work that is
    /// so late that its result is of hardly any use: both leave fast workers to others.
    pub(crate) fn time_left(&self, job: &Job, spec: &StepSpec, now: Instant) -> Option<Duration> {
        if spec.long_running || spec.fills {
            return spec.tail_target.is_none().then_some(NO_HURRY);
        }
        if job.graph.long_running() {
            return None;
        }
        let (timeliness, slack) = self.timeliness(job, now);
        match timeliness {
            Timeliness::OnTime => {}
            Timeliness::Late => return None,
            Timeliness::TooLate => return Some(NO_HURRY),
        }
        let declared_chain = job.graph.longest_chain().as_secs_f64();
        let part = if declared_chain > 0.0 {
            (spec.estimate.as_secs_f64() / declared_chain).min(1.0)
        } else {
            1.0
        };
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        Some(expected + slack.mul_f64(part))
    }

    /// Returns by what factor each of these tasks takes longer than on the mean worker near its data;
    /// those of a gang end with the slowest.
    pub(crate) fn slowdowns(
        &self,
        spec: &StepSpec,
        assignments: &[(u32, WorkerId, Option<Ticket>)],
        now: Instant,
    ) -> Vec<f64> {
        let slowdown = |(_, worker, _): &(u32, WorkerId, Option<Ticket>)| {
            self.workers.get(worker).map_or(1.0, |worker| {
                let far = self.far_slowdown(spec, worker.entry.rack.as_ref());
                self.slowness(worker, now) * far.unwrap_or(1.0)
            })
        };
        let slowdowns: Vec<f64> = assignments.iter().map(slowdown).collect();
        if !spec.gang {
            return slowdowns;
        }
        let workers = assignments.iter().map(|(_, worker, _)| worker);
        let mut racks = workers.map(|worker| {
            let worker = self.workers.get(worker);
            worker.and_then(|worker| worker.entry.rack.as_ref())
        });
        let first = racks.next();
        let over_racks = spec.rack_local && racks.any(|rack| Some(rack) != first);
        let of_racks = if over_racks {
            self.settings.remote_slowdown
        } else {
            1.0
        };
        let slowest = slowdowns.into_iter().fold(0.0, f64::max) * of_racks;
        vec![slowest; assignments.len()]
    }

    /// Learns from the progress of a worker's runs how fast it is.
    pub(crate) fn learn_from_progress(&mut self, id: &WorkerId, now: Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let of_use =
            |(task, run): &(&TaskName, &Run)| run.tells_speed() && self.reports_progress(task, run);
        let tasks: Vec<TaskName> = worker
            .runs
            .iter()
            .filter(of_use)
            .map(|(task, _)| task.clone())
            .collect();
        for task in tasks {
            let run = self.run_mut(id, &task);
            if let Some(run_time) = run.and_then(|run| run.observe_speed(now)) {
                self.learn_speed(id, &task, run_time, now);
            }
        }
    }

    /// Learns from a run that succeeded how fast its worker is, unless its progress has told.
    pub(crate) fn learn_from_end(&mut self, id: &WorkerId, end: &EndedRun, now: Instant) {
        let run = self.run_mut(id, &end.task).filter(|run| run.run == end.run);
        let run_time = run.and_then(|run| run.observe_end(now));
        if let Some(run_time) = run_time {
            self.learn_speed(id, &end.task, run_time, now);
        }
    }

    /// Learns the speed of a worker from what a task took, or would take, on it.
    fn learn_speed(&mut self, id: &WorkerId, task: &TaskName, run_time: Duration, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let Some(spec) = job.graph.steps.get(task.step.step as usize).cloned() else {
            return;
        };
        // All tasks of a gang take as long as the slowest.
        if spec.gang || spec.estimate.is_zero() {
            return;
        }
        let rack = self.workers.get(id).and_then(|it| it.entry.rack.clone());
        let far = self.far_slowdown(&spec, rack.as_ref()).unwrap_or(1.0);
        let ratio = run_time.as_secs_f64() / spec.estimate.as_secs_f64() / far;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let queue = self.run_times.pace_mut(&job.queue.queue);
        let speed = &mut worker.health.speed;
        let refresh = self
            .fleet_speeds
            .observe(queue, &mut job.pace, speed, ratio, now);
        if refresh {
            let speeds = self.workers.values().map(|worker| &worker.health.speed);
            self.fleet_speeds.refresh(speeds, now);
        }
    }
}
