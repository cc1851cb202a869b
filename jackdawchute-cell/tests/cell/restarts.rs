//! Restarts of workers under their ids, with orders that are carried out late.

use std::time::{Duration, Instant};

use jackdawchute_scheduler::{EndReason, JobGraph};
use jackdawchute_standins::cell::{OrderKind, WorkerRecord};
use jackdawchute_types::{Resources, WorkerId};

use crate::fixtures::*;

pub const INSTANCES: usize = 3;
/// The age of the workers' first incarnations, which puts the lease ends of their clocks beyond the
/// longest delay of an order on those of the next ones.
pub const WORKER_AGE: Duration = Duration::from_secs(12);
/// How long a worker is down before its next incarnation starts.
pub const DOWN_TIME: Duration = Duration::from_millis(200);
/// The processor of a task of which a worker runs one at a time.
pub const LARGE_MILLICORES: u64 = 3_000;
/// How long tasks run, longer than it takes to give up the lease of a silent worker.
pub const LONG: Duration = Duration::from_secs(5);
/// How long tasks run that only the end of their worker's lease ends in time.
pub const LASTING: Duration = Duration::from_secs(30);

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub fn options() -> CellOptions {
    CellOptions {
        worker_age: WORKER_AGE,
        task_time: LONG,
        ..CellOptions::of_instances(INSTANCES)
    }
}

/// Returns a job whose tasks need this much processor each.
pub fn job(tasks: u32, millicores: u64) -> JobGraph {
    let mut job = graph(tasks);
    job.steps[0].resources = Resources::new(millicores, 10, 0);
    job.steps[0].estimate = LONG;
    job
}

/// Makes starts on all workers be carried out late, or answered again.
pub fn delay_starts(cell: &Cell, delay: Option<Duration>) {
    for entry in cell.workers.entries() {
        let kinds = [OrderKind::Start];
        cell.workers.set_late(&entry.worker, &kinds, delay);
    }
}

/// Waits until starts have arrived that are carried out late, and returns when the last one did and
/// the workers with such orders.
pub async fn wait_for_late_starts(cell: &Cell, starts: usize) -> (Instant, Vec<WorkerId>) {
    let late_starts = || cell.workers.late_orders(OrderKind::Start);
    wait_for("no start arrives", || late_starts().len() >= starts).await;
    let mut workers = late_starts();
    workers.sort();
    workers.dedup();
    (Instant::now(), workers)
}

/// Makes the extensions of a worker's lease arrive without an answer until one has, and returns when
/// it did and until when it may be carried out.
pub async fn delay_extensions(cell: &Cell, worker: &WorkerId, late: f64) -> (Instant, Instant) {
    let kinds = [OrderKind::Extension];
    cell.workers.set_late(worker, &kinds, Some(seconds(late)));
    let late_extensions = || cell.workers.late_orders(OrderKind::Extension);
    wait_for("no extension arrives", || !late_extensions().is_empty()).await;
    let arrived_at = Instant::now();
    cell.workers.set_late(worker, &kinds, None);
    (arrived_at, arrived_at + seconds(late))
}

pub fn cut_off(cell: &Cell, worker: &str) {
    for index in 0..cell.instances.len() {
        cell.cut_worker(index, worker, true);
    }
}

/// Crashes workers, which are back under their ids after [`DOWN_TIME`] and are reached by no
/// instance from now on; with a capacity if they come back as another kind.
pub async fn restart_behind_cut(cell: &Cell, workers: &[WorkerId], millicores: Option<u64>) {
    for worker in workers {
        cut_off(cell, worker);
    }
    tokio::time::sleep(DOWN_TIME).await;
    for worker in workers {
        match millicores {
            Some(millicores) => cell.workers.crash_to_capacity(worker, millicores),
            None => cell.workers.crash(worker),
        }
    }
}

/// Lists the present incarnations of the workers.
pub fn list_workers(cell: &Cell) {
    cell.listed.send_replace(cell.workers.entries());
}

/// Connects all again and lists the present incarnations of the workers.
pub async fn heal(cell: &Cell) {
    list_workers(cell);
    cell.heal().await;
}

pub async fn sleep_until(at: Instant) {
    tokio::time::sleep_until(at.into()).await;
}

/// Describes the times in which two runs of one task went on, and the starts of a task after a
/// success whose end was taken for saved.
pub fn repeated_runs(cell: &Cell) -> Vec<String> {
    let records = cell.workers.records();
    let pairs = records.iter().enumerate().flat_map(|(index, first)| {
        let later = records[index + 1..].iter();
        later.map(move |second| (first, second))
    });
    let of_one_task = pairs.filter(|(first, second)| first.task == second.task);
    let repeated = of_one_task.filter_map(|(first, second)| {
        let what = repetition(first, second)?;
        let (task, workers) = (&first.task, (&first.worker, &second.worker));
        let (job, index) = (&task.step.job, task.index);
        Some(format!(
            "{job}.{index} on {} and {} {what}",
            workers.0, workers.1
        ))
    });
    repeated.collect()
}

/// Describes how two runs of a task, in the order of their starts, contradict each other; `None` if
/// they don't.
fn repetition(first: &WorkerRecord, second: &WorkerRecord) -> Option<String> {
    let now = Instant::now();
    let end = |record: &WorkerRecord| record.ended_at.unwrap_or(now);
    let until = end(first).min(end(second));
    if second.began_at < until {
        let overlap = until - second.began_at;
        return Some(format!("for {:.2} s", overlap.as_secs_f64()));
    }
    let succeeded = first.reason == Some(EndReason::Succeeded) && first.saved;
    let since = second.began_at - end(first);
    succeeded.then(|| format!("{:.2} s after its success", since.as_secs_f64()))
}
