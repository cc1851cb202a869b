//! Arrival times, outcomes and latencies of the open-loop load.

use std::time::Duration;

use jackdawchute_standins::{
    balancer::{self, Pick, Target},
    caller::{Call, Caller, Outcome},
    harness::wait_until,
    load::{start, summarize, Arrivals, ClassPlan, Finished, Plan},
};
use jackdawchute_trial::{spawn_minion, Listening, MinionOptions, RunningMinion};
use warp::Filter;

async fn minion() -> RunningMinion {
    spawn_minion(MinionOptions::new("m1", 8)).await.unwrap()
}

/// Returns the minion as a balancer's target: it answers callers' requests and readiness checks.
fn target(minion: &RunningMinion) -> Target {
    Target {
        callers: minion.address,
        operators: minion.address,
    }
}

fn plan(duration_ms: u64, class: ClassPlan) -> Plan {
    Plan {
        seed: 7,
        duration: Duration::from_millis(duration_ms),
        count_max: 1_000,
        classes: vec![class],
    }
}

async fn run(plan: &Plan, minion: &RunningMinion) -> Vec<Finished> {
    let balancer = balancer::spawn(vec![target(minion)]);
    wait_until("ready minion", || async {
        balancer.send(Pick).await.unwrap()
    })
    .await
    .unwrap();
    start(plan, Caller::new().unwrap(), balancer).finish().await
}

#[test]
fn the_same_seed_gives_the_same_arrivals() {
    let first: Vec<_> = Arrivals::new(7, 100.0).take(100).collect();

    let second: Vec<_> = Arrivals::new(7, 100.0).take(100).collect();

    assert_eq!(first, second);
    assert!(first.windows(2).all(|pair| pair[0] <= pair[1]));
}

#[tokio::test]
async fn every_request_is_answered_and_counted() {
    let minion = minion().await;
    let class = ClassPlan::new("quote", 200.0, "GET", "/quotes?bytes=1000").keyed();

    let finished = run(&plan(500, class), &minion).await;

    let summary = &summarize(&finished)[0];
    assert!(finished.len() > 50);
    assert_eq!(summary.outcomes["answered"], finished.len());
    let longest = finished.iter().map(|it| it.latency).max().unwrap();
    assert!(summary.max_us >= longest.as_micros() as u64);
    assert!(summary.p50_us <= summary.p99_us && summary.p99_us <= summary.max_us);
    assert_eq!(
        minion.record().await.unwrap().runs_per_key().len(),
        finished.len()
    );
}

#[tokio::test]
async fn latency_is_measured_from_the_intended_send_time() {
    let minion = minion().await;
    let class = ClassPlan::new("slow", 100.0, "GET", "/quotes?service_ms=300");

    let finished = run(&plan(200, class), &minion).await;

    let least = finished.iter().map(|it| it.latency).min().unwrap();
    let max_concurrent = minion.record().await.unwrap().max_concurrent;
    assert!(least >= Duration::from_millis(300));
    assert!(max_concurrent > 8, "an open loop does not wait for answers");
}

#[tokio::test]
async fn an_answer_that_does_not_belong_to_its_request_is_wrong() {
    let minion = minion().await;
    let fixed = warp::post().map(|| "{}\nx");
    let wrong = Listening::bind(([127, 0, 0, 1], 0).into(), fixed)
        .await
        .unwrap();
    let caller = Caller::new().unwrap();
    let call = Call::post("/orders", "t1");

    let own = caller.call(minion.address, &call).await;
    let other = caller.call(wrong.address(), &call).await;

    assert!(own.is_answered());
    assert!(matches!(other, Outcome::Wrong(_)));
}
