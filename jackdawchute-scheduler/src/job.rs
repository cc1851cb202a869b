//! The state of a job, its occurrences, steps and tasks.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use jackdawchute_speeds::Pace;
use jackdawchute_types::{
    Checkpoint, JobId, Occurrence, RunNumber, StepIndex, TaskIndex, TenantId, Ticket, WorkerId,
};
use rustc_hash::FxHashMap;

use crate::{
    restarts::ShortRuns, row_size::RowNumber, AdviceNumber, JobGraph, QueuePolicy, StepName,
    StepSpec, TaskName,
};

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// All tasks succeeded.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// The phase of a job between its submission and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// The acceptance of the job is not committed yet.
    Accepting,
    /// The job is accepted and its tasks may run.
    Live,
    /// The job's outcome is decided, and not committed yet.
    Ending(JobOutcome),
}

/// The status of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobStatus {
    /// The job is accepted and no task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// The job has ended.
    Ended(JobOutcome),
    /// No such job is known: it was never accepted, or its outcome is no longer kept.
    Unknown,
    /// The acceptance of the job is not committed yet, so that its status is not known.
    Undecided,
}

/// Tasks that are placed as one: a gang, or a single task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unit {
    /// Whether the unit has succeeded.
    pub(crate) done: bool,
    /// The highest run number that may have been ordered.
    pub(crate) last_run: RunNumber,
    /// The runs that failed, as a set: workers may report their ends repeatedly and in any order.
    pub(crate) failed_runs: Vec<RunNumber>,
    /// The checkpoint that the next run resumes from; empty if there is none.
    pub(crate) checkpoint: Checkpoint,
    /// The tasks that run or may run, each with its worker.
    pub(crate) placed: Vec<(TaskIndex, WorkerId)>,
    /// The tasks that a start without an answer may begin, in any incarnation of the worker that it
    /// was sent to, whether or not an earlier leader sent it.
    pub(crate) late_starts: Vec<(TaskIndex, WorkerId)>,
    /// The tasks that such a start may begin in a later incarnation of its worker alone, which answers
    /// and refuses it.
    pub(crate) refused_starts: Vec<(TaskIndex, WorkerId)>,
    /// The worker on which a run of the unit failed last.
    pub(crate) failed_on: Option<WorkerId>,
    /// The runs of lasting tasks that ended soon after their start.
    pub(crate) short_runs: ShortRuns,
    /// How often tasks of the unit were stopped for lack of progress.
    pub(crate) stuck_stops: u32,
    /// Whether the unit is a gang whose tasks have been ordered to stop in the current run.
    pub(crate) stopping: bool,
}

impl Unit {
    /// Begins a new run with its tasks on these workers.
    pub(crate) fn begin_run(&mut self, placed: impl Iterator<Item = (u32, WorkerId)>) {
        self.last_run += 1;
        self.stopping = false;
        self.placed = placed.collect();
    }

    /// Returns whether the unit is not done and does not pause, and none of its tasks runs or may
    /// begin to.
    pub(crate) fn is_waiting(&self) -> bool {
        let is_idle = self.placed.is_empty() && self.late_starts.is_empty();
        is_idle && !self.done && !self.short_runs.pausing
    }

    /// Records that a start without an answer may begin a task; returns whether that is new.
    pub(crate) fn add_late_start(&mut self, index: TaskIndex, worker: &WorkerId) -> bool {
        let was_there = self.remove_late_start(index, worker);
        self.late_starts.push((index, worker.clone()));
        !was_there
    }

    /// Records that no start sent to `worker` may begin a task any more; returns whether one might.
    pub(crate) fn remove_late_start(&mut self, index: TaskIndex, worker: &WorkerId) -> bool {
        let is_other = |(of_task, on): &(TaskIndex, WorkerId)| *of_task != index || on != worker;
        let before = self.saved_late_starts().count();
        self.late_starts.retain(is_other);
        self.refused_starts.retain(is_other);
        self.saved_late_starts().count() < before
    }

