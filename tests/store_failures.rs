//! The table fails for all instances or for one, is slow, or loses responses after a write took
//! effect.

use std::time::{Duration, Instant, SystemTime};

use jackdawchute_ports::TaskEnd;
use jackdawchute_standins::{
    caller::Caller,
    harness::{wait_until, Cell, CellOptions, WorkerPlan},
    load::{ClassPlan, Finished, Plan},
    table::{Availability, TableFaults},
};
use jackdawchute_types::{JobKind, JobSpec, JobState, Resources};

/// How long a load runs before a failure.
const PHASE: Duration = Duration::from_secs(2);
/// How long the table is down: longer than the owner lease, the takeover time, a task lease and the
/// time for which a configuration needs no confirmation.
const OUTAGE: Duration = Duration::from_secs(9);
/// The deadline of orders.
const ORDER_DEADLINE: Duration = Duration::from_secs(3);
/// How long after the start of the outage an order may start whose intent was journaled before.
const IN_FLIGHT_TIME: Duration = Duration::from_secs(1);
/// The maximum number of orders whose intent was being journaled when the outage began; their
/// outcome is unknown.
const IN_FLIGHT_MAX: usize = 8;

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
    let mut orders =
        ClassPlan::new("order", 20.0, "POST", "/repair-desk/orders?service_ms=50").keyed();
    orders.deadline = Some(ORDER_DEADLINE);
    let quotes = ClassPlan::new("quote", 40.0, "GET", "/repair-desk/quotes?service_ms=50");
    Plan {
        seed: 5,
        duration: Duration::from_secs(60),
        count_max: 100_000,
        classes: vec![orders, quotes],
    }
}

fn down(availability: Availability) -> TableFaults {
    TableFaults {
        availability,
        ..TableFaults::default()
    }
}

fn job(kind: JobKind, class: &str, command: &str) -> JobSpec {
    JobSpec {
        kind,
        class: class.into(),
        team: "micdejun".into(),
        tasks: 4,
        resources: Resources::new(500, 1_024, 0),
        run_time: Default::default(),
        deadline: Default::default(),
        idempotency_key: None,
        command: command.into(),
    }
}

async fn wait_until_running(cell: &Cell, job: &JobSpec) {
    let caller = Caller::new().unwrap();
    let address = cell.entries[0].process.callers;
    let submitted = caller.submit(address, job).await.unwrap();
    wait_until("running job", || async {
        let status = caller.job(address, &submitted.id).await.ok()?;
        (status.state == JobState::Running).then_some(())
    })
    .await
    .unwrap();
}

/// Returns the requests of a class that were due in a period, counted from the start of the load,
/// and were not answered correctly.
fn unanswered<'a>(
    finished: &'a [Finished],
    class: &str,
    from: Duration,
    to: Duration,
) -> Vec<&'a Finished> {
    let within = |request: &&Finished| {
        request.intended >= from && request.intended < to && request.class == class
    };
    let matching = finished.iter().filter(within);
    matching
        .filter(|request| !request.outcome.is_answered())
        .collect()
}

fn texts(finished: &[&Finished]) -> Vec<String> {
    finished.iter().map(ToString::to_string).collect()
}

/// The times of an outage of the table for all instances, and the requests before, during and after
/// it.
struct Outage {
    finished: Vec<Finished>,
    /// When the outage began; counted from the start of the load, like `ended` and `recovered`.
    began: Duration,
    ended: Duration,
    /// When all requests must be answered again.
    recovered: Duration,
    /// When the outage began; on the clock of the minions' records, like `down_to`.
    down_from: SystemTime,
    down_to: SystemTime,
}

async fn outage(cell: &Cell, availability: Availability) -> Outage {
    let load_started = Instant::now();
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;
    let began = load_started.elapsed();
    let down = down(availability);
    cell.table.set_faults(None, down).await.unwrap();
    let down_from = SystemTime::now();
    tokio::time::sleep(OUTAGE).await;
    let down_to = SystemTime::now();
    let up = TableFaults::default();
    cell.table.set_faults(None, up).await.unwrap();
    let ended = load_started.elapsed();
    tokio::time::sleep(2 * PHASE).await;
    let recovered = load_started.elapsed();
    tokio::time::sleep(PHASE).await;
    Outage {
        finished: load.stop().await,
        began,
        ended,
        recovered,
        down_from,
        down_to,
    }
}

/// Returns how many orders the minions started between two instants.
async fn orders_started(cell: &Cell, from: SystemTime, to: SystemTime) -> usize {
    let records = cell.minion_records().await.unwrap();
    let runs = records.iter().flat_map(|record| &record.runs);
    runs.filter(|run| run.key.is_some() && run.started > from && run.started < to)
        .count()
}

/// Returns how many runs ended because their lease lapsed.
async fn lapsed_tasks(cell: &Cell) -> usize {
    let records = cell.worker_records().await.unwrap();
    let runs = records.iter().flat_map(|record| &record.runs);
    runs.filter(|run| matches!(run.ended, Some((_, TaskEnd::LeaseLapsed))))
        .count()
}

