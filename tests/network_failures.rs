//! The network to an instance, a minion or a worker is frozen or cut under load.

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

/// How long a load runs before and after a failure.
const PHASE: Duration = Duration::from_secs(2);
/// How long the network to an instance or minion fails: longer than the owner lease, the takeover
/// time and the life of a grant.
const FAILURE: Duration = Duration::from_secs(6);
/// How long the network to a worker fails: longer than a task lease.
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

/// Returns faults that deliver requests and hold back all responses.
fn responses_withheld() -> ProxyFaults {
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

/// Returns the requests that were due after `since`, counted from the start of the load, and were
/// not answered correctly.
fn unanswered_since(finished: &[Finished], since: Duration) -> Vec<String> {
    finished
        .iter()
        .filter(|request| request.intended >= since && !request.outcome.is_answered())
        .map(ToString::to_string)
        .collect()
}

/// Checks that `faults` on the connections to the peer listener of one instance under load lead to
/// no wrong or repeated execution, and that every request is answered once they are over.
async fn requests_survive_peer_faults(faults: ProxyFaults) {
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

    let unanswered = unanswered_since(&finished, recovered);
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(unanswered, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_stay_correct_while_a_peer_listener_is_frozen() {
    requests_survive_peer_faults(ProxyFaults::frozen()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_stay_correct_while_a_peer_listener_withholds_responses() {
    requests_survive_peer_faults(responses_withheld()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_stay_correct_while_a_peer_listener_refuses_connections() {
    requests_survive_peer_faults(ProxyFaults::refusing()).await;
}

/// Guards against slots that are reused while their requests still run: the responses are held back
/// for longer than the life of a grant.
#[tokio::test(flavor = "multi_thread")]
async fn a_minion_that_withholds_responses_gets_no_more_requests_than_slots() {
    let cell = cell().await;
    let load_started = Instant::now();
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;

    let proxy = &cell.minions[0].proxy;
    proxy.set_faults(responses_withheld()).await.unwrap();
    tokio::time::sleep(FAILURE).await;
    proxy.set_faults(ProxyFaults::default()).await.unwrap();
    tokio::time::sleep(2 * PHASE).await;
    let recovered = load_started.elapsed();
    tokio::time::sleep(PHASE).await;
    let finished = load.stop().await;

    let unanswered = unanswered_since(&finished, recovered);
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(unanswered, Vec::<String>::new());
}

/// Checks that tasks whose worker is cut off by `faults` for longer than their leases run
/// elsewhere, and never in two places at a time.
async fn tasks_survive_worker_faults(faults: ProxyFaults) {
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

    wait_until_all_tasks_run(&cell).await;
    wait_until_running(&cell, &job).await;
    assert!(
        lapsed_tasks(&cell).await > 0,
        "the failure must outlast the task leases"
    );
    assert_eq!(cell.violations().await.unwrap(), []);
}

/// Returns how many runs ended because their lease lapsed.
async fn lapsed_tasks(cell: &Cell) -> usize {
    let records = cell.worker_records().await.unwrap();
    let runs = records.iter().flat_map(|record| &record.runs);
    runs.filter(|run| matches!(run.ended, Some((_, TaskEnd::LeaseLapsed))))
        .count()
}

/// Returns the index of the worker that ran the most tasks.
async fn busiest_worker(cell: &Cell) -> usize {
    let records = cell.worker_records().await.unwrap();
    let busiest = (0..records.len()).max_by_key(|index| records[*index].runs.len());
    busiest.expect("the options ask for four workers")
}

/// Waits until as many tasks run as the service has.
async fn wait_until_all_tasks_run(cell: &Cell) {
    wait_until("all tasks running again", || async {
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
    tasks_survive_worker_faults(ProxyFaults::frozen()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_tasks_of_a_worker_that_withholds_responses_run_in_one_place_at_a_time() {
    tasks_survive_worker_faults(responses_withheld()).await;
}
