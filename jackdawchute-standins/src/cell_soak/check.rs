//! Compares the responses to callers with what the workers ran.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::{EndReason, JobGraph, TaskName};
use jackdawchute_types::{JobId, TenantId, WorkerId};

use crate::cell::{Overload, WorkerRecord};

/// The platform's bound on the time after the answer to a cancellation in which tasks of the job
/// may still start, other than by orders that a worker carries out late.
const CANCEL_MAX: Duration = Duration::from_millis(3_000);

/// A submitted job and the responses about it.
#[derive(Clone, Debug, Default)]
pub struct SentJob {
    /// The steps and tasks of the job.
    pub graph: JobGraph,
    /// The tenant that submitted the job; `None` in a soak without tenants.
    pub tenant: Option<TenantId>,
    /// When the job was first submitted.
    pub sent_at: Option<Instant>,
    /// When the job was accepted; `None` if it was not.
    pub accepted_at: Option<Instant>,
    /// Whether every attempt to submit the job was refused.
    pub refused: bool,
    /// Whether a caller requested the job's cancellation.
    pub cancel_sent: bool,
    /// When the cancellation was answered; `None` if it was not.
    pub cancelled_at: Option<Instant>,
    /// When the job was reported as completed; `None` if it was not.
    pub completed_at: Option<Instant>,
}

/// Finds what in the records of the workers contradicts the responses to callers or the guarantees
/// on runs.
///
/// `capacity_millicores` is the processor capacity of each worker.
///
/// ```
/// use std::collections::BTreeMap;
/// use jackdawchute_standins::cell_soak::find_violations;
///
/// let violations = find_violations(&BTreeMap::new(), &[], 4_000);
/// assert!(violations.is_empty());
/// ```
pub fn find_violations(
    jobs: &BTreeMap<JobId, SentJob>,
    records: &[WorkerRecord],
    capacity_millicores: u64,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut by_task: BTreeMap<&TaskName, Vec<&WorkerRecord>> = BTreeMap::new();
    let mut by_worker: BTreeMap<&WorkerId, Vec<&WorkerRecord>> = BTreeMap::new();
    for record in records {
        by_task.entry(&record.task).or_default().push(record);
        by_worker.entry(&record.worker).or_default().push(record);
        violations.extend(unexpected_start(jobs, record));
    }
    for runs in by_task.values() {
        violations.extend(repeated_runs(runs));
    }
    for record in records {
        violations.extend(early_start(jobs, &by_task, record));
    }
    for (worker, runs) in by_worker {
        violations.extend(exceeded_capacity(jobs, worker, &runs, capacity_millicores));
    }
    for (job, sent) in jobs {
        violations.extend(not_completed(job, sent, &by_task));
    }
    violations
}

/// Finds starts that brought what a tenant had running above its cap, the rule's tolerance of a tenth
/// and one task more; orders that a worker carried out late don't count as starts.
///
/// ```
/// use std::collections::BTreeMap;
/// use jackdawchute_standins::cell_soak::find_exceeded_caps;
///
/// let exceeded = find_exceeded_caps(&BTreeMap::new(), &[], &"bakery".into(), 4_000);
/// assert!(exceeded.is_empty());
/// ```
pub fn find_exceeded_caps(
    jobs: &BTreeMap<JobId, SentJob>,
    records: &[WorkerRecord],
    tenant: &TenantId,
    cap_millicores: u64,
) -> Vec<String> {
    let size = |run: &WorkerRecord| {
        let job = jobs.get(&run.task.step.job);
        let job = job.filter(|job| job.tenant.as_ref() == Some(tenant));
        let step = job.and_then(|job| job.graph.steps.get(run.task.step.step as usize));
        step.map_or(0, |step| step.resources.processor_millicores)
    };
    let runs: Vec<(&WorkerRecord, u64)> = records
        .iter()
        .map(|run| (run, size(run)))
        .filter(|(_, size)| *size > 0)
        .collect();
    let allowed = cap_millicores + cap_millicores / 10;
    let exceeded = |(started, own): &(&WorkerRecord, u64)| {
        let at = started.began_at;
        let runs_then = |(run, _): &&(&WorkerRecord, u64)| {
            run.began_at <= at && run.ended_at.is_none_or(|end| end > at)
        };
        let used: u64 = runs.iter().filter(runs_then).map(|(_, size)| size).sum();
        (!started.late && used > allowed + own).then(|| {
            let what = describe(started);
            format!("{what} brought {tenant} to {used} millicores of {cap_millicores}")
        })
    };
    runs.iter().filter_map(exceeded).collect()
}

/// Describes the starts that brought a worker above its capacity by its own count, which includes
/// what is being stopped.
///
/// ```
/// use jackdawchute_standins::cell_soak::find_overloads;
///
/// assert!(find_overloads(&[]).is_empty());
/// ```
pub fn find_overloads(overloads: &[Overload]) -> Vec<String> {
    let describe = |overload: &Overload| {
        let task = &overload.task;
        format!(
            "job {} step {} task {} began on {}{}, which then counted {} millicores of {}",
            task.step.job,
            task.step.step,
            task.index,
            overload.worker,
            if overload.late { " late" } else { "" },
            overload.used_millicores,
            overload.capacity_millicores
        )
    };
    overloads.iter().map(describe).collect()
}

fn describe(record: &WorkerRecord) -> String {
    let task = &record.task;
    let late = if record.late { " late" } else { "" };
    format!(
        "job {} step {} task {} run {}{late} on {}",
        task.step.job, task.step.step, task.index, record.run, record.worker
    )
}

