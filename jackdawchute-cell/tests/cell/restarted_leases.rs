//! Leases that a restarted worker took from orders to its former incarnation.
//!
//! Tasks of 30 s are at work in the new incarnation when the worker is cut off; only its lease ends
//! them.

use std::time::Duration;

use jackdawchute_standins::cell::OrderKind;
use jackdawchute_types::WorkerId;

use crate::{fixtures::*, restarts::*};

/// The age of the first incarnations, which puts their lease ends beyond the longest hold of the next.
const FORMER_AGE: Duration = Duration::from_secs(14);
/// How long the worker is cut off from all instances.
const CUT_TIME: Duration = Duration::from_secs(12);
/// How many workers are listed at first, of which each takes one task.
const WORKERS_AT_FIRST: usize = 2;

/// What happens to the leader that has started a task in the new incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leader {
    Stays,
    Stops,
    Killed,
}

/// Returns the tasks that ran in two places at once, where a worker carries out an extension of its
/// lease `late` after a crash, gets a task again and is cut off with it.
async fn repeated_runs_after_a_restart(leader: Leader, late: f64) -> Vec<String> {
    let cell = &mut cell_with(CellOptions {
        can_freeze: true,
        worker_age: FORMER_AGE,
        task_time: LASTING,
        tickets: true,
        ..options()
    })
    .await;
    list_first_workers(cell);
    cell.submit_job(0, "job", &job(2, LARGE_MILLICORES), &advised_route())
        .await;
    let runs = || cell.workers.records().len();
    wait_for("the tasks do not start", || runs() == 2).await;
    tokio::time::sleep(seconds(2.0)).await;
    let worker = cell.workers.records()[0].worker.clone();
    crash_before_an_extension(cell, &worker, late).await;
    wait_for("the task does not start again", || runs() == 3).await;
    let first_leader = cell.leader().await;

    tokio::time::sleep(seconds(0.15)).await;
    match leader {
        Leader::Stays => {}
        Leader::Stops => cell.instances[first_leader].handle.leave().await,
        Leader::Killed => cell.instances[first_leader].kill(),
    }
    cut_off(cell, &worker);
    list_workers(cell);
    tokio::time::sleep(CUT_TIME).await;

    let described = repeated_runs(cell).into_iter();
    described
        .map(|it| format!("{leader:?} {late}: {it}"))
        .collect()
}

/// Crashes a worker under an extension of its lease, which the next incarnation carries out `late`
/// before any instance reaches it.
async fn crash_before_an_extension(cell: &Cell, worker: &WorkerId, late: f64) {
    let (_, late_until) = delay_extensions(cell, worker, late).await;
    cell.workers.crash(worker);
    cut_off(cell, worker);
    sleep_until(late_until).await;
    for index in 0..cell.instances.len() {
        cell.cut_worker(index, worker, false);
    }
    list_first_workers(cell);
}

/// Lists so few workers that the tasks find no other place.
fn list_first_workers(cell: &Cell) {
    let mut entries = cell.workers.entries();
    entries.truncate(WORKERS_AT_FIRST);
    cell.listed.send_replace(entries);
}

/// The users' incident: the lease from before a restart outlasted what a new leader waited for.
#[tokio::test]
async fn a_task_on_a_worker_with_a_lease_from_before_its_restart_runs_in_one_place_after_a_takeover(
) {
    let (at_once, late, stopped) = tokio::join!(
        repeated_runs_after_a_restart(Leader::Killed, 0.02),
        repeated_runs_after_a_restart(Leader::Killed, 0.15),
        repeated_runs_after_a_restart(Leader::Stops, 0.05),
    );

    let all = [at_once, late, stopped];
    assert!(all.iter().all(Vec::is_empty), "{all:#?}");
}

#[tokio::test]
async fn a_task_on_a_worker_with_a_lease_from_before_its_restart_runs_in_one_place() {
    let repeated = repeated_runs_after_a_restart(Leader::Stays, 0.05).await;

    assert!(repeated.is_empty(), "{repeated:#?}");
}

/// Returns the tasks that ran in two places at once, where a start gets no answer from an incarnation
/// that no instance has heard and that its ticket is for. The worker is unlisted `listed` after the cut.
async fn repeated_runs_of_a_start_in_an_unheard_incarnation(
    leader: Leader,
    listed: Duration,
) -> Vec<String> {
    const LATE_RENEWAL: Duration = Duration::from_secs(30);
    let cell = &mut cell_with(CellOptions {
        can_freeze: true,
        worker_age: FORMER_AGE,
        task_time: LASTING,
        tickets: true,
        ..options()
    })
    .await;
    let entries = cell.workers.entries();
    let worker = entries[0].worker.clone();
    cell.listed.send_replace(entries[..1].to_vec());
    let first_leader = cell.leader().await;
    let workers = cell.workers.clone();
    workers.set_late(&worker, &[OrderKind::Renewal], Some(LATE_RENEWAL));
    wait_for("no renewal is under way", || {
        !workers.late_orders(OrderKind::Renewal).is_empty()
    })
    .await;

    workers.crash(&worker);
    workers.set_late(&worker, &[OrderKind::Start], Some(seconds(0.02)));
    cell.submit_job(0, "job", &job(1, LARGE_MILLICORES), &advised_route())
        .await;
    wait_for("the task does not start", || workers.records().len() == 1).await;
    match leader {
        Leader::Stays => {}
        Leader::Stops => cell.instances[first_leader].handle.leave().await,
        Leader::Killed => cell.instances[first_leader].kill(),
    }
    cut_off(cell, &worker);
    list_workers(cell);
    tokio::time::sleep(listed).await;
    let mut others = cell.workers.entries();
    others.retain(|entry| entry.worker != worker);
    cell.listed.send_replace(others);
    tokio::time::sleep(CUT_TIME.saturating_sub(listed)).await;

    let described = repeated_runs(cell).into_iter();
    described.map(|it| format!("{leader:?}: {it}")).collect()
}

/// The ticket is for the new incarnation, while the leader counts the lease on the clock of the former
/// one.
#[tokio::test]
async fn a_start_without_an_answer_in_an_incarnation_that_no_leader_has_heard_runs_in_one_place() {
    let (stays, stops, killed) = tokio::join!(
        repeated_runs_of_a_start_in_an_unheard_incarnation(Leader::Stays, CUT_TIME),
        repeated_runs_of_a_start_in_an_unheard_incarnation(Leader::Stops, CUT_TIME),
        repeated_runs_of_a_start_in_an_unheard_incarnation(Leader::Killed, CUT_TIME),
    );

    let all = [stays, stops, killed];
    assert!(all.iter().all(Vec::is_empty), "{all:#?}");
}

/// A worker that does not reach the store either is no longer listed while its lease lasts.
#[tokio::test]
async fn a_start_in_an_unheard_incarnation_whose_entry_expires_runs_in_one_place() {
    const EXPIRY: Duration = Duration::from_millis(4_500);
    let (stops, killed) = tokio::join!(
        repeated_runs_of_a_start_in_an_unheard_incarnation(Leader::Stops, EXPIRY),
        repeated_runs_of_a_start_in_an_unheard_incarnation(Leader::Killed, EXPIRY),
    );

    let all = [stops, killed];
    assert!(all.iter().all(Vec::is_empty), "{all:#?}");
}
