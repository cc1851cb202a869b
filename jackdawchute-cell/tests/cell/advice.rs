//! Advice requests of a leader whose advisors are busy.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_cell::QueueRoute;
use jackdawchute_scheduler::AdviceCost;
use jackdawchute_standins::{cell::SerialAdvisor, proxy::ProxyFaults};

use crate::fixtures::*;

/// How long an accepted job may stand still beside room, by the users' rules.
const STANDSTILL_MAX: Duration = Duration::from_secs(3);
/// The jobs that wait for advice at once; their requests take the advisor 2.2 s together.
const JOBS: usize = 11;
/// The jobs beside an advisor that answers nothing; their requests take the other one 2.4 s together.
const JOBS_OF_ONE_ADVISOR: usize = 6;
/// The instances of a cell of which one falls silent.
const INSTANCES: usize = 3;

/// Issue 58: a request that no advisor had room for was dropped, and its job asked again 2.5 s later.
#[tokio::test]
async fn a_job_that_no_advisor_had_room_for_gets_advice_when_one_is_free() {
    let advisor = Arc::new(SerialAdvisor::busy_for(Duration::ZERO));
    let cell = cell_with_advisor(&[1_000], advisor).await;
    let mut route = advised_route();
    route.policy.advice = route.policy.advice.map(|cost| AdviceCost {
        valid: Duration::from_secs(2),
        ..cost
    });
    let accepted_at = Instant::now();
    for index in 0..JOBS {
        let job = format!("job-{index}");
        cell.submit_job(0, &job, &graph(1), &route).await;
    }

    wait_for("not all jobs have begun", || {
        cell.workers.records().len() == JOBS
    })
    .await;

    let took = accepted_at.elapsed();
    assert!(took < STANDSTILL_MAX, "{took:?}");
    cell.assert_each_task_ran_once();
}

/// A queue whose requests for advice take as long as those of a large gang.
fn slowly_advised_route() -> QueueRoute {
    let mut route = advised_route();
    route.policy.advice = route.policy.advice.map(|cost| AdviceCost {
        fixed_ms: 600.0,
        ..cost
    });
    route
}

/// Submits as many jobs as there are advisors, so that each of these is asked about one, and waits
/// until all jobs have begun.
async fn begin_a_job_for_each_advisor(cell: &Cell, leader: usize, name: &str) {
    let begun = cell.workers.records().len() + INSTANCES;
    for index in 0..INSTANCES {
        let job = format!("{name}-{index}");
        cell.submit_job(leader, &job, &graph(1), &slowly_advised_route())
            .await;
    }
    wait_for("not all jobs have begun", || {
        cell.workers.records().len() == begun
    })
    .await;
}

/// The leader learns from the heartbeats that an instance is gone, long before its calls to the
/// instance time out.
#[tokio::test]
async fn a_job_whose_advisor_falls_silent_gets_advice_from_another_one() {
    let cell = cell_with(CellOptions {
        can_freeze: true,
        ..CellOptions::of_instances(INSTANCES)
    })
    .await;
    let leader = cell.leader().await;
    // Opens the connections to all advisors.
    begin_a_job_for_each_advisor(&cell, leader, "before").await;

    cell.instances[(leader + 1) % INSTANCES].freeze(WAIT_MAX);
    let accepted_at = Instant::now();
    begin_a_job_for_each_advisor(&cell, leader, "job").await;

    let took = accepted_at.elapsed();
    assert!(took < STANDSTILL_MAX, "{took:?}");
    cell.assert_each_task_ran_once();
}

/// An instance that is cut off from the advisor alone still sends heartbeats. Its advisor is never busy
/// for long, and would be asked first each time while the others work.
#[tokio::test]
async fn an_advisor_that_answers_nothing_is_not_asked_again_and_again() {
    let answering = Arc::new(SerialAdvisor::busy_for(Duration::ZERO));
    let mut cell = cell_with_advisor(&[1_000], answering).await;
    cell.advisor = Arc::new(SerialAdvisor::busy_for(WAIT_MAX));
    cell.add_instance(1_000).await;
    cell.wait_until_ready().await;
    let mut route = advised_route();
    route.policy.advice = route.policy.advice.map(|cost| AdviceCost {
        fixed_ms: 400.0,
        ..cost
    });
    let accepted_at = Instant::now();
    for index in 0..JOBS_OF_ONE_ADVISOR {
        let job = format!("job-{index}");
        cell.submit_job(0, &job, &graph(1), &route).await;
    }

    wait_for("not all jobs have begun", || {
        cell.workers.records().len() == JOBS_OF_ONE_ADVISOR
    })
    .await;

    let took = accepted_at.elapsed();
    assert!(took < STANDSTILL_MAX, "{took:?}");
    cell.assert_each_task_ran_once();
}

/// The open connection to an instance may go silent while the instance's own heartbeats arrive.
#[tokio::test]
async fn a_job_whose_advisor_is_not_reached_any_more_gets_advice_from_another_one() {
    let cell = cell(INSTANCES).await;
    let leader = cell.leader().await;
    // Opens the connections to all advisors.
    begin_a_job_for_each_advisor(&cell, leader, "before").await;

    let asked = &cell.instances[(leader + 1) % INSTANCES].proxy;
    asked
        .set_source_faults(cell.host(leader), Some(ProxyFaults::frozen()))
        .await
        .expect("the proxy runs as long as its instance");
    let accepted_at = Instant::now();
    begin_a_job_for_each_advisor(&cell, leader, "job").await;

    let took = accepted_at.elapsed();
    assert!(took < STANDSTILL_MAX, "{took:?}");
    cell.assert_each_task_ran_once();
}