/// Finds a start of an unknown task, or of a job that was reported as refused or cancelled.
fn unexpected_start(jobs: &BTreeMap<JobId, SentJob>, record: &WorkerRecord) -> Option<String> {
    let what = describe(record);
    let Some(sent) = jobs.get(&record.task.step.job) else {
        return Some(format!("{what}: the job was never submitted"));
    };
    let step = sent.graph.steps.get(record.task.step.step as usize);
    if step.is_none_or(|step| record.task.index >= step.tasks) {
        return Some(format!("{what}: the job has no such task"));
    }
    if sent.refused {
        return Some(format!("{what}: the job was refused"));
    }
    let cancelled = sent.cancelled_at.map(|at| at + CANCEL_MAX);
    cancelled
        .filter(|cancelled| record.began_at > *cancelled && !record.late)
        .map(|_| format!("{what}: the job was cancelled"))
}

/// Finds runs of one task that overlap, or that began after its success was saved.
fn repeated_runs(runs: &[&WorkerRecord]) -> Vec<String> {
    let mut violations = Vec::new();
    for (index, earlier) in runs.iter().enumerate() {
        for later in &runs[index + 1..] {
            let began_again = repeats_known_end(runs, later);
            let ended = earlier.ended_at.is_some_and(|at| at <= later.began_at);
            if !ended && !began_again && !repeats_known_end(runs, earlier) {
                violations.push(format!(
                    "{} began while run {} was running on {}",
                    describe(later),
                    earlier.run,
                    earlier.worker
                ));
            } else if ended
                && !began_again
                && earlier.reason == Some(EndReason::Succeeded)
                && earlier.saved
            {
                violations.push(format!(
                    "{} began after run {} had succeeded",
                    describe(later),
                    earlier.run
                ));
            }
        }
    }
    violations
}

/// Returns whether a late order began a run again that had ended, and was saved as ended, before the
/// worker restarted; no leader can prevent it, since the new incarnation knows nothing of that end.
fn repeats_known_end(runs: &[&WorkerRecord], late: &WorkerRecord) -> bool {
    let is_known_end = |run: &&WorkerRecord| {
        let ended_before = run.ended_at.is_some_and(|at| at <= late.began_at);
        run.worker == late.worker && run.run == late.run && run.saved && ended_before
    };
    late.late && runs.iter().any(is_known_end)
}

/// Finds a start of a task before the steps that it depends on had succeeded.
fn early_start(
    jobs: &BTreeMap<JobId, SentJob>,
    by_task: &BTreeMap<&TaskName, Vec<&WorkerRecord>>,
    record: &WorkerRecord,
) -> Option<String> {
    let steps = &jobs.get(&record.task.step.job)?.graph.steps;
    let step = steps.get(record.task.step.step as usize)?;
    for before in &step.after {
        let tasks = steps.get(*before as usize).map_or(0, |step| step.tasks);
        for index in 0..tasks {
            let mut name = record.task.clone();
            name.step.step = *before;
            name.index = index;
            let runs = by_task.get(&name).map(Vec::as_slice).unwrap_or_default();
            if !runs.iter().any(|run| succeeded_by(run, record.began_at)) {
                let what = describe(record);
                return Some(format!("{what} began before step {before} had succeeded"));
            }
        }
    }
    None
}

fn succeeded_by(run: &WorkerRecord, at: Instant) -> bool {
    run.reason == Some(EndReason::Succeeded) && run.ended_at.is_some_and(|ended| ended <= at)
}

/// Finds a time at which the tasks on a worker need more processors than it has.
fn exceeded_capacity(
    jobs: &BTreeMap<JobId, SentJob>,
    worker: &WorkerId,
    runs: &[&WorkerRecord],
    capacity_millicores: u64,
) -> Option<String> {
    let size = |run: &WorkerRecord| {
        let job = jobs.get(&run.task.step.job);
        let step = job.and_then(|job| job.graph.steps.get(run.task.step.step as usize));
        step.map_or(0, |step| step.resources.processor_millicores)
    };
    runs.iter().find_map(|started| {
        let at = started.began_at;
        let runs_then =
            |run: &&&WorkerRecord| run.began_at <= at && run.ended_at.is_none_or(|end| end > at);
        let used: u64 = runs.iter().filter(runs_then).map(|run| size(run)).sum();
        (used > capacity_millicores)
            .then(|| format!("{worker} ran {used} millicores of {capacity_millicores}"))
    })
}

/// Finds that an accepted job was not reported as completed, or that a job was reported so before
/// all its tasks had succeeded.
fn not_completed(
    job: &JobId,
    sent: &SentJob,
    by_task: &BTreeMap<&TaskName, Vec<&WorkerRecord>>,
) -> Option<String> {
    let Some(completed_at) = sent.completed_at else {
        let must_complete = sent.accepted_at.is_some() && !sent.cancel_sent;
        return must_complete.then(|| format!("job {job} was accepted and is not completed"));
    };
    for (step, spec) in (0u32..).zip(&sent.graph.steps) {
        let succeeded = by_task
            .iter()
            .filter(|(task, _)| task.step.job == *job && task.step.step == step)
            .filter(|(_, runs)| runs.iter().any(|run| succeeded_by(run, completed_at)))
            .count();
        if succeeded < spec.tasks as usize {
            let tasks = spec.tasks;
            return Some(format!(
                "job {job} was reported completed with {succeeded} of {tasks} tasks of step {step}"
            ));
        }
    }
    None
}
