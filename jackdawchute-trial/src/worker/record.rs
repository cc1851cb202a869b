//! What truly ran on a worker.

use std::time::SystemTime;

use jackdawchute_ports::TaskEnd;
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
        let mut charge = Resources::ZERO;
        let mut most = Resources::ZERO;
        for (_, change) in self.changes() {
            match change {
                Change::End(resources) => charge = charge.saturating_sub(&resources),
                Change::Start(resources) => charge = charge.saturating_add(&resources),
            }
            most = most.max(&charge);
        }
        most
    }

    /// Whether running tasks never declared more than the worker has.
    pub fn is_within_size(&self) -> bool {
        self.max_charge().fits_in(&self.resources)
    }

    /// Starts and ends in the order of time; at one instant, ends come first.
    fn changes(&self) -> Vec<(SystemTime, Change)> {
        let lasting = || {
            self.runs
                .iter()
                .filter(|run| run.ended.is_none_or(|(ended, _)| ended > run.started))
        };
        let starts = lasting().map(|run| (run.started, Change::Start(run.resources)));
        let ends = lasting().filter_map(|run| Some((run.ended?.0, Change::End(run.resources))));
        let mut changes: Vec<_> = ends.chain(starts).collect();
        changes.sort_by_key(|(instant, _)| *instant);
        changes
    }
}

/// A change of what runs.
#[derive(Clone, Copy, Debug)]
enum Change {
    Start(Resources),
    End(Resources),
}

impl TaskRun {
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