/// Checks that in an outage of the table idempotent requests are answered and running tasks keep
/// running, while no order starts whose intent cannot be journaled.
async fn idempotent_work_goes_on_in_an_outage(availability: Availability) {
    let cell = cell().await;
    wait_until_running(&cell, &job(JobKind::Service, "service", "forever")).await;

    let outage = outage(&cell, availability).await;

    let finished = &outage.finished;
    let quotes = unanswered(finished, "quote", Duration::ZERO, Duration::MAX);
    let within = (outage.began, outage.ended - ORDER_DEADLINE);
    let orders = unanswered(finished, "order", within.0, within.1);
    let maybe_run: Vec<_> = orders
        .iter()
        .filter(|request| !request.outcome.is_not_run())
        .collect();
    let orders_after_recovery = unanswered(finished, "order", outage.recovered, Duration::MAX);
    let in_flight_until = outage.down_from + IN_FLIGHT_TIME;
    let started = orders_started(&cell, in_flight_until, outage.down_to).await;
    assert_eq!(
        cell.discrepancies(finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(
        texts(&quotes),
        Vec::<String>::new(),
        "idempotent requests must be answered"
    );
    assert_eq!(started, 0, "no order may start without a journaled intent");
    assert!(!orders.is_empty());
    assert!(
        maybe_run.len() <= IN_FLIGHT_MAX,
        "orders that may have run: {maybe_run:?}"
    );
    assert_eq!(
        texts(&orders_after_recovery),
        Vec::<String>::new(),
        "orders must be answered after the outage"
    );
    assert_eq!(
        lapsed_tasks(&cell).await,
        0,
        "running tasks must keep their leases"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_table_refuses_idempotent_requests_and_tasks_go_on() {
    idempotent_work_goes_on_in_an_outage(Availability::Refusing).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_table_is_silent_idempotent_requests_and_tasks_go_on() {
    idempotent_work_goes_on_in_an_outage(Availability::Silent).await;
}

/// Guards against task starts without a journaled intent, and against a second job when the same
/// submission is repeated after the outage.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_start_only_after_the_table_recovers_and_run_once() {
    let cell = cell().await;
    let caller = Caller::new().unwrap();
    let address = cell.entries[0].process.callers;
    let spec = JobSpec {
        deadline: Duration::from_secs(40),
        idempotency_key: Some("night-batch".into()),
        ..job(JobKind::Batch, "batch", "run_ms=200")
    };
    let refusing = down(Availability::Refusing);
    cell.table.set_faults(None, refusing).await.unwrap();

    let submission = tokio::spawn({
        let (caller, spec) = (caller.clone(), spec.clone());
        async move { caller.submit(address, &spec).await }
    });
    tokio::time::sleep(PHASE).await;
    let runs_in_outage: usize = cell
        .worker_records()
        .await
        .unwrap()
        .iter()
        .map(|record| record.runs.len())
        .sum();
    cell.table
        .set_faults(None, TableFaults::default())
        .await
        .unwrap();
    let submission = submission.await.unwrap();

    wait_until("succeeded job", || async {
        let job = caller.submit(address, &spec).await.ok()?;
        (job.state == JobState::Succeeded).then_some(())
    })
    .await
    .unwrap();
    let runs_in_total: usize = cell
        .worker_records()
        .await
        .unwrap()
        .iter()
        .map(|record| record.runs.len())
        .sum();
    assert!(submission.is_ok() || submission.unwrap_err().is_not_run());
    assert_eq!(
        runs_in_outage, 0,
        "no task may start without a journaled intent"
    );
    assert_eq!(runs_in_total, 4, "each task must run once");
    assert_eq!(cell.violations().await.unwrap(), []);
}

/// Guards against work that runs twice because a commit took effect and only its response was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_commit_responses_cause_no_duplicate_execution() {
    let cell = cell().await;
    let load_started = Instant::now();
    let load = cell.start_load(&plan()).unwrap();

    for _ in 0..3 {
        tokio::time::sleep(PHASE).await;
        let lossy = TableFaults {
            lose_commit_answers: 2,
            ..TableFaults::default()
        };
        cell.table.set_faults(None, lossy).await.unwrap();
    }
    tokio::time::sleep(3 * PHASE).await;
    let recovered = load_started.elapsed();
    tokio::time::sleep(PHASE).await;
    let finished = load.stop().await;

    let counts = cell.table.counts().await.unwrap();
    let lost: u64 = counts.values().map(|count| count.lost_answers).sum();
    let orders_after_recovery = unanswered(&finished, "order", recovered, Duration::MAX);
    println!("responses lost after their commit: {lost}");
    assert!(lost >= 6, "{counts:?}");
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(texts(&orders_after_recovery), Vec::<String>::new());
}

/// Guards against an instance that does not reach the table and acts on outdated ownership.
#[tokio::test(flavor = "multi_thread")]
async fn requests_stay_correct_while_one_instance_is_cut_off_from_the_table() {
    let cell = cell().await;
    let load_started = Instant::now();
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;

    let silent = down(Availability::Silent);
    let cut = Some("entry-0".into());
    cell.table.set_faults(cut.clone(), silent).await.unwrap();
    tokio::time::sleep(OUTAGE).await;
    cell.table
        .set_faults(cut, TableFaults::default())
        .await
        .unwrap();
    tokio::time::sleep(2 * PHASE).await;
    let recovered = load_started.elapsed();
    tokio::time::sleep(PHASE).await;
    let finished = load.stop().await;

    let orders_after_recovery = unanswered(&finished, "order", recovered, Duration::MAX);
    let quotes_after_recovery = unanswered(&finished, "quote", recovered, Duration::MAX);
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(texts(&orders_after_recovery), Vec::<String>::new());
    assert_eq!(texts(&quotes_after_recovery), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_table_fails_no_request() {
    let cell = cell().await;
    let load = cell.start_load(&plan()).unwrap();
    tokio::time::sleep(PHASE).await;

    let slow = TableFaults {
        delay: Duration::from_millis(250),
        ..TableFaults::default()
    };
    cell.table.set_faults(None, slow).await.unwrap();
    tokio::time::sleep(2 * PHASE).await;
    cell.table
        .set_faults(None, TableFaults::default())
        .await
        .unwrap();
    let finished = load.stop().await;

    let failed: Vec<_> = finished
        .iter()
        .filter(|request| !request.outcome.is_answered())
        .collect();
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(texts(&failed), Vec::<String>::new());
}
