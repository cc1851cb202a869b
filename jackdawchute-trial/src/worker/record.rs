//! What truly ran on a worker.

use std::time::SystemTime;

use jackdawchute_platform::TaskEnd;
use jackdawchute_types::{Resources, TaskId, WorkerId};
use serde::{Deserialize, Serialize};

/// One run of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: u32,
    /// What it declared.
    pub resources: Resources,
    /// What it used.
    pub used: Resources,
    /// When it began.
    pub started: SystemTime,
    /// When and how it ended, or `None` while it runs.
    pub ended: Option<(SystemTime, TaskEnd)>,
}

/// Every run on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The worker.
    pub worker: WorkerId,
    /// What it has.
    pub resources: Resources,
    /// The runs in the order of their starts.
    pub runs: Vec<TaskRun>,
}

impl WorkerRecord {
    /// The runs of one task.
    pub fn runs_of<'a>(&'a self, task: &'a str) -> impl Iterator<Item = &'a TaskRun> {
        self.runs.iter().filter(move |run| run.task == task)
    }

    /// The most of each resource that running tasks declared at one time.
    pub fn max_charge(&self) -> Resources {
        self.runs
            .iter()
            .map(|run| self.charge_at(run.started))
            .fold(Resources::ZERO, |most, charge| most.max(&charge))
    }

    /// Whether running tasks never declared more than the worker has.
    pub fn is_within_size(&self) -> bool {
        self.max_charge().fits_in(&self.resources)
    }

    /// What the tasks that run at `instant` declare together.
    pub fn charge_at(&self, instant: SystemTime) -> Resources {
        self.runs
            .iter()
            .filter(|run| run.is_running_at(instant))
            .fold(Resources::ZERO, |sum, run| {
                sum.saturating_add(&run.resources)
            })
    }
}

impl TaskRun {
    /// Whether it runs at `instant`; its end does not count.
    pub fn is_running_at(&self, instant: SystemTime) -> bool {
        let is_over = self.ended.is_some_and(|(ended, _)| ended <= instant);
        self.started <= instant && !is_over
    }

    /// Whether both run at some instant.
    pub fn overlaps(&self, other: &Self) -> bool {
        let ends_before = |first: &Self, second: &Self| {
            first
                .ended
                .is_some_and(|(ended, _)| ended <= second.started)
        };
        !ends_before(self, other) && !ends_before(other, self)
    }
}
