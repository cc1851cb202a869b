//! Jobs from submission to their end, on one instance and across instances.

mod fixtures;

use fixtures::{
    cell::{eventually, Cell},
    job, members, settings,
};
use jackdawchute_ports::TaskEnd;
use jackdawchute_types::{JobKind, JobState};

/// One instance that owns the home group and a rack of two workers.
async fn one_instance() -> Cell {
    let mut cell = Cell::new(members(&["r1"], 2));
    cell.start("a", settings()).await;
    cell.assign_group("rack/r1", "a", 1).await;
    cell.assign_group("jobs/0", "a", 1).await;
    cell
}

async fn wait_for_state(cell: &Cell, instance: &str, id: &str, state: JobState) {
    eventually("state of the job", || async {
        let status = cell.status(instance, id).await.unwrap();
        (status.state == state).then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_job_runs_and_succeeds() {
    let cell = one_instance().await;

    cell.submit("a", "j1", job(JobKind::Batch, 3))
        .await
        .unwrap();
    wait_for_state(&cell, "a", "j1", JobState::Running).await;
    for task in cell.workers.running() {
        for worker in cell.workers.all() {
            worker.finish(&task, TaskEnd::Succeeded);
        }
    }
    wait_for_state(&cell, "a", "j1", JobState::Succeeded).await;

    let starts: usize = cell.workers.all().iter().map(|w| w.starts().len()).sum();
    assert_eq!(starts, 3);
    eventually("the intents are deleted", || async {
        cell.journal
            .entries(&"rack/r1".into())
            .is_empty()
            .then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_job_runs_on_the_rack_of_another_instance() {
    let mut cell = Cell::new(members(&["r1"], 2));
    cell.start("a", settings()).await;
    cell.start("b", settings()).await;
    cell.assign_group("jobs/0", "a", 1).await;
    cell.assign_group("rack/r1", "b", 1).await;

    cell.submit("a", "j1", job(JobKind::Service, 2))
        .await
        .unwrap();

    wait_for_state(&cell, "a", "j1", JobState::Running).await;
    assert_eq!(cell.workers.running().len(), 2);
}

#[tokio::test]
async fn all_tasks_of_a_gang_run_across_racks() {
    let mut cell = Cell::new(members(&["r1", "r2"], 1));
    cell.start("a", settings()).await;
    cell.start("b", settings()).await;
    cell.assign_group("jobs/0", "a", 1).await;
    cell.assign_group("rack/r1", "a", 1).await;
    cell.assign_group("rack/r2", "b", 1).await;

    cell.submit("a", "g1", job(JobKind::Gang, 12))
        .await
        .unwrap();

    wait_for_state(&cell, "a", "g1", JobState::Running).await;
    assert_eq!(cell.workers.running().len(), 12);
}

#[tokio::test]
async fn a_running_job_is_cancelled() {
    let cell = one_instance().await;
    cell.submit("a", "j1", job(JobKind::Service, 2))
        .await
        .unwrap();
    wait_for_state(&cell, "a", "j1", JobState::Running).await;

    cell.cancel("a", "j1").await.unwrap();

    wait_for_state(&cell, "a", "j1", JobState::Cancelled).await;
    assert!(cell.workers.running().is_empty());
}
