//! Finds workers whose tasks stand still, from the progress that they list.
//!
//! Answers workers that hang while they look healthy: no end would ever tell. Declared run times are
//! off by whole factors for all tasks of a job alike, so that slow progress proves nothing; none at
//! all does.

use std::time::{Duration, Instant};

use jackdawchute_types::WorkerId;
use spdlog::{info, warn};

use crate::{
    worker::{Run, RunPhase, Worker},
    Scheduler, TaskName,
};

/// How long all tasks of a worker together must have been seen without any progress; even tasks of
/// a minute gain a percent in a third of that.
const STILL_MIN: Duration = Duration::from_millis(1_800);
/// How long a stuck worker gets no new tasks before it is tried again.
const STUCK_PAUSE: Duration = Duration::from_millis(2_500);

/// How far a run was when it was first listed, and whether it has got on since.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    first_percent: u32,
    first_listed_at: Instant,
    moved: bool,
}

impl Progress {
    pub(crate) fn new(percent: u32, now: Instant) -> Self {
        Self {
            first_percent: percent,
            first_listed_at: now,
            moved: false,
        }
    }

    pub(crate) fn update(&mut self, percent: u32) {
        self.moved |= percent > self.first_percent;
    }
}

impl Scheduler {
    /// Judges a worker after a look; moves its tasks elsewhere if none of them gets on.
    pub(crate) fn judge_progress(&mut self, id: &WorkerId, now: Instant) {
        let Some(still) = self
            .workers
            .get(id)
            .and_then(|worker| self.still_for(worker, now))
        else {
            return;
        };
        if still < STILL_MIN {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.health.quarantined_until = Some(now + STUCK_PAUSE);
        let stuck: Vec<TaskName> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.phase == RunPhase::Running)
            .map(|(task, _)| task.clone())
            .collect();
        warn!("tasks of a worker stand still", kv: {
            worker = id.as_str(), still_ms = still.as_millis() as u64, moved = stuck.len()
        });
        for task in stuck {
            info!("task moved from a stuck worker", kv: {
                job = task.step.job.as_str(), step = task.step.step, task = task.index,
                worker = id.as_str()
            });
            self.bar(id, &task);
        }
    }

    /// How long the worker's tasks have stood still, all together; `None` if one got on.
    fn still_for(&self, worker: &Worker, now: Instant) -> Option<Duration> {
        let mut still = Duration::ZERO;
        for (task, run) in &worker.runs {
            if !self.shows_progress(task, run) {
                continue;
            }
            let Some(progress) = run.progress else {
                continue;
            };
            // Moving tasks that got on costs more than waiting for them to get on again.
            if progress.moved {
                return None;
            }
            still += now.saturating_duration_since(progress.first_listed_at);
        }
        Some(still)
    }

    /// Whether the run's percentage tells how far it is.
    fn shows_progress(&self, task: &TaskName, run: &Run) -> bool {
        let job = self.jobs.get(&task.step.job);
        let spec = job.and_then(|job| job.graph.steps.get(task.step.step as usize));
        run.phase == RunPhase::Running && spec.is_some_and(|spec| !spec.long_running && !spec.fills)
    }
}