    /// Records whether `worker` refuses the starts that were sent to it and got no answer.
    pub(crate) fn set_late_start_refused(
        &mut self,
        index: TaskIndex,
        worker: &WorkerId,
        refused: bool,
    ) {
        if self.remove_late_start(index, worker) {
            let starts = if refused {
                &mut self.refused_starts
            } else {
                &mut self.late_starts
            };
            starts.push((index, worker.clone()));
        }
    }

    /// Returns the starts without an answer that a successor has to know of.
    pub(crate) fn saved_late_starts(&self) -> impl Iterator<Item = &(TaskIndex, WorkerId)> {
        self.late_starts.iter().chain(&self.refused_starts)
    }
}

/// An advisor's answer about one worker for one step.
#[derive(Clone, Debug)]
pub(crate) enum Advice {
    /// The worker may run the step with this ticket.
    Allowed {
        ticket: Ticket,
        /// When the ticket is no longer used.
        usable_until: Instant,
        /// The worker incarnation that the ticket is for, by its start time.
        started_unix_ms: u64,
        /// Whether a task was ordered to start with the ticket.
        used: bool,
    },
    /// The worker may not run the step.
    Denied,
}

impl Advice {
    /// Returns the ticket if it is valid at `now` for the worker incarnation with this start time.
    pub(crate) fn ticket(&self, worker_started_unix_ms: u64, now: Instant) -> Option<&Ticket> {
        match self {
            Self::Allowed {
                ticket,
                usable_until,
                started_unix_ms,
                ..
            } if *usable_until > now && *started_unix_ms == worker_started_unix_ms => Some(ticket),
            _ => None,
        }
    }

    /// Returns whether there is a ticket that is valid at `now`, if its worker has not restarted.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        matches!(self, Self::Allowed { usable_until, .. } if *usable_until > now)
    }

    /// Records that a task was ordered to start with the ticket; returns whether it was the first.
    pub(crate) fn mark_used(&mut self) -> bool {
        match self {
            Self::Allowed { used, .. } => !std::mem::replace(used, true),
            Self::Denied => false,
        }
    }
}

/// A gang's reservation: capacity on workers that is kept until the gang can start.
#[derive(Clone, Debug)]
pub(crate) struct GangReservation {
    /// The workers with reserved capacity, and some to spare.
    pub(crate) workers: Vec<WorkerId>,
    /// When the gang is expected to start.
    pub(crate) starts_at: Instant,
}

/// The state of a step in one occurrence of its job.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepRun {
    /// One unit for a gang, else one for each task.
    pub(crate) units: Vec<Unit>,
    /// The number of units that are not done.
    pub(crate) units_left: usize,
    /// The latest answer of an advisor about each worker that one was asked about.
    pub(crate) advice: FxHashMap<WorkerId, Advice>,
    /// When a further task may start again after a short run; `None` before the first such run.
    pub(crate) restart_next_at: Option<Instant>,
    /// The capacity reserved for a gang in the last scheduling round; `None` if there is none.
    pub(crate) gang_reservation: Option<GangReservation>,
    /// When capacity to reserve for a gang is next looked for, after too little was found.
    pub(crate) reservation_check_at: Option<Instant>,
    /// When the advice requests under way were made; `None` if there are none.
    pub(crate) advice_requested_at: Option<Instant>,
    /// Whether a gang had no room when last looked at, and knows of enough workers that may become
    /// free or has asked for more.
    pub(crate) advice_is_ahead: bool,
    /// The workers that each request under way names.
    pub(crate) advice_under_way: BTreeMap<AdviceNumber, Vec<WorkerId>>,
    /// When workers to request advice about are next looked for, after none were found.
    pub(crate) advice_check_at: Option<Instant>,
}

impl StepRun {
    pub(crate) fn new(spec: &StepSpec) -> Self {
        let units = spec.units() as usize;
        Self {
            units: vec![Unit::default(); units],
            units_left: units,
            ..Self::default()
        }
    }
}

