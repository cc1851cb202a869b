//! Workers that are not in the membership list when a new owner takes over their rack.

mod fixtures;

use std::{sync::Arc, time::Instant};

use fixtures::{
    cell::{eventually, Cell},
    job, members, settings,
};
use jackdawchute_ports::MembershipList;
use jackdawchute_timer::Tick;
use jackdawchute_types::{JobKind, JobState};

async fn until_running(cell: &Cell, instance: &str, id: &str) {
    eventually("the job runs", || async {
        let status = cell.status(instance, id).await.unwrap();
        (status.state == JobState::Running).then_some(())
    })
    .await;
}

fn list() -> MembershipList {
    members(&["r1"], 1)
}

fn empty_list() -> MembershipList {
    MembershipList {
        version: 1,
        members: Vec::new(),
    }
}

/// Returns a cell with a running job whose rack and home group a new instance has taken over, while
/// the worker was not listed.
async fn taken_over_without_worker() -> Cell {
    let mut cell = Cell::new(list());
    cell.start("a", settings()).await;
    cell.assign_group("rack/r1", "a", 1).await;
    cell.assign_group("jobs/0", "a", 1).await;
    cell.submit("a", "j1", job(JobKind::Service, 1))
        .await
        .unwrap();
    until_running(&cell, "a", "j1").await;
    cell.set_members(empty_list());
    cell.start("b", settings()).await;
    cell.kill("a");
    cell.assign_group("rack/r1", "b", 2).await;
    cell.assign_group("jobs/0", "b", 2).await;
    let now = Instant::now();
    cell.send("b", Tick { now }).await;
    cell
}

#[tokio::test]
async fn a_task_on_an_unlisted_worker_goes_on_under_a_new_owner() {
    let cell = taken_over_without_worker().await;

    until_running(&cell, "b", "j1").await;

    let worker = cell.workers.all().remove(0);
    assert_eq!(worker.starts().len(), 1);
    assert_eq!(worker.running().len(), 1);
}

#[tokio::test]
async fn a_worker_that_is_listed_again_gets_tasks_from_a_new_owner() {
    let cell = taken_over_without_worker().await;

    let list = MembershipList {
        version: 2,
        ..list()
    };
    cell.send("b", Arc::new(list)).await;
    cell.submit("b", "j2", job(JobKind::Service, 1))
        .await
        .unwrap();

    until_running(&cell, "b", "j2").await;
}
