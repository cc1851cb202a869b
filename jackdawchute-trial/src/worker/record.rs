//! The record of the runs on a worker.

use std::time::SystemTime;

use jackdawchute_ports::TaskEnd;
use jackdawchute_types::{Resources, TaskId, WorkerId};
use serde::{Deserialize, Serialize};

/// One run of a task on a worker, as the worker recorded it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRun {
    /// The task that ran.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The resources that the task declared.
    pub resources: Resources,
    /// The resources that the task used.
    pub used: Resources,
    /// When the run started.
    pub started: SystemTime,
    /// When and how the run ended; `None` while it runs.
    pub ended: Option<(SystemTime, TaskEnd)>,
}

/// Every run on one worker since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The worker's id.
    pub worker: WorkerId,
    /// The worker's total resources.
    pub resources: Resources,
    /// The runs, in the order of their starts.
    pub runs: Vec<TaskRun>,
}

impl WorkerRecord {
    /// Returns the runs of one task, in the order of their starts.
    pub fn runs_of<'a>(&'a self, task: &'a str) -> impl Iterator<Item = &'a TaskRun> {
        self.runs.iter().filter(move |run| run.task == task)
    }

    /// Returns the highest sum of each resource that tasks running at the same time declared.
    pub fn max_charge(&self) -> Resources {
        let mut charge = Resources::ZERO;
        let mut max_charge = Resources::ZERO;
        for (_, change) in self.charge_changes() {
            match change {
                ChargeChange::End(resources) => charge = charge.saturating_sub(&resources),
                ChargeChange::Start(resources) => charge = charge.saturating_add(&resources),
            }
            max_charge = max_charge.max(&charge);
        }
        max_charge
    }

    /// Returns whether the tasks running at any one time declared no more than the worker has.
    pub fn is_within_size(&self) -> bool {
        self.max_charge().fits_in(&self.resources)
    }

    /// Returns starts and ends ordered by time; ends come first among those at the same instant.
    fn charge_changes(&self) -> Vec<(SystemTime, ChargeChange)> {
        let nonempty_runs = || {
            self.runs
                .iter()
                .filter(|run| run.ended.is_none_or(|(ended, _)| ended > run.started))
        };
        let starts = nonempty_runs().map(|run| (run.started, ChargeChange::Start(run.resources)));
        let ends = nonempty_runs()
            .filter_map(|run| Some((run.ended?.0, ChargeChange::End(run.resources))));
        let mut changes: Vec<_> = ends.chain(starts).collect();
        changes.sort_by_key(|(instant, _)| *instant);
        changes
    }
}

/// A change of the sum that running tasks declare.
#[derive(Clone, Copy, Debug)]
enum ChargeChange {
    Start(Resources),
    End(Resources),
}

impl TaskRun {
    /// Returns whether both ran at some common instant.
    pub fn overlaps(&self, other: &Self) -> bool {
        let ends_by_start_of = |first: &Self, second: &Self| {
            first
                .ended
                .is_some_and(|(ended, _)| ended <= second.started)
        };
        !ends_by_start_of(self, other) && !ends_by_start_of(other, self)
    }
}
