//! Review of issue 58: advisors that answer nothing.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::{AdviceCost, JobGraph, StepSpec};
use jackdawchute_standins::cell::SerialAdvisor;
use jackdawchute_types::Resources;

use crate::fixtures::*;

/// How long an accepted job may stand still beside room, by the users' rules.
const STANDSTILL_MAX: Duration = Duration::from_secs(3);
/// More than two requests have room to name.
const GANG_TASKS: u32 = 11;
/// Within this time after its start an instance is known to the leader.
const HEARTBEATS: Duration = Duration::from_secs(1);

/// A gang with one task on each worker.
fn wide_gang() -> JobGraph {
    JobGraph {
        payload: "payload".into(),
        steps: vec![StepSpec {
            tasks: GANG_TASKS,
            gang: true,
            per_worker_max: Some(1),
            resources: Resources::new(1_000, 10, 0),
            estimate: Duration::from_secs(10),
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

/// A cell of two instances with twice the workers that the gang needs, where the advisor of the
/// second instance answers nothing.
async fn cell_with_mute_advisor() -> Cell {
    let mut cell = cell_with(CellOptions {
        advisor: Arc::new(SerialAdvisor::busy_for(Duration::ZERO)),
        workers: 2 * GANG_TASKS as usize,
        task_time: Duration::from_secs(10),
        ..CellOptions::of_instances(1)
    })
    .await;
    cell.advisor = Arc::new(SerialAdvisor::busy_for(Duration::from_secs(600)));
    cell.add_instance(1_000).await;
    cell.wait_until_ready().await;
    tokio::time::sleep(HEARTBEATS).await;
    cell
}

/// The other advisor alone gives enough tickets within 2.4 s, which are valid for 2 s.
#[tokio::test]
async fn a_gang_starts_beside_an_advisor_that_answers_nothing() {
    let cell = cell_with_mute_advisor().await;
    let mut route = advised_route();
    route.policy.advice = Some(AdviceCost {
        fixed_ms: 500.0,
        per_worker_ms: 60.0,
        valid: Duration::from_secs(2),
    });
    let accepted_at = Instant::now();
    cell.submit_job(0, "gang", &wide_gang(), &route).await;

    wait_for("the gang has not begun", || {
        cell.workers.records().len() == GANG_TASKS as usize
    })
    .await;

    let took = accepted_at.elapsed();
    assert!(took < STANDSTILL_MAX, "{took:?}");
}