/// The state of one occurrence of a job: one repetition of all its steps.
#[derive(Clone, Debug)]
pub(crate) struct OccurrenceRun {
    /// The occurrence, counted from 0.
    pub(crate) occurrence: Occurrence,
    /// The steps, in the order of the job's graph.
    pub(crate) steps: Vec<StepRun>,
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) graph: JobGraph,
    pub(crate) queue: QueuePolicy,
    /// The tenant that submitted the job; `None` where the queue is public or there are no tenants.
    pub(crate) tenant: Option<TenantId>,
    pub(crate) phase: JobPhase,
    /// When the job was submitted; for a recovered job, when its row was written.
    pub(crate) accepted_at: Instant,
    /// The total time for which tasks of the job have waited for workers, without the time since
    /// `waiting_since`.
    pub(crate) waited: Duration,
    /// Since when tasks of the job wait for workers; `None` while none wait.
    pub(crate) waiting_since: Option<Instant>,
    /// The occurrences that are due, for a repeated job without those that are complete.
    pub(crate) occurrences: Vec<OccurrenceRun>,
    /// The number of occurrences that are complete.
    pub(crate) occurrences_done: u32,
    /// Whether any task has started, as confirmed or reported by a worker.
    pub(crate) begun: bool,
    /// Whether the job is being recovered: tasks may run that no worker has reported since this
    /// epoch began, so that none is placed.
    pub(crate) recovering: bool,
    /// The highest run number that an earlier leader may have ordered for an occurrence that begins
    /// from now on.
    pub(crate) earlier_runs_max: RunNumber,
    /// Whether the job was not expected on time at its arrival, so that it is treated as late.
    pub(crate) deferred: bool,
    /// The ratio of measured to declared run times of the job's tasks.
    pub(crate) pace: Pace,
    /// The number of saved rows that hold the job as accepted.
    pub(crate) rows: usize,
    /// The progress rows that may have been saved.
    pub(crate) progress_rows: BTreeSet<RowNumber>,
    /// The progress rows with unsaved changes.
    pub(crate) progress_unsaved: BTreeSet<RowNumber>,
    /// Whether an earlier version saved all progress in the first row, and it was not replaced yet.
    pub(crate) progress_in_one_row: bool,
}

impl Job {
    pub(crate) fn new(id: JobId, graph: JobGraph, queue: QueuePolicy, now: Instant) -> Self {
        let mut job = Self {
            id,
            graph,
            queue,
            tenant: None,
            phase: JobPhase::Accepting,
            accepted_at: now,
            waited: Duration::ZERO,
            waiting_since: Some(now),
            occurrences: Vec::new(),
            occurrences_done: 0,
            begun: false,
            recovering: false,
            earlier_runs_max: 0,
            deferred: false,
            pace: Pace::default(),
            rows: 0,
            progress_rows: BTreeSet::new(),
            progress_unsaved: BTreeSet::new(),
            progress_in_one_row: false,
        };
        if job.graph.repeat.is_none() {
            job.add_occurrence(0);
        }
        job
    }

    pub(crate) fn add_occurrence(&mut self, occurrence: Occurrence) {
        let mut steps: Vec<StepRun> = self.graph.steps.iter().map(StepRun::new).collect();
        for unit in steps.iter_mut().flat_map(|step| step.units.iter_mut()) {
            unit.last_run = self.earlier_runs_max;
        }
        self.occurrences.push(OccurrenceRun { occurrence, steps });
    }

    /// Begins the occurrences before `end` that have not begun; returns whether there were any.
    pub(crate) fn begin_occurrences(&mut self, end: Occurrence) -> bool {
        let begun = self.occurrences_begun();
        for occurrence in begun..end.min(self.occurrences_total()) {
            self.add_occurrence(occurrence);
        }
        self.occurrences_begun() > begun
    }

    /// Returns the number of occurrences that have begun, which are the first ones of the job.
    pub(crate) fn occurrences_begun(&self) -> Occurrence {
        let incomplete = u32::try_from(self.occurrences.len()).unwrap_or(u32::MAX);
        self.occurrences_done.saturating_add(incomplete)
    }

    pub(crate) fn occurrence(&self, occurrence: Occurrence) -> Option<&OccurrenceRun> {
        self.occurrences
            .iter()
            .find(|occurrence_run| occurrence_run.occurrence == occurrence)
    }

