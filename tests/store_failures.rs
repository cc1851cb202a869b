//! The table is down for all or for one, or loses answers after the write took effect.

use std::time::{Duration, Instant, SystemTime};

use jackdawchute_ports::TaskEnd;
use jackdawchute_standins::{
    caller::Caller,
    harness::{wait_until, Cell, CellOptions, WorkerPlan},
    load::{ClassPlan, Finished, Plan},
    table::{Availability, TableFaults},
};
use jackdawchute_types::{JobKind, JobSpec, JobState, Resources};

/// How long a load goes on before a failure.
const PHASE: Duration = Duration::from_secs(2);
/// How long the table is down: longer than lease, takeover, task lease and confirmation.
const OUTAGE: Duration = Duration::from_secs(9);
/// How long orders wait.
const ORDER_DEADLINE: Duration = Duration::from_secs(3);
/// How long after the outage began an order may start whose intent was journaled before.
const IN_FLIGHT_TIME: Duration = Duration::from_secs(1);
/// The most orders whose intent was under way when the outage began; their outcome is unknown.
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

/// Requests of a class that were to be sent between two instants and got no answer of their own.
fn unanswered<'a>(
    finished: &'a [Finished],
    class: &str,
    from: Duration,
    to: Duration,
) -> Vec<&'a Finished> {
    let within = |it: &&Finished| it.intended >= from && it.intended < to && it.class == class;
    let matching = finished.iter().filter(within);
    matching.filter(|it| !it.outcome.is_answered()).collect()
}

fn texts(finished: &[&Finished]) -> Vec<String> {
    finished.iter().map(ToString::to_string).collect()
}

/// An outage of the table for all, and what callers saw before, during and after it.
struct Outage {
    finished: Vec<Finished>,
    /// Since the start of the load.
    began: Duration,
    ended: Duration,
    recovered: Duration,
    /// On the clock of the records.
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

/// How many orders started between two instants.
async fn orders_started(cell: &Cell, from: SystemTime, to: SystemTime) -> usize {
    let records = cell.minion_records().await.unwrap();
    let runs = records.iter().flat_map(|record| &record.runs);
    runs.filter(|run| run.key.is_some() && run.started > from && run.started < to)
        .count()
}

async fn lapsed_tasks(cell: &Cell) -> usize {
    let records = cell.worker_records().await.unwrap();
    let runs = records.iter().flat_map(|record| &record.runs);
    runs.filter(|run| matches!(run.ended, Some((_, TaskEnd::LeaseLapsed))))
        .count()
}

async fn idempotent_work_goes_on_in_an_outage(availability: Availability) {
    let cell = cell().await;
    wait_until_running(&cell, &job(JobKind::Service, "service", "forever")).await;

    let outage = outage(&cell, availability).await;

    let finished = &outage.finished;
    let quotes = unanswered(finished, "quote", Duration::ZERO, Duration::MAX);
    let within = (outage.began, outage.ended - ORDER_DEADLINE);
    let orders = unanswered(finished, "order", within.0, within.1);
    let untold: Vec<_> = orders
        .iter()
        .filter(|it| !it.outcome.is_not_run())
        .collect();
    let late_orders = unanswered(finished, "order", outage.recovered, Duration::MAX);
    let settled = outage.down_from + IN_FLIGHT_TIME;
    let started = orders_started(&cell, settled, outage.down_to).await;
    assert_eq!(
        cell.discrepancies(finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(
        texts(&quotes),
        Vec::<String>::new(),
        "idempotent requests go on"
    );
    assert_eq!(started, 0, "no order runs without its intent");
    assert!(!orders.is_empty());
    assert!(
        untold.len() <= IN_FLIGHT_MAX,
        "refused as not run: {untold:?}"
    );
    assert_eq!(
        texts(&late_orders),
        Vec::<String>::new(),
        "orders run again"
    );
    assert_eq!(lapsed_tasks(&cell).await, 0, "running tasks go on");
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_table_refuses_idempotent_requests_and_tasks_go_on() {
    idempotent_work_goes_on_in_an_outage(Availability::Refusing).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_table_is_silent_idempotent_requests_and_tasks_go_on() {
    idempotent_work_goes_on_in_an_outage(Availability::Silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn job_starts_wait_for_the_table_and_then_run_once() {
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

    let during = tokio::spawn({
        let (caller, spec) = (caller.clone(), spec.clone());
        async move { caller.submit(address, &spec).await }
    });
    tokio::time::sleep(PHASE).await;
    let ran_during: usize = cell
        .worker_records()
        .await
        .unwrap()
        .iter()
        .map(|it| it.runs.len())
        .sum();
    cell.table
        .set_faults(None, TableFaults::default())
        .await
        .unwrap();
    let during = during.await.unwrap();

    wait_until("succeeded job", || async {
        let job = caller.submit(address, &spec).await.ok()?;
        (job.state == JobState::Succeeded).then_some(())
    })
    .await
    .unwrap();
    let ran: usize = cell
        .worker_records()
        .await
        .unwrap()
        .iter()
        .map(|it| it.runs.len())
        .sum();
    assert!(during.is_ok() || during.unwrap_err().is_not_run());
    assert_eq!(ran_during, 0, "no task starts without its intent");
    assert_eq!(ran, 4, "each task ran once");
    assert_eq!(cell.violations().await.unwrap(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_lost_after_the_write_double_nothing() {
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
    let lost: u64 = counts.values().map(|it| it.lost_answers).sum();
    let late = unanswered(&finished, "order", recovered, Duration::MAX);
    println!("answers lost after their write: {lost}");
    assert!(lost >= 6, "{counts:?}");
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(texts(&late), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_alone_is_cut_off_from_the_table_does_no_harm() {
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

    let late_orders = unanswered(&finished, "order", recovered, Duration::MAX);
    let late_quotes = unanswered(&finished, "quote", recovered, Duration::MAX);
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(texts(&late_orders), Vec::<String>::new());
    assert_eq!(texts(&late_quotes), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_table_costs_time_and_no_request() {
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
        .filter(|it| !it.outcome.is_answered())
        .collect();
    assert_eq!(
        cell.discrepancies(&finished).await.unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(texts(&failed), Vec::<String>::new());
}
