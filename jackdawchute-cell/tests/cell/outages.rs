//! Outages of the store while tasks run and end.

use std::time::{Duration, Instant};

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

/// A takeover would refuse callers for a while longer, just as the store answers again.
#[tokio::test]
async fn the_leader_keeps_its_epoch_across_an_outage_that_ends_for_it_a_little_later() {
    const INSTANCES: usize = 4;
    const LATER: Duration = Duration::from_millis(250);
    let cell = cell(INSTANCES).await;
    let leader = cell.leader().await;
    let others = || (0..INSTANCES).filter(|index| *index != leader);
    // Run ends wait to be saved throughout the outage.
    cell.submit_until_accepted(leader, "before", 8).await;

    for index in 0..INSTANCES {
        cell.instances[index].store.deny(true);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    others().for_each(|index| cell.instances[index].store.deny(false));
    tokio::time::sleep(LATER).await;
    cell.instances[leader].store.deny(false);
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert_eq!(cell.leader().await, leader);
    assert_eq!(cell.submit(leader, "job", 1).await, Answer::Accepted);
}

/// Whether a job exists that the leader does not know can't be told while the store is silent; callers
/// are to learn that before the call that is forwarded to the leader times out.
#[tokio::test]
async fn a_query_for_an_unknown_job_is_answered_as_unavailable_while_the_store_is_silent() {
    const FORWARDED_CALL_MAX: Duration = Duration::from_millis(1_500);
    let cell = cell(1).await;
    cell.instances[0].store.silence(true);

    let asked_at = Instant::now();
    let answer = cell.status(0, "unknown").await;

    let took = asked_at.elapsed();
    assert!(matches!(answer, Answer::Unavailable { .. }), "{answer:?}");
    assert!(took < FORWARDED_CALL_MAX, "{took:?}");
}
