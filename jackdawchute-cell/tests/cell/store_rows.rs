//! Rows that the store refuses.

use jackdawchute_cell::Answer;
use jackdawchute_scheduler::WorkerEntry;
use jackdawchute_tenants::Caller;

use crate::fixtures::*;

/// A worker's entry that another writer left: its service is a text of 65,200 bytes.
fn odd_entry(cell: &Cell) -> WorkerEntry {
    WorkerEntry {
        worker: "odd".into(),
        service: "x".repeat(65_200).into(),
        ..cell.workers.entries().remove(0)
    }
}

/// The row of workers outgrew the store's limit, and no commit succeeded as long as the entry was
/// there.
#[tokio::test]
async fn an_odd_entry_among_the_workers_stops_no_commit() {
    let cell = cell(3).await;
    cell.submit_until_accepted(0, "before", 4).await;

    cell.listed
        .send_modify(|entries| entries.push(odd_entry(&cell)));
    tokio::time::sleep(TASK_TIME).await;
    let answer = cell.submit(1, "after", 4).await;

    assert_eq!(answer, Answer::Accepted);
    for job in ["before", "after"] {
        cell.wait_until_completed(2, job).await;
    }
    cell.assert_each_task_ran_once();
}

/// A job of many steps outgrew a row of the store, and no commit succeeded any more.
#[tokio::test]
async fn a_job_larger_than_a_row_of_the_store_is_accepted_and_runs() {
    let cell = cell(3).await;
    let mut large = graph(1);
    large.payload = "x".repeat(150_000).into();

    let gateway = &cell.instances[0].handle.gateway;
    let answer = gateway
        .submit(Caller::default(), "large".into(), large, &route(), DEADLINE)
        .await;

    assert_eq!(answer, Answer::Accepted);
    cell.wait_until_completed(1, "large").await;
    cell.submit_until_accepted(2, "after", 1).await;
    cell.wait_until_completed(0, "after").await;
    cell.assert_each_task_ran_once();
}
