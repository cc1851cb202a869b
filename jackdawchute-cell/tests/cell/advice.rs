//! Advice requests of a leader whose advisors are busy.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::AdviceCost;
use jackdawchute_standins::cell::SerialAdvisor;

use crate::fixtures::*;

/// How long an accepted job may stand still beside room, by the users' rules.
const STANDSTILL_MAX: Duration = Duration::from_secs(3);
/// The jobs that wait for advice at once; their requests take the advisor 2.2 s together.
const JOBS: usize = 11;

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
