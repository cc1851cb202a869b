//! Outages of the store while tasks run and end.

use std::time::Duration;

use jackdawchute_cell::Answer;
use jackdawchute_tenants::Caller;
use jackdawchute_types::Resources;

use crate::fixtures::*;

/// Tasks of the job; each of the four workers has 600 run ends, and lists 500 at a time.
const TASKS: u32 = 2_400;

/// Ends beyond the first 500 of a worker were taken for missing while nothing could be saved, and
/// their tasks were started again on another worker.
#[tokio::test]
async fn no_task_runs_twice_when_more_ends_are_unsaved_than_a_worker_lists() {
    let cell = cell(2).await;
    let mut job = graph(TASKS);
    job.steps[0].resources = Resources::new(10, 10, 0);
    let gateway = &cell.instances[0].handle.gateway;
    let answer = gateway
        .submit(Caller::default(), "job".into(), job, &route(), DEADLINE)
        .await;
    assert_eq!(answer, Answer::Accepted);

    for instance in &cell.instances {
        instance.store.deny(true);
    }
    wait_for("the tasks do not run", || {
        cell.workers.records().len() >= TASKS as usize
    })
    .await;
    tokio::time::sleep(TASK_TIME + Duration::from_secs(1)).await;
    for instance in &cell.instances {
        instance.store.deny(false);
    }
    cell.wait_until_completed(0, "job").await;

    cell.assert_each_task_ran_once();
}