    pub(crate) fn occurrence_mut(&mut self, occurrence: Occurrence) -> Option<&mut OccurrenceRun> {
        self.occurrences
            .iter_mut()
            .find(|occurrence_run| occurrence_run.occurrence == occurrence)
    }

    pub(crate) fn step(&self, name: &StepName) -> Option<(&StepSpec, &StepRun)> {
        let spec = self.graph.steps.get(name.step as usize)?;
        let occurrence = self.occurrence(name.occurrence)?;
        Some((spec, occurrence.steps.get(name.step as usize)?))
    }

    pub(crate) fn step_mut(&mut self, name: &StepName) -> Option<&mut StepRun> {
        let occurrence = self.occurrence_mut(name.occurrence)?;
        occurrence.steps.get_mut(name.step as usize)
    }

    /// Returns the unit that a task belongs to.
    pub(crate) fn unit(&self, step: &StepName, index: TaskIndex) -> Option<&Unit> {
        let (spec, step_run) = self.step(step)?;
        if index >= spec.tasks {
            return None;
        }
        step_run.units.get(spec.unit_index(index))
    }

    /// Returns the unit that a task belongs to.
    pub(crate) fn unit_mut(&mut self, step: &StepName, index: TaskIndex) -> Option<&mut Unit> {
        let spec = self.graph.steps.get(step.step as usize)?;
        if index >= spec.tasks {
            return None;
        }
        let unit_at = spec.unit_index(index);
        self.step_mut(step)?.units.get_mut(unit_at)
    }

    /// Returns whether all steps that `step` waits for are done in an occurrence.
    pub(crate) fn step_is_ready(&self, occurrence_run: &OccurrenceRun, step: StepIndex) -> bool {
        let Some(spec) = self.graph.steps.get(step as usize) else {
            return false;
        };
        let is_done = |before: &StepIndex| {
            occurrence_run
                .steps
                .get(*before as usize)
                .is_some_and(|step_run| step_run.units_left == 0)
        };
        spec.after.iter().all(is_done)
    }

    /// Returns how many occurrences the job has in total.
    pub(crate) fn occurrences_total(&self) -> u32 {
        self.graph.repeat.map_or(1, |repeat| repeat.occurrences)
    }

    /// Returns the processors declared for the tasks that run or may run, in thousandths of a core.
    pub(crate) fn placed_millicores(&self) -> u64 {
        let placed_in_step = |(spec, step_run): (&StepSpec, &StepRun)| {
            let placed: usize = step_run.units.iter().map(|unit| unit.placed.len()).sum();
            spec.resources.processor_millicores * placed as u64
        };
        let placed_in_occurrence = |occurrence_run: &OccurrenceRun| {
            self.graph
                .steps
                .iter()
                .zip(&occurrence_run.steps)
                .map(placed_in_step)
                .sum::<u64>()
        };
        self.occurrences.iter().map(placed_in_occurrence).sum()
    }

    /// Returns the tasks that run or may run, each with its worker.
    pub(crate) fn placed_tasks(&self) -> Vec<(WorkerId, TaskName)> {
        let mut placed = Vec::new();
        for occurrence_run in &self.occurrences {
            for (step, step_run) in (0u32..).zip(&occurrence_run.steps) {
                let name = StepName {
                    job: self.id.clone(),
                    occurrence: occurrence_run.occurrence,
                    step,
                };
                let tasks = step_run.units.iter().flat_map(|unit| &unit.placed);
                placed.extend(tasks.map(|(index, worker)| (worker.clone(), name.task(*index))));
            }
        }
        placed
    }

    /// Returns the total time for which tasks of the job have waited for workers.
    pub(crate) fn waited(&self, now: Instant) -> Duration {
        let waiting_since = self.waiting_since;
        self.waited
            + waiting_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Records whether tasks of the job wait for workers from now on.
    pub(crate) fn set_waiting(&mut self, waiting: bool, now: Instant) {
        if waiting {
            self.waiting_since.get_or_insert(now);
        } else {
            self.waited = self.waited(now);
            self.waiting_since = None;
        }
    }
}
