//! A job and what has become of its tasks.

use std::time::{Duration, Instant};

use jackdawchute_types::{
    Checkpoint, JobId, Occurrence, RunNumber, StepIndex, TaskIndex, Ticket, WorkerId,
};
use rustc_hash::FxHashMap;

use crate::{JobGraph, QueuePolicy, StepName, StepSpec};

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// All tasks succeeded.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// Its acceptance is not committed yet.
    Accepting,
    /// It is accepted and may run.
    Live,
    /// Its end is decided and not committed yet.
    Ending(JobOutcome),
}

/// What callers are told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// It has ended.
    Ended(JobOutcome),
    /// There is no such job.
    Unknown,
    /// This instance cannot tell yet.
    Undecided,
}

/// Tasks that start and end as one: a gang, or a single task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unit {
    pub(crate) done: bool,
    /// The highest run that may have been ordered.
    pub(crate) last_run: RunNumber,
    /// The runs that failed; their ends may be told again, and in any order.
    pub(crate) failed_runs: Vec<RunNumber>,
    pub(crate) checkpoint: Checkpoint,
    /// Where its tasks run or may run.
    pub(crate) placed: Vec<(TaskIndex, WorkerId)>,
    /// The worker on which it failed last.
    pub(crate) failed_on: Option<WorkerId>,
    /// Whether the current run is to be stopped once all of it is known.
    pub(crate) stopping: bool,
}

impl Unit {
    /// Whether it may be placed.
    pub(crate) fn waiting(&self) -> bool {
        !self.done && self.placed.is_empty()
    }
}

/// What an advisor said of a worker for one step.
#[derive(Clone, Debug)]
pub(crate) enum Advice {
    /// It may run the step with this ticket until it lapses.
    Allowed {
        ticket: Ticket,
        until: Instant,
        started_unix_ms: u64,
    },
    /// It may not run the step.
    Denied,
}

impl Advice {
    /// The ticket, if it is still valid for a worker's life.
    pub(crate) fn ticket(&self, worker_started_unix_ms: u64, now: Instant) -> Option<&Ticket> {
        match self {
            Self::Allowed {
                ticket,
                until,
                started_unix_ms,
            } if *until > now && *started_unix_ms == worker_started_unix_ms => Some(ticket),
            _ => None,
        }
    }
}

/// The workers with places that are kept for a gang until it starts, and some to spare.
#[derive(Clone, Debug)]
pub(crate) struct GangPlan {
    pub(crate) workers: Vec<WorkerId>,
    pub(crate) starts_at: Instant,
}

/// One step of one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepRun {
    pub(crate) units: Vec<Unit>,
    /// The units that are not done.
    pub(crate) open: usize,
    pub(crate) advice: FxHashMap<WorkerId, Advice>,
    /// The places that are kept for a gang, and when it is expected to start.
    pub(crate) plan: Option<GangPlan>,
    /// When the questions under way were asked.
    pub(crate) advice_asked_at: Option<Instant>,
    /// How many of these have no answer yet.
    pub(crate) advice_open: usize,
}

impl StepRun {
    pub(crate) fn new(spec: &StepSpec) -> Self {
        let units = if spec.gang { 1 } else { spec.tasks as usize };
        Self {
            units: vec![Unit::default(); units],
            open: units,
            ..Self::default()
        }
    }
}

/// One run of all steps.
#[derive(Clone, Debug)]
pub(crate) struct OccurrenceRun {
    pub(crate) occurrence: Occurrence,
    pub(crate) steps: Vec<StepRun>,
}

/// A job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) graph: JobGraph,
    pub(crate) queue: QueuePolicy,
    pub(crate) phase: JobPhase,
    pub(crate) accepted_at: Instant,
    /// How long some of its tasks have waited for workers, up to `waiting_since`.
    pub(crate) waited: Duration,
    pub(crate) waiting_since: Option<Instant>,
    pub(crate) occurrences: Vec<OccurrenceRun>,
    /// The occurrences that are complete.
    pub(crate) occurrences_done: u32,
    pub(crate) begun: bool,
    /// Whether tasks may run that no worker has listed since this instance took over.
    pub(crate) uncertain: bool,
    /// It was not expected to be on time when it arrived, and is treated as late.
    pub(crate) deferred: bool,
    pub(crate) progress_saved: bool,
}

