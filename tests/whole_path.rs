//! Requests and jobs through six entry instances, checked against the records of minions and
//! workers.

use jackdawchute_jobs::JobStatus;
use jackdawchute_ports::TaskEnd;
use jackdawchute_standins::{
    caller::{Call, Caller, Outcome},
    harness::{wait_until, Cell, CellOptions, ServicePlan, WorkerPlan},
};
use jackdawchute_types::{JobKind, JobSpec, JobState, RefusalReason, Resources};

/// The number of entry instances of the cell.
const ENTRIES: usize = 6;

fn options() -> CellOptions {
    CellOptions {
        entries: ENTRIES,
        services: vec![service("repair-desk", 6), service("forecast", 4)],
        workers: WorkerPlan {
            workers: 10,
            workers_per_rack: 4,
            resources: Resources::new(4_000, 16_384, 1),
        },
        ..CellOptions::new(env!("CARGO_BIN_EXE_jackdawchute"))
    }
}

fn service(name: &str, minions: usize) -> ServicePlan {
    ServicePlan {
        service: name.into(),
        minions,
        slots: 8,
        connections: 64,
    }
}

fn job(kind: JobKind, class: &str, tasks: u32, command: &str) -> JobSpec {
    JobSpec {
        kind,
        class: class.into(),
        team: "micdejun".into(),
        tasks,
        resources: Resources::new(1_000, 1_024, 0),
        run_time: Default::default(),
        deadline: Default::default(),
        idempotency_key: None,
        command: command.into(),
    }
}

async fn cell() -> Cell {
    Cell::start(options()).await.unwrap()
}

/// Returns requests of several kinds and sizes with falling service times, so that later ones are
/// answered before earlier ones.
fn calls(entry: usize) -> Vec<Call> {
    (0..20)
        .map(|number| {
            let tag = format!("entry{entry}-{number}");
            let service_ms = (20 - number) * 10;
            match number % 4 {
                0 => Call::post(
                    format!("/repair-desk/orders?service_ms={service_ms}"),
                    tag.clone(),
                )
                .with_key(format!("order-{tag}")),
                1 => Call::get(
                    format!("/repair-desk/quotes?service_ms={service_ms}&bytes=1000000"),
                    tag,
                ),
                2 => Call::get(format!("/forecast/breakfast?service_ms={service_ms}"), tag),
                _ => Call::post(
                    format!("/forecast/bakery-orders?service_ms={service_ms}"),
                    tag,
                ),
            }
        })
        .collect()
}

