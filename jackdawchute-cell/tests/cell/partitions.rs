//! Partitions between the instances, the store and the workers while tasks run.
//!
//! The side of a partition that has the store gets a new leader. The former one may go on only as
//! long as no successor can act.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_cell::Answer;
use jackdawchute_scheduler::{JobGraph, JobOutcome, JobStatus};
use jackdawchute_standins::{
    cell::WorkerRecord,
    cell_soak::{find_violations, SentJob},
};
use jackdawchute_tenants::Caller;
use jackdawchute_types::JobId;

use crate::fixtures::*;

const INSTANCES: usize = 3;
const WORKERS: usize = 5;
/// The processor of each worker, which is that of four tasks.
const WORKER_MILLICORES: u64 = 4_000;
/// The tasks that run when a network is cut: half of what the workers have room for, so that each
/// side can start the tasks of the other.
const RUNNING_TASKS: u32 = 10;
/// How long tasks run that start after the network was cut.
const LATER_TASK_TIME: Duration = Duration::from_secs(1);
/// How long callers wait for the answer to a cancellation before they repeat it.
const CANCEL_DEADLINE: Duration = Duration::from_millis(900);
/// How long the instances get to find out about the end of a cut.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Jobs that were accepted, with the number of their tasks.
type Accepted<'a> = &'a [(&'a str, u32)];

/// Returns a job whose tasks are expected to run for `task_time`.
fn job(tasks: u32, task_time: Duration) -> JobGraph {
    let mut job = graph(tasks);
    job.steps[0].estimate = task_time;
    job
}

/// Returns a cell that runs [`RUNNING_TASKS`] tasks of `job` for `task_time`; those that start later
/// take [`LATER_TASK_TIME`].
async fn cell_with_running_tasks(task_time: Duration, can_freeze: bool) -> Cell {
    let cell = cell_with(CellOptions {
        workers: WORKERS,
        can_freeze,
        task_time,
        ..CellOptions::of_instances(INSTANCES)
    })
    .await;
    cell.submit_job(0, "job", &job(RUNNING_TASKS, task_time), &route())
        .await;
    wait_for_runs(&cell, RUNNING_TASKS).await;
    cell.workers.set_task_time(LATER_TASK_TIME);
    cell
}

async fn wait_for_runs(cell: &Cell, runs: u32) {
    wait_for("the tasks do not run", || {
        cell.workers.records().len() >= runs as usize
    })
    .await;
}

fn runs_of(cell: &Cell, job: &str) -> usize {
    let records = cell.workers.records();
    let of_job = records.iter().filter(|run| run.task.step.job == job);
    of_job.count()
}

/// Returns the worker that runs the most tasks and the one that runs the fewest, so that both sides
/// of a cut have tasks and room for more.
fn busiest_and_idlest(cell: &Cell) -> Vec<String> {
    let records = cell.workers.records();
    let runs = |worker: &str| {
        let runs_there =
            |record: &&WorkerRecord| record.worker.as_str() == worker && record.ended_at.is_none();
        records.iter().filter(runs_there).count()
    };
    let entries = cell.workers.entries().into_iter();
    let mut workers: Vec<String> = entries.map(|entry| entry.worker.to_string()).collect();
    workers.sort_by_key(|worker| runs(worker));
    vec![workers[WORKERS - 1].clone(), workers[0].clone()]
}

async fn wait_until_completed(cell: &Cell, job: &str) -> Option<Instant> {
    let completed = Answer::Status(JobStatus::Ended(JobOutcome::Completed));
    let deadline = Instant::now() + WAIT_MAX;
    while Instant::now() < deadline {
        if cell.status(0, job).await == completed {
            return Some(Instant::now());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}

/// Waits for the end of the jobs and returns which guarantees on their runs were broken.
async fn violations(cell: &Cell, accepted: Accepted<'_>) -> Vec<String> {
    let mut jobs: BTreeMap<JobId, SentJob> = BTreeMap::new();
    for (job, tasks) in accepted {
        let sent = SentJob {
            graph: graph(*tasks),
            accepted_at: Some(Instant::now()),
            completed_at: wait_until_completed(cell, job).await,
            ..SentJob::default()
        };
        jobs.insert((*job).into(), sent);
    }
    let records = cell.workers.records();
    let mut violations = find_violations(&jobs, &records, WORKER_MILLICORES);
    if !violations.is_empty() {
        violations.extend(records.iter().map(|record| timeline(record, &records[0])));
    }
    violations
}

/// Returns when a run began and ended, counted from the first one.
fn timeline(record: &WorkerRecord, first: &WorkerRecord) -> String {
    let since = |at: Instant| at.duration_since(first.began_at).as_secs_f64();
    let (task, run, worker) = (&record.task, record.run, &record.worker);
    let ended = record
        .ended_at
        .map_or("now".to_owned(), |at| format!("{:.2} s", since(at)));
    let began = since(record.began_at);
    let (job, index, reason) = (&task.step.job, task.index, record.reason);
    let saved = record.saved;
    format!(
        "{job}.{index} run {run} on {worker}: {began:.2} s to {ended}, {reason:?}, saved: {saved}"
    )
}

fn as_str(workers: &[String]) -> Vec<&str> {
    workers.iter().map(String::as_str).collect()
}

/// Cuts the leader off with two of the workers for `cut_time`, while tasks run on both sides.
async fn violations_of_a_leader_cut_off_with_workers(cut_time: Duration) -> Vec<String> {
    let cell = cell_with_running_tasks(cut_time + Duration::from_secs(1), false).await;
    let leader = cell.leader().await;
    let beside_leader = busiest_and_idlest(&cell);

    cell.partition(&[leader], &as_str(&beside_leader), false)
        .await;
    tokio::time::sleep(cut_time).await;
    cell.heal().await;

    violations(&cell, &[("job", RUNNING_TASKS)]).await
}

#[tokio::test]
async fn a_leader_cut_off_with_some_workers_starts_nothing_that_its_successor_may_run() {
    let cut_time = Duration::from_secs(9);

    let violations = violations_of_a_leader_cut_off_with_workers(cut_time).await;

    assert!(violations.is_empty(), "{violations:#?}");
}

#[tokio::test]
async fn a_leader_cut_off_for_longer_starts_nothing_that_its_successor_may_run() {
    let cut_time = Duration::from_secs(14);

    let violations = violations_of_a_leader_cut_off_with_workers(cut_time).await;

    assert!(violations.is_empty(), "{violations:#?}");
}

/// The promise of the instance beside the leader must not stand for those beyond the cut.
#[tokio::test]
async fn a_leader_cut_off_with_another_instance_starts_nothing_that_its_successor_may_run() {
    const CUT_TIME: Duration = Duration::from_secs(9);
    let cell = cell_with_running_tasks(CUT_TIME + Duration::from_secs(1), false).await;
    let leader = cell.leader().await;
    let beside_leader = (leader + 1) % INSTANCES;
    let workers = busiest_and_idlest(&cell);

    cell.partition(&[leader, beside_leader], &as_str(&workers), false)
        .await;
    tokio::time::sleep(CUT_TIME).await;
    cell.heal().await;
    let violations = violations(&cell, &[("job", RUNNING_TASKS)]).await;

    assert!(violations.is_empty(), "{violations:#?}");
}

#[tokio::test]
async fn waiting_tasks_start_on_one_side_of_a_partition_only() {
    const TASKS: u32 = 60;
    const TIME: Duration = Duration::from_secs(3);
    let cell = cell_with(CellOptions {
        workers: WORKERS,
        task_time: TIME,
        ..CellOptions::of_instances(INSTANCES)
    })
    .await;
    cell.submit_job(0, "job", &job(TASKS, TIME), &route()).await;
    wait_for_runs(&cell, 20).await;
    let leader = cell.leader().await;

    cell.partition(&[leader], &["w0", "w1"], false).await;
    tokio::time::sleep(Duration::from_secs(11)).await;
    cell.heal().await;
    cell.workers.set_task_time(TASK_TIME);
    let violations = violations(&cell, &[("job", TASKS)]).await;

    assert!(violations.is_empty(), "{violations:#?}");
}

/// The former leader reaches all workers, but neither the store nor another instance; the successor
/// lacks some of the workers.
#[tokio::test]
async fn a_leader_that_reaches_only_workers_starts_nothing_that_its_successor_may_run() {
    let cell = cell_with_running_tasks(Duration::from_secs(10), false).await;
    let leader = cell.leader().await;
    let lost = busiest_and_idlest(&cell);

    cell.cut_store(leader, true);
    cell.isolate(leader).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    for index in (0..INSTANCES).filter(|index| *index != leader) {
        for worker in &lost {
            cell.cut_worker(index, worker, true);
        }
    }
    tokio::time::sleep(Duration::from_millis(8_400)).await;
    cell.heal().await;
    let violations = violations(&cell, &[("job", RUNNING_TASKS)]).await;

    assert!(violations.is_empty(), "{violations:#?}");
}

#[tokio::test]
async fn a_network_cut_again_behind_another_leader_runs_each_task_in_one_place() {
    let cell = cell_with_running_tasks(Duration::from_secs(12), false).await;
    let first = cell.leader().await;
    let workers = busiest_and_idlest(&cell);

    cell.partition(&[first], &as_str(&workers), false).await;
    wait_for_other_leader(&cell, first).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.heal().await;
    tokio::time::sleep(SETTLE_TIME).await;
    let second = cell.leader().await;
    cell.partition(&[second], &as_str(&workers), false).await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    cell.heal().await;
    let violations = violations(&cell, &[("job", RUNNING_TASKS)]).await;

    assert_ne!(first, second);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Freezes the leader while no other instance reaches two of the workers, and returns which
/// guarantees were broken when it wakes; with `cut_off`, it wakes without the store and its peers.
async fn violations_of_a_frozen_leader(cut_off: bool) -> Vec<String> {
    let cell = cell_with_running_tasks(Duration::from_secs(10), true).await;
    let leader = cell.leader().await;
    let beside_leader = busiest_and_idlest(&cell);
    // Runs of the successor last beyond the freeze.
    cell.workers.set_task_time(Duration::from_secs(4));

    for index in (0..INSTANCES).filter(|index| *index != leader) {
        for worker in &beside_leader {
            cell.cut_worker(index, worker, true);
        }
    }
    if cut_off {
        cell.cut_store(leader, true);
        cell.isolate(leader).await;
    }
    cell.instances[leader].freeze(Duration::from_secs(8));
    tokio::time::sleep(Duration::from_millis(9_500)).await;
    cell.heal().await;

    violations(&cell, &[("job", RUNNING_TASKS)]).await
}

#[tokio::test]
async fn a_frozen_leader_that_wakes_starts_nothing_that_its_successor_runs() {
    let violations = violations_of_a_frozen_leader(false).await;

    assert!(violations.is_empty(), "{violations:#?}");
}

#[tokio::test]
async fn a_frozen_leader_that_wakes_cut_off_starts_nothing_that_its_successor_runs() {
    let violations = violations_of_a_frozen_leader(true).await;

    assert!(violations.is_empty(), "{violations:#?}");
}

/// The leader's answers came while the process did not run.
#[tokio::test]
async fn a_frozen_instance_that_wakes_does_not_claim_the_epoch_of_a_healthy_leader() {
    let cell = cell_with(CellOptions {
        can_freeze: true,
        ..CellOptions::of_instances(INSTANCES)
    })
    .await;
    let leader = cell.leader().await;
    let other = (leader + 1) % INSTANCES;

    cell.instances[other].freeze(Duration::from_secs(3));
    tokio::time::sleep(Duration::from_secs(5)).await;

    assert_eq!(cell.leader().await, leader);
}

/// Callers of such an instance are served by one that reaches the present leader.
#[tokio::test]
async fn an_instance_that_reaches_only_a_leader_without_authority_is_not_ready() {
    let cell = cell_with(CellOptions::of_instances(INSTANCES)).await;
    let leader = cell.leader().await;
    let beside_leader = (leader + 1) % INSTANCES;

    cell.partition(&[leader, beside_leader], &[], false).await;
    let gateway = &cell.instances[beside_leader].handle.gateway;
    wait_for("the instance stays ready", || !gateway.ready()).await;
    cell.heal().await;

    cell.wait_until_ready().await;
}

/// Without the store no instance can succeed the leader, so all goes on under it. A task whose lease
/// lapses would run a second time.
#[tokio::test]
async fn tasks_run_and_start_while_the_store_is_down_for_all() {
    const LONG_TASKS: u32 = 16;
    const SHORT_TASKS: u32 = 4;
    const LONG: Duration = Duration::from_secs(8);
    let cell = cell_with(CellOptions {
        workers: WORKERS,
        task_time: LONG,
        ..CellOptions::of_instances(INSTANCES)
    })
    .await;
    cell.submit_job(0, "long", &job(LONG_TASKS, LONG), &route())
        .await;
    wait_for_runs(&cell, LONG_TASKS).await;
    cell.workers.set_task_time(LATER_TASK_TIME);
    cell.submit_job(0, "short", &job(SHORT_TASKS, LATER_TASK_TIME), &route())
        .await;
    wait_for_runs(&cell, LONG_TASKS + SHORT_TASKS).await;
    cell.submit_job(0, "waiting", &job(SHORT_TASKS, LATER_TASK_TIME), &route())
        .await;

    for index in 0..INSTANCES {
        cell.cut_store(index, true);
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    let runs_of_waiting = runs_of(&cell, "waiting");
    cell.heal().await;
    let violations = violations(
        &cell,
        &[
            ("long", LONG_TASKS),
            ("short", SHORT_TASKS),
            ("waiting", SHORT_TASKS),
        ],
    )
    .await;

    assert!(violations.is_empty(), "{violations:#?}");
    assert_eq!(runs_of_waiting, SHORT_TASKS as usize);
    cell.assert_each_task_ran_once();
}

/// Cancels a job at an instance as callers do; returns when this was answered.
async fn cancel_until_answered(cell: &Cell, index: usize, job: &str) -> Instant {
    let cancelled = Answer::Status(JobStatus::Ended(JobOutcome::Cancelled));
    let deadline = Instant::now() + WAIT_MAX;
    let gateway = &cell.instances[index].handle.gateway;
    while gateway
        .cancel(
            Caller::default(),
            &route().policy.queue,
            job.into(),
            CANCEL_DEADLINE,
        )
        .await
        != cancelled
    {
        assert!(Instant::now() < deadline, "{job} is not cancelled");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Instant::now()
}

/// No instance has reached the leader before it is cut off with some workers, so that it may act for
/// the longest time.
#[tokio::test]
async fn no_task_starts_under_an_earlier_leader_after_a_cancellation_was_answered() {
    const TASKS: u32 = 100;
    const TIME: Duration = Duration::from_millis(1_500);
    const CUT_TIME: Duration = Duration::from_secs(8);
    let cell = cell_with(CellOptions {
        workers: WORKERS,
        task_time: TIME,
        ..CellOptions::of_instances(INSTANCES)
    })
    .await;
    cell.submit_job(0, "job", &job(TASKS, TIME), &route()).await;
    wait_for_runs(&cell, 20).await;
    let first = cell.leader().await;
    for index in 0..INSTANCES {
        cell.isolate(index).await;
    }
    wait_for_other_leader(&cell, first).await;
    let runs_before = runs_of(&cell, "job");
    wait_for_runs(&cell, runs_before as u32 + 1).await;
    let earlier = cell.leader().await;
    cell.partition(&[earlier], &["w0", "w1"], false).await;
    wait_for_other_leader(&cell, earlier).await;
    let later = cell.leader().await;

    let (cancelled_at, ()) = tokio::join!(cancel_until_answered(&cell, later, "job"), async {
        tokio::time::sleep(CUT_TIME).await;
        cell.heal().await;
    });
    tokio::time::sleep(CUT_TIME).await;

    let sent = SentJob {
        graph: graph(TASKS),
        accepted_at: Some(cancelled_at),
        cancel_sent: true,
        cancelled_at: Some(cancelled_at),
        ..SentJob::default()
    };
    let jobs = BTreeMap::from([("job".into(), sent)]);
    let violations = find_violations(&jobs, &cell.workers.records(), WORKER_MILLICORES);
    assert!(violations.is_empty(), "{violations:#?}");
}
