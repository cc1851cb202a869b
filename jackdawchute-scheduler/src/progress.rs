//! The detection of stuck workers, from the progress that they report for their tasks.
//!
//! A worker may hang while it still answers renewals, and then reports no run end at all. Declared
//! run times are wrong by large factors for all tasks of a job alike, so that slow progress proves
//! nothing; no progress at all does. Progress is told in whole percents: a task counts as without
//! it only beyond the time in which it should have advanced by some. If no other worker can run it,
//! it counts only once it should have ended; if it was stopped for it before, only after long.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use jackdawchute_types::WorkerId;
use spdlog::{info, warn};

use crate::{
    worker::{Run, RunPhase, Worker},
    Scheduler, TaskName,
};

/// The time without progress, added up over all tasks of a worker, after which the worker is stuck.
/// Even a task of a minute advances by one percent in a third of this time.
const STUCK_AFTER: Duration = Duration::from_millis(1_800);
/// The percents that a task is expected to advance by before it counts as without progress; tasks
/// take up to some times as long as expected.
const PERCENTS_EXPECTED: u32 = 3;
/// How many times its expected run time a task that was stopped for it may be without progress at
/// least: one percent of a task that is declared much too short takes that long.
const PATIENCE_FACTOR_MIN: u32 = 6;
/// The longest time that follows from this factor.
const PATIENCE_FACTOR_LIMIT: Duration = Duration::from_secs(10);
/// The most stops of a task that double its patience, which begins with its expected run time.
const PATIENCE_DOUBLINGS_MAX: u32 = 6;
/// The percents of a run from which its speed is taken.
const PERCENTS_OBSERVED: u32 = 20;
/// How long a stuck worker gets no new tasks.
const STUCK_QUARANTINE: Duration = Duration::from_millis(2_500);

/// The progress of a run since a worker first listed it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// The finished share of the work when the run was first listed.
    first_percent: u32,
    first_listed_at: Instant,
    /// The finished share when the run was last listed.
    percent: u32,
    /// Whether the run has told of its worker's speed.
    observed: bool,
}

impl Progress {
    /// Returns the progress of a run that is listed for the first time.
    pub(crate) fn new(percent: u32, now: Instant) -> Self {
        Self {
            first_percent: percent,
            first_listed_at: now,
            percent,
            observed: false,
        }
    }

    /// Records a later report of the finished share.
    pub(crate) fn update(&mut self, percent: u32) {
        self.percent = self.percent.max(percent);
    }

    /// Returns whether the finished share has grown since the run was first listed.
    fn advanced(&self) -> bool {
        self.percent > self.first_percent
    }
}

impl Run {
    /// Returns whether so much of the run is finished that it may tell of its worker's speed, and it
    /// has not yet.
    pub(crate) fn tells_speed(&self) -> bool {
        self.progress
            .is_some_and(|progress| !progress.observed && progress.percent >= PERCENTS_OBSERVED)
    }

    /// Returns how long the whole run takes at the speed seen so far, once enough of it is finished,
    /// and marks it as observed.
    pub(crate) fn observe_speed(&mut self, now: Instant) -> Option<Duration> {
        let progress = self.progress.as_mut()?;
        let order = self.start_order.as_deref();
        let (since, from_percent) = if order.is_some_and(|order| order.checkpoint.is_empty()) {
            (self.known_since, 0)
        } else {
            (progress.first_listed_at, progress.first_percent)
        };
        let finished = progress.percent.saturating_sub(from_percent);
        if finished < PERCENTS_OBSERVED {
            return None;
        }
        progress.observed = true;
        let seen = now.saturating_duration_since(since);
        Some(seen.mul_f64(100.0 / f64::from(finished)))
    }

    /// Returns how long a run took that has ended; `None` if its speed was observed before, or it
    /// was resumed or ordered by another leader.
    pub(crate) fn observe_end(&self, now: Instant) -> Option<Duration> {
        let order = self.start_order.as_deref()?;
        let is_observed = self.progress.is_some_and(|progress| progress.observed);
        let is_whole = order.checkpoint.is_empty() && !is_observed;
        is_whole.then(|| now.saturating_duration_since(self.known_since))
    }
}

