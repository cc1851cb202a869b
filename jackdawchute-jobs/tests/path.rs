//! Jobs from submission to their end, at one instance and across instances.

mod fixtures;

use fixtures::{
    cell::{eventually, Cell},
    job, members, settings,
};
use jackdawchute_ports::TaskEnd;
use jackdawchute_types::{JobKind, JobState};

async fn one_instance() -> Cell {
    let mut cell = Cell::new(members(&["r1"], 2));
    cell.start("a", settings()).await;
    cell.give("rack/r1", "a", 1).await;
    cell.give("jobs/0", "a", 1).await;
    cell
}

async fn until(cell: &Cell, instance: &str, id: &str, state: JobState) {
    eventually("state of the job", || async {
        let status = cell.status(instance, id).await.unwrap();
        (status.state == state).then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_job_runs_and_ends() {
    let cell = one_instance().await;

    cell.submit("a", "j1", job(JobKind::Batch, 3))
        .await
        .unwrap();
    until(&cell, "a", "j1", JobState::Running).await;
    for task in cell.workers.running() {
        for worker in cell.workers.all() {
            worker.finish(&task, TaskEnd::Succeeded);
        }
    }
    until(&cell, "a", "j1", JobState::Succeeded).await;

    let starts: usize = cell.workers.all().iter().map(|w| w.starts().len()).sum();
    assert_eq!(starts, 3);
    eventually("intents are forgotten", || async {
        cell.journal
            .entries(&"rack/r1".into())
            .is_empty()
            .then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_job_runs_on_the_rack_of_another_owner() {
    let mut cell = Cell::new(members(&["r1"], 2));
    cell.start("a", settings()).await;
    cell.start("b", settings()).await;
    cell.give("jobs/0", "a", 1).await;
    cell.give("rack/r1", "b", 1).await;

    cell.submit("a", "j1", job(JobKind::Service, 2))
        .await
        .unwrap();

    until(&cell, "a", "j1", JobState::Running).await;
    assert_eq!(cell.workers.running().len(), 2);
}

#[tokio::test]
async fn a_gang_runs_whole_across_racks() {
    let mut cell = Cell::new(members(&["r1", "r2"], 1));
    cell.start("a", settings()).await;
    cell.start("b", settings()).await;
    cell.give("jobs/0", "a", 1).await;
    cell.give("rack/r1", "a", 1).await;
    cell.give("rack/r2", "b", 1).await;

    cell.submit("a", "g1", job(JobKind::Gang, 12))
        .await
        .unwrap();

    until(&cell, "a", "g1", JobState::Running).await;
    assert_eq!(cell.workers.running().len(), 12);
}

#[tokio::test]
async fn a_running_job_is_cancelled() {
    let cell = one_instance().await;
    cell.submit("a", "j1", job(JobKind::Service, 2))
        .await
        .unwrap();
    until(&cell, "a", "j1", JobState::Running).await;

    cell.cancel("a", "j1").await.unwrap();

    until(&cell, "a", "j1", JobState::Cancelled).await;
    assert!(cell.workers.running().is_empty());
}
