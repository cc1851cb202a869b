//! An instance dies or is paused under load, and others take its groups over.

use std::time::{Duration, Instant};

use jackdawchute_jobs::JobStatus;
use jackdawchute_standins::{
    caller::Caller,
    harness::{wait_until, Cell, CellOptions, Signal, WorkerPlan},
    load::{ClassPlan, Finished, Plan},
};
use jackdawchute_types::{JobKind, JobSpec, JobState, Resources};

/// How long a load goes on before and after the failure.
const PHASE: Duration = Duration::from_secs(2);
/// How long a takeover may take: the takeover time of the cells, and as much again.
const TAKEOVER_BOUND: Duration = Duration::from_secs(5);

fn options() -> CellOptions {
    CellOptions {
        entries: 3,
        workers: WorkerPlan {
            workers: 6,
            workers_per_rack: 2,
            resources: Resources::new(4_000, 16_384, 0),
        },
        ..CellOptions::new(env!("CARGO_BIN_EXE_jackdawchute"))
    }
}

async fn cell() -> Cell {
    Cell::start(options()).await.unwrap()
}

fn plan() -> Plan {
    Plan {
        seed: 4,
        duration: Duration::from_secs(60),
        count_max: 100_000,
        classes: vec![
            ClassPlan::new("order", 40.0, "POST", "/repair-desk/orders?service_ms=50").keyed(),
            ClassPlan::new("quote", 60.0, "GET", "/repair-desk/quotes?service_ms=50"),
        ],
    }
}

fn job(kind: JobKind, class: &str, tasks: u32, command: &str) -> JobSpec {
    JobSpec {
        kind,
        class: class.into(),
        team: "micdejun".into(),
        tasks,
        resources: Resources::new(500, 1_024, 0),
        run_time: Default::default(),
        deadline: Default::default(),
        idempotency_key: None,
        command: command.into(),
    }
}

async fn submit(cell: &Cell, job: &JobSpec) -> JobStatus {
    let caller = Caller::new().unwrap();
    let address = cell.entries[1].process.callers;
    caller.submit(address, job).await.unwrap()
}

async fn wait_for_state(cell: &Cell, job: &JobStatus, state: JobState) {
    let caller = Caller::new().unwrap();
    let address = cell.entries[1].process.callers;
    wait_until("state of a job", || async {
        let status = caller.job(address, &job.id).await.ok()?;
        (status.state == state).then_some(())
    })
    .await
    .unwrap();
}

/// Requests of a class that were to be sent after `since` and got no answer of their own.
fn unanswered_since(finished: &[Finished], class: &str, since: Duration) -> Vec<String> {
    let late = finished
        .iter()
        .filter(|it| it.intended >= since && it.class == class);
    late.filter(|it| !it.outcome.is_answered())
        .map(ToString::to_string)
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_is_killed_under_load_is_succeeded() {
    let mut cell = cell().await;
    let dead = cell.entries[0].status().await.unwrap().incarnation;
    let load_started = Instant::now();
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;

    let killed = Instant::now();
    cell.entries[0].kill().await.unwrap();
    cell.wait_until_succeeded(1, &dead).await.unwrap();
    cell.wait_until_succeeded(2, &dead).await.unwrap();
    let takeover = killed.elapsed();
    let settled = load_started.elapsed() + Duration::from_millis(500);
    tokio::time::sleep(2 * PHASE).await;
    let finished = load.stop().await;

    println!("takeover after a kill: {} ms", takeover.as_millis());
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert!(takeover < TAKEOVER_BOUND, "{takeover:?}");
    let late_orders = unanswered_since(&finished, "order", settled);
    let late_quotes = unanswered_since(&finished, "quote", settled);
    assert_eq!(late_orders, Vec::<String>::new());
    assert_eq!(late_quotes, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_whose_answer_was_lost_learns_the_fate_of_its_order() {
    let mut cell = cell().await;
    let dead = cell.entries[0].status().await.unwrap().incarnation;
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;
    cell.entries[0].kill().await.unwrap();
    cell.wait_until_succeeded(1, &dead).await.unwrap();
    let finished = load.stop().await;
    let caller = Caller::new().unwrap();
    let address = cell.entries[1].process.callers;

    for order in finished.iter().filter(|it| it.call.key.is_some()) {
        if !order.outcome.is_answered() {
            caller.call(address, &order.call).await;
        }
    }

    assert_eq!(cell.discrepancies(&[]).await.unwrap(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_was_paused_past_the_takeover_does_no_harm() {
    let mut cell = cell().await;
    let paused = cell.entries[0].status().await.unwrap().incarnation;
    let service = submit(&cell, &job(JobKind::Service, "service", 12, "forever")).await;
    wait_for_state(&cell, &service, JobState::Running).await;
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;

    cell.entries[0].process.signal(Signal::Stop).await.unwrap();
    cell.wait_until_succeeded(1, &paused).await.unwrap();
    tokio::time::sleep(PHASE).await;
    cell.entries[0]
        .process
        .signal(Signal::Continue)
        .await
        .unwrap();
    cell.entries[0].process.wait().await.unwrap();
    tokio::time::sleep(PHASE).await;
    let finished = load.stop().await;

    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    wait_for_state(&cell, &service, JobState::Running).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_pause_costs_no_request() {
    let mut cell = cell().await;
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;

    cell.entries[0].process.signal(Signal::Stop).await.unwrap();
    tokio::time::sleep(Duration::from_millis(700)).await;
    cell.entries[0]
        .process
        .signal(Signal::Continue)
        .await
        .unwrap();
    tokio::time::sleep(PHASE).await;
    let finished = load.stop().await;

    let orders = unanswered_since(&finished, "order", Duration::ZERO);
    let quotes = unanswered_since(&finished, "quote", Duration::ZERO);
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(orders, Vec::<String>::new());
    assert_eq!(quotes, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_come_to_their_end_although_an_instance_is_killed() {
    let mut cell = cell().await;
    let dead = cell.entries[0].status().await.unwrap().incarnation;
    let mut jobs = Vec::new();
    for _ in 0..10 {
        jobs.push(submit(&cell, &job(JobKind::Batch, "batch", 6, "run_ms=1500")).await);
    }

    cell.entries[0].kill().await.unwrap();
    cell.wait_until_succeeded(1, &dead).await.unwrap();

    for job in &jobs {
        wait_for_state(&cell, job, JobState::Succeeded).await;
    }
    assert_eq!(cell.violations().await.unwrap(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_of_three_instances_are_killed_at_once() {
    let mut cell = cell().await;
    let first = cell.entries[0].status().await.unwrap().incarnation;
    let second = cell.entries[2].status().await.unwrap().incarnation;
    let load_started = Instant::now();
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;

    cell.entries[0].kill().await.unwrap();
    cell.entries[2].kill().await.unwrap();
    cell.wait_until_succeeded(1, &first).await.unwrap();
    cell.wait_until_succeeded(1, &second).await.unwrap();
    let settled = load_started.elapsed() + Duration::from_millis(500);
    tokio::time::sleep(2 * PHASE).await;
    let finished = load.stop().await;

    let late_orders = unanswered_since(&finished, "order", settled);
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(late_orders, Vec::<String>::new());
}