async fn wait_for_state(cell: &Cell, job: &JobStatus, state: JobState) -> JobStatus {
    let caller = Caller::new().unwrap();
    let entry = cell.entries[0].process.callers;
    wait_until("state of a job", || async {
        let status = caller.job(entry, &job.id).await.ok()?;
        (status.state == state).then_some(status)
    })
    .await
    .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_caller_gets_its_own_whole_answer_through_every_instance() {
    let cell = cell().await;
    let mut calls_in_flight = tokio::task::JoinSet::new();

    for (index, entry) in cell.entries.iter().enumerate() {
        let caller = Caller::new().unwrap();
        let address = entry.process.callers;
        for call in calls(index) {
            let caller = caller.clone();
            calls_in_flight
                .spawn(async move { (call.tag.clone(), caller.call(address, &call).await) });
        }
    }
    let outcomes = calls_in_flight.join_all().await;

    let failed: Vec<_> = outcomes
        .iter()
        .filter(|(_, outcome)| !outcome.is_answered())
        .collect();
    assert_eq!(outcomes.len(), ENTRIES * 20);
    assert!(failed.is_empty(), "{failed:?}");
    assert_eq!(cell.violations().await.unwrap(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_through_every_instance_stay_within_slots_and_connections() {
    let cell = cell().await;
    let mut calls_in_flight = tokio::task::JoinSet::new();

    for number in 0..600 {
        let caller = Caller::new().unwrap();
        let address = cell.entries[number % ENTRIES].process.callers;
        let call = Call::get(
            "/repair-desk/quotes?service_ms=100",
            format!("crowd-{number}"),
        );
        calls_in_flight.spawn(async move { caller.call(address, &call).await });
    }
    let outcomes = calls_in_flight.join_all().await;

    let records = cell.minion_records().await.unwrap();
    let busiest = records.iter().map(|record| record.max_concurrent).max();
    let failed: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| !outcome.is_answered())
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    assert_eq!(
        busiest,
        Some(8),
        "the requests must fill the slots of a minion"
    );
    assert_eq!(cell.violations().await.unwrap(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_every_kind_are_placed_through_every_instance() {
    let cell = cell().await;
    let caller = Caller::new().unwrap();
    let mut batches = Vec::new();

    for entry in &cell.entries {
        let batch = job(JobKind::Batch, "batch", 4, "run_ms=300");
        batches.push(caller.submit(entry.process.callers, &batch).await.unwrap());
    }
    let address = cell.entries[1].process.callers;
    let gang = job(JobKind::Gang, "batch", 3, "run_ms=300");
    let gang = caller.submit(address, &gang).await.unwrap();
    let service = job(JobKind::Service, "service", 2, "forever");
    let service = caller.submit(address, &service).await.unwrap();

    for batch in &batches {
        wait_for_state(&cell, batch, JobState::Succeeded).await;
    }
    wait_for_state(&cell, &gang, JobState::Succeeded).await;
    wait_for_state(&cell, &service, JobState::Running).await;
    caller
        .cancel(cell.entries[2].process.callers, &service.id)
        .await
        .unwrap();
    wait_for_state(&cell, &service, JobState::Cancelled).await;
    wait_until_stopped(&cell, &service).await;
    let records = cell.worker_records().await.unwrap();
    let runs: usize = records.iter().map(|record| record.runs.len()).sum();
    assert_eq!(runs, ENTRIES * 4 + 3 + 2);
    assert_eq!(cell.violations().await.unwrap(), []);
}

/// Waits until every run of the job's tasks was stopped.
async fn wait_until_stopped(cell: &Cell, job: &JobStatus) {
    wait_until("stopped tasks", || async {
        let records = cell.worker_records().await.ok()?;
        let runs = records.iter().flat_map(|record| &record.runs);
        let mut runs = runs.filter(|run| run.task.starts_with(job.id.as_str()));
        let is_stopped = |end: Option<TaskEnd>| end == Some(TaskEnd::Stopped);
        runs.all(|run| is_stopped(run.ended.map(|(_, end)| end)))
            .then_some(())
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_order_gets_the_first_answer_from_any_instance() {
    let cell = cell().await;
    let caller = Caller::new().unwrap();
    let call = Call::post("/repair-desk/orders?service_ms=300", "first").with_key("order-1");
    let first = caller.call(cell.entries[0].process.callers, &call).await;
    let mut repeated = Vec::new();

    for entry in &cell.entries {
        let again = Call {
            tag: "again".into(),
            ..call.clone()
        };
        repeated.push(caller.call(entry.process.callers, &again).await);
    }

    assert!(first.is_answered(), "{first:?}");
    assert!(
        repeated.iter().all(|outcome| *outcome == first),
        "{repeated:?}"
    );
    assert_eq!(cell.violations().await.unwrap(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn work_that_can_never_run_is_refused_with_its_reason() {
    let cell = cell().await;
    let caller = Caller::new().unwrap();
    let address = cell.entries[0].process.callers;
    let huge = JobSpec {
        resources: Resources::new(64_000, 1_024, 0),
        ..job(JobKind::Batch, "batch", 1, "run_ms=1")
    };

    let never_fits = caller.submit(address, &huge).await.unwrap_err();
    let no_route = caller.call(address, &Call::get("/elsewhere", "t1")).await;

    assert_eq!(never_fits.refusal(), Some(RefusalReason::NeverFits));
    assert!(never_fits.is_not_run());
    assert_eq!(no_route.refusal(), Some(RefusalReason::NotFound));
    assert!(no_route.is_not_run());
}
