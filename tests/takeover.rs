//! An instance is killed or paused under load, and others take its groups over.

use std::time::{Duration, Instant};

use jackdawchute_jobs::JobStatus;
use jackdawchute_standins::{
    caller::Caller,
    harness::{wait_until, Cell, CellOptions, Signal, WorkerPlan},
    load::{ClassPlan, Finished, Plan},
    proxy::ProxyFaults,
};
use jackdawchute_types::{GroupId, IncarnationId, JobKind, JobSpec, JobState, Resources};

/// How long a load runs before and after the failure.
const PHASE: Duration = Duration::from_secs(2);
/// The maximum time of a takeover: twice the takeover time of the cells.
const TAKEOVER_TIME_MAX: Duration = Duration::from_secs(5);
/// Longer than the task lease of the cells and its clock margin, 8 s together.
const TASK_LEASE_LAPSED: Duration = Duration::from_secs(12);

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

/// Returns the instance that owns the most racks, and its incarnation; never the one that the callers
/// use.
async fn rack_owner(cell: &Cell) -> (usize, IncarnationId) {
    let mut owners = Vec::new();
    for index in [0, 2] {
        let status = cell.entries[index].status().await.unwrap();
        let is_own_rack = |(group, owner): &(&GroupId, &IncarnationId)| {
            group.starts_with("rack/") && **owner == status.incarnation
        };
        let racks = status.owners.iter().filter(is_own_rack).count();
        owners.push((racks, index, status.incarnation));
    }
    let (_, index, incarnation) = owners.into_iter().max().unwrap();
    (index, incarnation)
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

/// Returns the requests of a class that were due after `since`, counted from the start of the load,
/// and were not answered correctly.
fn unanswered_since(finished: &[Finished], class: &str, since: Duration) -> Vec<String> {
    let of_class = finished
        .iter()
        .filter(|request| request.intended >= since && request.class == class);
    of_class
        .filter(|request| !request.outcome.is_answered())
        .map(ToString::to_string)
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_groups_of_an_instance_killed_under_load_are_taken_over() {
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
    let recovered = load_started.elapsed() + Duration::from_millis(500);
    tokio::time::sleep(2 * PHASE).await;
    let finished = load.stop().await;

    println!("takeover after a kill: {} ms", takeover.as_millis());
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert!(takeover < TAKEOVER_TIME_MAX, "{takeover:?}");
    let unanswered_orders = unanswered_since(&finished, "order", recovered);
    let unanswered_quotes = unanswered_since(&finished, "quote", recovered);
    assert_eq!(unanswered_orders, Vec::<String>::new());
    assert_eq!(unanswered_quotes, Vec::<String>::new());
}

/// Guards against a second execution when a caller repeats an order whose response was lost with
/// the killed instance.
#[tokio::test(flavor = "multi_thread")]
async fn orders_repeated_after_a_lost_response_run_at_most_once() {
    let mut cell = cell().await;
    let dead = cell.entries[0].status().await.unwrap().incarnation;
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;
    cell.entries[0].kill().await.unwrap();
    cell.wait_until_succeeded(1, &dead).await.unwrap();
    let finished = load.stop().await;
    let caller = Caller::new().unwrap();
    let address = cell.entries[1].process.callers;

    for order in finished.iter().filter(|request| request.call.key.is_some()) {
        if !order.outcome.is_answered() {
            caller.call(address, &order.call).await;
        }
    }

    assert_eq!(cell.discrepancies(&[]).await.unwrap(), Vec::<String>::new());
}

/// Guards against a paused instance that acts as owner when it resumes, although successors have
/// fenced it. Such an instance must exit.
#[tokio::test(flavor = "multi_thread")]
async fn requests_stay_correct_when_an_instance_resumes_after_its_takeover() {
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

/// Guards against a paused rack owner that counts tasks as lost when it resumes, since it heard
/// nothing from their workers, although its successor has renewed the leases.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_run_in_one_place_when_a_rack_owner_resumes_after_their_leases() {
    let mut cell = cell().await;
    let service = submit(&cell, &job(JobKind::Service, "service", 12, "forever")).await;
    wait_for_state(&cell, &service, JobState::Running).await;
    let (index, paused) = rack_owner(&cell).await;

    let process = &mut cell.entries[index].process;
    process.signal(Signal::Stop).await.unwrap();
    cell.wait_until_succeeded(1, &paused).await.unwrap();
    tokio::time::sleep(TASK_LEASE_LAPSED).await;
    let process = &mut cell.entries[index].process;
    process.signal(Signal::Continue).await.unwrap();
    process.wait().await.unwrap();
    tokio::time::sleep(PHASE).await;

    assert_eq!(cell.discrepancies(&[]).await.unwrap(), Vec::<String>::new());
    wait_for_state(&cell, &service, JobState::Running).await;
}

/// Guards against lost requests when an instance stops for less than its owner lease.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_pause_fails_no_request() {
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
async fn jobs_succeed_after_an_instance_is_killed() {
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

/// The successor of a killed home owner finds tasks that run on racks whose owner it does not reach.
#[tokio::test(flavor = "multi_thread")]
async fn running_tasks_stay_in_one_place_when_their_new_home_owner_does_not_reach_a_rack_owner() {
    let mut cell = cell().await;
    let (unreachable, _) = rack_owner(&cell).await;
    let killed = 2 - unreachable;
    let dead = cell.entries[killed].status().await.unwrap().incarnation;
    let mut jobs = Vec::new();
    for _ in 0..30 {
        jobs.push(submit(&cell, &job(JobKind::Batch, "batch", 1, "run_ms=15000")).await);
    }
    for job in &jobs {
        wait_for_state(&cell, job, JobState::Running).await;
    }

    let peers = &cell.entries[unreachable].peer_proxy;
    peers.set_faults(ProxyFaults::refusing()).await.unwrap();
    cell.entries[killed].kill().await.unwrap();
    cell.wait_until_succeeded(1, &dead).await.unwrap();
    tokio::time::sleep(PHASE).await;
    let peers = &cell.entries[unreachable].peer_proxy;
    peers.set_faults(ProxyFaults::default()).await.unwrap();

    for job in &jobs {
        wait_for_state(&cell, job, JobState::Succeeded).await;
    }
    assert_eq!(cell.violations().await.unwrap(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_are_answered_after_two_of_three_instances_are_killed() {
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
    let recovered = load_started.elapsed() + Duration::from_millis(500);
    tokio::time::sleep(2 * PHASE).await;
    let finished = load.stop().await;

    let unanswered_orders = unanswered_since(&finished, "order", recovered);
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(unanswered_orders, Vec::<String>::new());
}