impl Scheduler {
    /// Checks a worker after a renewal; if none of its tasks makes progress, stops them to run
    /// elsewhere and quarantines the worker.
    pub(crate) fn check_progress(&mut self, id: &WorkerId, now: Instant) {
        self.learn_from_progress(id, now);
        let Some(without_progress) = self
            .workers
            .get(id)
            .and_then(|worker| self.time_without_progress(worker, now))
        else {
            return;
        };
        if without_progress < STUCK_AFTER {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.health.quarantined_until = Some(now + STUCK_QUARANTINE);
        let stuck_tasks: Vec<TaskName> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.phase == RunPhase::Running)
            .map(|(task, _)| task.clone())
            .collect();
        warn!("worker is stuck: none of its tasks makes progress", kv: {
            worker = id.as_str(), still_ms = without_progress.as_millis() as u64,
            moved = stuck_tasks.len()
        });
        // A gang is one unit, however many of its tasks the worker runs.
        let mut stuck_units = HashSet::new();
        for task in stuck_tasks {
            info!("task stopped on a stuck worker", kv: {
                job = task.step.job.as_str(), step = task.step.step, task = task.index,
                worker = id.as_str()
            });
            let job = self.jobs.get_mut(&task.step.job);
            let unit_index = job.as_ref().and_then(|job| {
                let (spec, _) = job.step(&task.step)?;
                Some(spec.unit_index(task.index))
            });
            let is_first = stuck_units.insert((task.step.clone(), unit_index));
            let unit = job.and_then(|job| job.unit_mut(&task.step, task.index));
            if let Some(unit) = unit.filter(|_| is_first) {
                unit.stuck_stops = unit.stuck_stops.saturating_add(1);
            }
            self.stop_with_gang(id, &task);
        }
    }

    /// Returns the time without progress beyond what each task is allowed, added up over the
    /// worker's tasks; `None` if any task has made progress.
    fn time_without_progress(&self, worker: &Worker, now: Instant) -> Option<Duration> {
        let mut without_progress = Duration::ZERO;
        for (task, run) in &worker.runs {
            if !self.reports_progress(task, run) {
                continue;
            }
            let Some(progress) = run.progress else {
                continue;
            };
            // Restarting tasks that have made progress costs more than waiting for them.
            if progress.advanced() {
                return None;
            }
            let still = now.saturating_duration_since(progress.first_listed_at);
            without_progress += self.beyond_allowed(worker, task, still);
        }
        Some(without_progress)
    }

    /// Returns by how much a task that is `still` has gone beyond the time without progress that says
    /// nothing of its worker.
    fn beyond_allowed(&self, worker: &Worker, task: &TaskName, still: Duration) -> Duration {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return still;
        };
        let Some((spec, step)) = job.step(&task.step) else {
            return still;
        };
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        let unit = step.units.get(spec.unit_index(task.index));
        let stops = unit.map_or(0, |unit| unit.stuck_stops);
        if stops > 0 {
            let doubled = expected.saturating_mul(1 << stops.min(PATIENCE_DOUBLINGS_MAX));
            let least = expected.saturating_mul(PATIENCE_FACTOR_MIN);
            return still.saturating_sub(doubled.max(least.min(PATIENCE_FACTOR_LIMIT)));
        }
        let allowed = expected / 100 * PERCENTS_EXPECTED;
        let other_could_run = || {
            self.workers.values().any(|other| {
                other.id() != worker.id()
                    && other.is_responsive()
                    && other.entry.service == job.queue.service
                    && spec
                        .required_label
                        .as_ref()
                        .is_none_or(|label| other.entry.labels.contains(label))
            })
        };
        if still > allowed && other_could_run() {
            still - allowed
        } else {
            still.saturating_sub(expected)
        }
    }

    /// Returns whether the reported percentage of a run shows its progress; it does not for tasks
    /// that run until they are cancelled or use only spare processor time.
    pub(crate) fn reports_progress(&self, task: &TaskName, run: &Run) -> bool {
        let job = self.jobs.get(&task.step.job);
        let spec = job.and_then(|job| job.graph.steps.get(task.step.step as usize));
        run.phase == RunPhase::Running && spec.is_some_and(|spec| !spec.long_running && !spec.fills)
    }
}
