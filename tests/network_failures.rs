//! Networks between instances, minions and workers are frozen or cut, under load.

use std::time::{Duration, Instant};

use jackdawchute_jobs::JobStatus;
use jackdawchute_ports::TaskEnd;
use jackdawchute_standins::{
    caller::Caller,
    harness::{wait_until, Cell, CellOptions, WorkerPlan},
    load::{ClassPlan, Finished, Plan},
    proxy::{DirectionFaults, ProxyFaults},
};
use jackdawchute_types::{JobKind, JobSpec, JobState, Resources};

/// How long a load goes on before and after a failure.
const PHASE: Duration = Duration::from_secs(2);
/// How long a network is down: longer than lease, takeover and the life of a grant.
const FAILURE: Duration = Duration::from_secs(6);
/// How long a network to a worker is down: longer than the lease of a task.
const WORKER_FAILURE: Duration = Duration::from_secs(9);

fn options() -> CellOptions {
    CellOptions {
        entries: 3,
        workers: WorkerPlan {
            workers: 4,
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
        seed: 8,
        duration: Duration::from_secs(60),
        count_max: 100_000,
        classes: vec![
            ClassPlan::new("order", 20.0, "POST", "/repair-desk/orders?service_ms=50").keyed(),
            ClassPlan::new("quote", 40.0, "GET", "/repair-desk/quotes?service_ms=50"),
        ],
    }
}

fn answers_held() -> ProxyFaults {
    ProxyFaults {
        to_client: DirectionFaults {
            hold: true,
            ..DirectionFaults::default()
        },
        ..ProxyFaults::default()
    }
}

fn service() -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        class: "service".into(),
        team: "micdejun".into(),
        tasks: 8,
        resources: Resources::new(1_000, 1_024, 0),
        run_time: Default::default(),
        deadline: Default::default(),
        idempotency_key: None,
        command: "forever".into(),
    }
}

async fn wait_until_running(cell: &Cell, job: &JobStatus) {
    let caller = Caller::new().unwrap();
    let address = cell.entries[0].process.callers;
    wait_until("running job", || async {
        let status = caller.job(address, &job.id).await.ok()?;
        (status.state == JobState::Running).then_some(())
    })
    .await
    .unwrap();
}

/// What was to be sent after `since` and got no answer of its own.
fn unanswered_since(finished: &[Finished], since: Duration) -> Vec<String> {
    finished
        .iter()
        .filter(|it| it.intended >= since && !it.outcome.is_answered())
        .map(ToString::to_string)
        .collect()
}

/// Puts `faults` on the way to the peers of the first instance for a while, under load.
async fn instance_fails(faults: ProxyFaults) {
    let cell = cell().await;
    let load_started = Instant::now();
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;

    let proxy = &cell.entries[0].peer_proxy;
    proxy.set_faults(faults).await.unwrap();
    tokio::time::sleep(FAILURE).await;
    proxy.set_faults(ProxyFaults::default()).await.unwrap();
    tokio::time::sleep(2 * PHASE).await;
    let recovered = load_started.elapsed();
    tokio::time::sleep(PHASE).await;
    let finished = load.stop().await;

    let late = unanswered_since(&finished, recovered);
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(late, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_whose_peers_are_frozen_does_no_harm() {
    instance_fails(ProxyFaults::frozen()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_whose_answers_to_peers_are_held_does_no_harm() {
    instance_fails(answers_held()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_refuses_its_peers_does_no_harm() {
    instance_fails(ProxyFaults::refusing()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_minion_gets_no_more_than_its_slots() {
    let cell = cell().await;
    let load_started = Instant::now();
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;

    let proxy = &cell.minions[0].proxy;
    proxy.set_faults(answers_held()).await.unwrap();
    tokio::time::sleep(FAILURE).await;
    proxy.set_faults(ProxyFaults::default()).await.unwrap();
    tokio::time::sleep(2 * PHASE).await;
    let recovered = load_started.elapsed();
    tokio::time::sleep(PHASE).await;
    let finished = load.stop().await;

    let late = unanswered_since(&finished, recovered);
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(late, Vec::<String>::new());
}

/// Puts `faults` on the way to one worker for longer than its tasks' leases.
async fn worker_fails(faults: ProxyFaults) {
    let cell = cell().await;
    let caller = Caller::new().unwrap();
    let address = cell.entries[0].process.callers;
    let job = caller.submit(address, &service()).await.unwrap();
    wait_until_running(&cell, &job).await;
    let worker = busiest_worker(&cell).await;

    let proxy = &cell.workers[worker].proxy;
    proxy.set_faults(faults).await.unwrap();
    tokio::time::sleep(WORKER_FAILURE).await;
    proxy.set_faults(ProxyFaults::default()).await.unwrap();

    wait_until_all_run(&cell).await;
    wait_until_running(&cell, &job).await;
    assert!(
        lapsed_tasks(&cell).await > 0,
        "the failure outlasts the leases"
    );
    assert_eq!(cell.violations().await.unwrap(), []);
}

async fn lapsed_tasks(cell: &Cell) -> usize {
    let records = cell.worker_records().await.unwrap();
    let runs = records.iter().flat_map(|record| &record.runs);
    runs.filter(|run| matches!(run.ended, Some((_, TaskEnd::LeaseLapsed))))
        .count()
}

async fn busiest_worker(cell: &Cell) -> usize {
    let records = cell.worker_records().await.unwrap();
    let busiest = (0..records.len()).max_by_key(|index| records[*index].runs.len());
    busiest.expect("the cell has workers")
}

/// Waits until each task of the service runs in some place.
async fn wait_until_all_run(cell: &Cell) {
    wait_until("tasks that run again", || async {
        let records = cell.worker_records().await.ok()?;
        let runs = records.iter().flat_map(|record| &record.runs);
        let running = runs.filter(|run| run.ended.is_none()).count();
        (running == service().tasks as usize).then_some(())
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_tasks_of_a_frozen_worker_run_in_one_place_at_a_time() {
    worker_fails(ProxyFaults::frozen()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_tasks_of_a_worker_whose_answers_are_held_run_in_one_place_at_a_time() {
    worker_fails(answers_held()).await;
}
