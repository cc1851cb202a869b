//! A job as submitted: steps of tasks, and the order of the steps.

use std::time::Duration;

use jackdawchute_types::{duration_ms, Label, RackId, Resources, StepIndex, TaskIndex};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{progress_rows::OCCURRENCES_MAX, row_size::JOB_GRAPH_BYTES_MAX, Error, Result};

/// The highest number of tasks of a job over all its steps.
const TASKS_MAX: u32 = 10_000;

/// Returns whether a field need not be written; a missing field is read as its default.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A step of a job: a number of tasks with the same needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// The number of tasks; at least 1.
    #[serde(skip_serializing_if = "is_default")]
    pub tasks: u32,
    /// The resources that each task needs.
    #[serde(skip_serializing_if = "is_default")]
    pub resources: Resources,
    /// The declared run time of a task, which may be far off.
    #[serde(
        with = "duration_ms",
        rename = "estimate_ms",
        skip_serializing_if = "is_default"
    )]
    pub estimate: Duration,
    /// The earlier steps whose tasks must all have succeeded before this step starts.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<StepIndex>,
    /// Whether the tasks save checkpoints to resume from.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks are a gang, which starts and ends together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks run slower unless all of them are on one rack.
    #[serde(skip_serializing_if = "is_default")]
    pub rack_local: bool,
    /// The label that a worker must have; `None` for any worker.
    #[serde(skip_serializing_if = "is_default")]
    pub required_label: Option<Label>,
    /// The rack that holds the tasks' data; tasks on other racks are slower. `None` if no rack
    /// does.
    #[serde(skip_serializing_if = "is_default")]
    pub data_rack: Option<RackId>,
    /// The highest number of the step's tasks on one worker; `None` for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub per_worker_max: Option<u32>,
    /// Whether copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// The image that the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: Option<SmolStr>,
    /// The tail response time that long-running tasks must stay below.
    #[serde(
        with = "jackdawchute_types::optional_duration_ms",
        rename = "tail_target_ms",
        skip_serializing_if = "is_default"
    )]
    pub tail_target: Option<Duration>,
    /// Whether the tasks use only processor time that other tasks leave unused.
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
    /// How many long-running tasks the scheduler's own actions may make unavailable at a time;
    /// `None` if it is not given.
    #[serde(skip_serializing_if = "is_default")]
    pub unavailable_max: Option<u32>,
}

impl StepSpec {
    /// Returns what a task is charged on its worker: its resources, without processors if it uses
    /// only the time that other tasks leave.
    ///
    /// ```
    /// use jackdawchute_scheduler::StepSpec;
    /// use jackdawchute_types::Resources;
    ///
    /// let step = StepSpec { resources: Resources::new(500, 64, 0), fills: true, ..Default::default() };
    /// assert_eq!(step.charged_resources(), Resources::new(0, 64, 0));
    /// ```
    pub fn charged_resources(&self) -> Resources {
        if self.fills {
            Resources {
                processor_millicores: 0,
                ..self.resources
            }
        } else {
            self.resources
        }
    }

    /// Returns whether the tasks end by themselves once their work is done.
    pub(crate) fn ends_by_itself(&self) -> bool {
        !self.long_running
    }

    /// Returns the number of units: one for a gang, else one for each task.
    pub(crate) fn units(&self) -> u32 {
        if self.gang {
            1
        } else {
            self.tasks
        }
    }

    /// Returns the index of the unit that a task belongs to.
    pub(crate) fn unit_index(&self, index: TaskIndex) -> usize {
        if self.gang {
            0
        } else {
            index as usize
        }
    }

    /// Returns the number of tasks that are placed as one: all of a gang, else one.
    pub(crate) fn unit_size(&self) -> u32 {
        if self.gang {
            self.tasks
        } else {
            1
        }
    }
}

/// How often and when the steps of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// The number of times that all steps run.
    pub occurrences: u32,
    /// When the first occurrence is due, in Unix milliseconds.
    pub first_due_unix_ms: u64,
    /// The time between the due times of two occurrences.
    #[serde(with = "duration_ms", rename = "interval_ms")]
    pub interval: Duration,
}

impl Repeat {
    /// Returns how many occurrences are due at a Unix time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_scheduler::Repeat;
    ///
    /// let repeat = Repeat {
    ///     occurrences: 3,
    ///     first_due_unix_ms: 1_000,
    ///     interval: Duration::from_millis(500),
    /// };
    /// assert_eq!(repeat.occurrences_due(Duration::from_millis(999)), 0);
    /// assert_eq!(repeat.occurrences_due(Duration::from_millis(1_500)), 2);
    /// assert_eq!(repeat.occurrences_due(Duration::from_secs(60)), 3);
    /// ```
    pub fn occurrences_due(&self, unix_now: Duration) -> u32 {
        let first_due = Duration::from_millis(self.first_due_unix_ms);
        let Some(since_first) = unix_now.checked_sub(first_due) else {
            return 0;
        };
        let due_after_first = since_first.as_nanos().checked_div(self.interval.as_nanos());
        let due = due_after_first.map_or(u128::MAX, |count| count + 1);
        u32::try_from(due).map_or(self.occurrences, |due| due.min(self.occurrences))
    }
}

/// A job as submitted by a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobGraph {
    /// What the workers are to run; opaque to the scheduler.
    pub payload: SmolStr,
    /// The steps; each may wait only for steps before it.
    pub steps: Vec<StepSpec>,
    /// The schedule of a repeated job; `None` for a job that runs once, at once.
    pub repeat: Option<Repeat>,
}

impl JobGraph {
    /// Checks that there are steps, that each has tasks and waits only for earlier steps, that the
    /// tasks are not too many, and that the job can be saved.
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
    /// Returns an error if there are no steps, too many tasks or too many bytes, or names the first
    /// step that has no tasks or waits for a step that is not before it.
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
        let encoded = serde_json::to_vec(self).map_err(|_| Error::Job("cannot be saved"))?;
        if encoded.len() > JOB_GRAPH_BYTES_MAX {
            return Err(Error::Job("takes more bytes than can be saved"));
        }
        Ok(())
    }

    /// Returns how many occurrences may be incomplete at a time, so that those of a job with a short
    /// interval use up neither the leader's memory nor the row that names them.
    pub(crate) fn occurrences_at_a_time_max(&self) -> u32 {
        let tasks = self
            .steps
            .iter()
            .fold(0u32, |tasks, step| tasks.saturating_add(step.tasks));
        (TASKS_MAX / tasks.max(1)).clamp(1, OCCURRENCES_MAX)
    }

    /// Returns whether the job has tasks that run until it is cancelled.
    pub(crate) fn long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the declared run time of the longest chain of steps that wait for each other.
    pub(crate) fn longest_chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let starts = step
                .after
                .iter()
                .filter_map(|before| ends.get(*before as usize));
            let start = starts.max().copied().unwrap_or_default();
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
