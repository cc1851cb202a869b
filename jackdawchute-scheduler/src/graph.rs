//! What a caller asks to run: steps of tasks in an order.

use std::time::Duration;

use jackdawchute_types::{duration_ms, Label, RackId, Resources, StepIndex};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Error, Result};

/// The most tasks of a job over all its steps.
const TASKS_MAX: u32 = 10_000;

/// The tasks of one step, all alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// The number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub resources: Resources,
    /// The declared run time of a task; a rough hint.
    #[serde(with = "duration_ms", rename = "estimate_ms")]
    pub estimate: Duration,
    /// The earlier steps whose tasks must all have succeeded.
    pub after: Vec<StepIndex>,
    /// Whether the tasks save their progress.
    pub checkpoints: bool,
    /// Whether the tasks only work together.
    pub gang: bool,
    /// Whether the tasks slow down unless all run on one rack.
    pub rack_local: bool,
    /// The label that a worker must carry.
    pub required_label: Option<Label>,
    /// The rack that holds the data; tasks elsewhere are slower.
    pub data_rack: Option<RackId>,
    /// The most tasks of the step on one worker.
    pub per_worker_max: Option<u32>,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<SmolStr>,
    /// The response time that long-running tasks must keep.
    #[serde(
        with = "jackdawchute_types::optional_duration_ms",
        rename = "tail_target_ms"
    )]
    pub tail_target: Option<Duration>,
    /// Whether the tasks only take processor time that others leave unused.
    pub fills: bool,
    /// How many long-running tasks may be unavailable through the scheduler's actions.
    pub unavailable_max: Option<u32>,
}

impl StepSpec {
    /// What a task takes of a worker's declared capacity.
    ///
    /// ```
    /// use jackdawchute_scheduler::StepSpec;
    /// use jackdawchute_types::Resources;
    ///
    /// let step = StepSpec { resources: Resources::new(500, 64, 0), fills: true, ..Default::default() };
    /// assert_eq!(step.reserved(), Resources::new(0, 64, 0));
    /// ```
    pub fn reserved(&self) -> Resources {
        if self.fills {
            Resources {
                processor_millicores: 0,
                ..self.resources
            }
        } else {
            self.resources
        }
    }

    /// The tasks that start and end as one: all of a gang, else one.
    pub(crate) fn unit_size(&self) -> u32 {
        if self.gang {
            self.tasks
        } else {
            1
        }
    }
}

/// A job that runs several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// How often the steps run.
    pub occurrences: u32,
    /// When the first occurrence is due, in Unix milliseconds.
    pub first_due_unix_ms: u64,
    /// The time from one occurrence to the next.
    #[serde(with = "duration_ms", rename = "interval_ms")]
    pub interval: Duration,
}

/// A job as a caller submits it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobGraph {
    /// What the workers are told to run; opaque to the scheduler.
    pub payload: SmolStr,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When it runs again; `None` for a job that runs once, at once.
    pub repeat: Option<Repeat>,
}

impl JobGraph {
    /// Checks that the steps can run in some order.
    ///
    /// ```
    /// use jackdawchute_scheduler::{JobGraph, StepSpec};
    ///
    /// let step = StepSpec { tasks: 2, ..Default::default() };
    /// let graph = JobGraph { steps: vec![step], ..Default::default() };
    /// assert!(graph.check().is_ok());
    /// assert!(JobGraph::default().check().is_err());
    /// ```
    ///
    /// # Errors
    /// Names the first step that has no tasks or waits for a step that is not before it.
    pub fn check(&self) -> Result<()> {
        if self.steps.is_empty() {
            return Err(Error::Job("has no steps"));
        }
        let mut tasks: u32 = 0;
        for (index, step) in (0u32..).zip(&self.steps) {
            tasks = tasks.saturating_add(step.tasks);
            if step.tasks == 0 {
                return Err(Error::Step(index, "has no tasks"));
            }
            if step.after.iter().any(|before| *before >= index) {
                return Err(Error::Step(index, "waits for a step that is not before it"));
            }
        }
        if tasks > TASKS_MAX {
            return Err(Error::Job("has too many tasks"));
        }
        Ok(())
    }

    /// Whether a task of the job runs until the job is cancelled.
    pub(crate) fn long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// The declared time of the longest chain of steps.
    pub(crate) fn longest_chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let starts = step.after.iter().filter_map(|it| ends.get(*it as usize));
            let start = starts.max().copied().unwrap_or_default();
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