impl Job {
    pub(crate) fn new(id: JobId, graph: JobGraph, queue: QueuePolicy, now: Instant) -> Self {
        let mut job = Self {
            id,
            graph,
            queue,
            phase: JobPhase::Accepting,
            accepted_at: now,
            waited: Duration::ZERO,
            waiting_since: Some(now),
            occurrences: Vec::new(),
            occurrences_done: 0,
            begun: false,
            uncertain: false,
            deferred: false,
            progress_saved: false,
        };
        if job.graph.repeat.is_none() {
            job.add_occurrence(0);
        }
        job
    }

    pub(crate) fn add_occurrence(&mut self, occurrence: Occurrence) {
        let steps = self.graph.steps.iter().map(StepRun::new).collect();
        self.occurrences.push(OccurrenceRun { occurrence, steps });
    }

    pub(crate) fn occurrence(&self, occurrence: Occurrence) -> Option<&OccurrenceRun> {
        self.occurrences
            .iter()
            .find(|it| it.occurrence == occurrence)
    }

    pub(crate) fn occurrence_mut(&mut self, occurrence: Occurrence) -> Option<&mut OccurrenceRun> {
        self.occurrences
            .iter_mut()
            .find(|it| it.occurrence == occurrence)
    }

    pub(crate) fn step(&self, name: &StepName) -> Option<(&StepSpec, &StepRun)> {
        let spec = self.graph.steps.get(name.step as usize)?;
        let run = self.occurrence(name.occurrence)?;
        Some((spec, run.steps.get(name.step as usize)?))
    }

    pub(crate) fn step_mut(&mut self, name: &StepName) -> Option<&mut StepRun> {
        let run = self.occurrence_mut(name.occurrence)?;
        run.steps.get_mut(name.step as usize)
    }

    /// The unit that a task belongs to.
    pub(crate) fn unit_mut(&mut self, step: &StepName, index: TaskIndex) -> Option<&mut Unit> {
        let spec = self.graph.steps.get(step.step as usize)?;
        if index >= spec.tasks {
            return None;
        }
        let unit = unit_index(spec, index);
        self.step_mut(step)?.units.get_mut(unit)
    }

    /// Whether all steps before `step` are done.
    pub(crate) fn ready(&self, run: &OccurrenceRun, step: StepIndex) -> bool {
        let Some(spec) = self.graph.steps.get(step as usize) else {
            return false;
        };
        let done = |before: &StepIndex| {
            run.steps
                .get(*before as usize)
                .is_some_and(|it| it.open == 0)
        };
        spec.after.iter().all(done)
    }

    /// The number of occurrences over the job's life.
    pub(crate) fn occurrences_total(&self) -> u32 {
        self.graph.repeat.map_or(1, |repeat| repeat.occurrences)
    }

    /// The processors of its tasks that run or may run, in thousandths of a core.
    pub(crate) fn placed_millicores(&self) -> u64 {
        let step = |(spec, run): (&StepSpec, &StepRun)| {
            let placed: usize = run.units.iter().map(|unit| unit.placed.len()).sum();
            spec.resources.processor_millicores * placed as u64
        };
        let steps = |run: &OccurrenceRun| {
            self.graph
                .steps
                .iter()
                .zip(&run.steps)
                .map(step)
                .sum::<u64>()
        };
        self.occurrences.iter().map(steps).sum()
    }

    /// How long some of its tasks have waited for workers.
    pub(crate) fn waited(&self, now: Instant) -> Duration {
        let open = self.waiting_since;
        self.waited + open.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Takes note of whether some of its tasks wait for workers.
    pub(crate) fn set_waiting(&mut self, waiting: bool, now: Instant) {
        if waiting {
            self.waiting_since.get_or_insert(now);
        } else {
            self.waited = self.waited(now);
            self.waiting_since = None;
        }
    }
}

/// The index of the unit that a task belongs to.
fn unit_index(spec: &StepSpec, index: TaskIndex) -> usize {
    if spec.gang {
        0
    } else {
        index as usize
    }
}
