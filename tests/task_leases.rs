//! The leases of running tasks are renewed in time while nothing fails.

use std::time::Duration;

use jackdawchute_configuration::Configuration;
use jackdawchute_ports::TaskEnd;
use jackdawchute_standins::{
    caller::Caller,
    harness::{wait_until, Cell, CellOptions, WorkerPlan},
};
use jackdawchute_types::{JobKind, JobSpec, JobState, Resources};

/// How long the tasks run: longer than any of the tested leases.
const OBSERVATION_TIME: Duration = Duration::from_secs(8);

fn options(task_lease_ms: u64) -> CellOptions {
    let mut options = CellOptions {
        workers: WorkerPlan {
            workers: 2,
            workers_per_rack: 2,
            resources: Resources::new(4_000, 16_384, 0),
        },
        ..CellOptions::new(env!("CARGO_BIN_EXE_jackdawchute"))
    };
    let lease = format!("task_lease_ms: {task_lease_ms}");
    options.configuration = options.configuration.replace("task_lease_ms: 6000", &lease);
    options
}

fn service() -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        class: "service".into(),
        team: "micdejun".into(),
        tasks: 4,
        resources: Resources::new(1_000, 1_024, 0),
        run_time: Default::default(),
        deadline: Default::default(),
        idempotency_key: None,
        command: "forever".into(),
    }
}

/// Runs a service for [`OBSERVATION_TIME`] and returns how many of its tasks ended because their
/// lease lapsed.
async fn lapsed_leases(options: CellOptions) -> usize {
    let cell = Cell::start(options).await.unwrap();
    let caller = Caller::new().unwrap();
    let address = cell.entries[0].process.callers;
    let job = caller.submit(address, &service()).await.unwrap();
    wait_until("running job", || async {
        let status = caller.job(address, &job.id).await.ok()?;
        (status.state == JobState::Running).then_some(())
    })
    .await
    .unwrap();
    tokio::time::sleep(OBSERVATION_TIME).await;
    let records = cell.worker_records().await.unwrap();
    let runs = records.iter().flat_map(|record| &record.runs);
    runs.filter(|run| matches!(run.ended, Some((_, TaskEnd::LeaseLapsed))))
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn no_task_lease_lapses_without_failures() {
    let lapsed = lapsed_leases(options(6_000)).await;

    assert_eq!(lapsed, 0);
}

/// Guards against a configuration check that accepts a task lease too short for its renewals.
#[tokio::test(flavor = "multi_thread")]
async fn no_accepted_task_lease_is_too_short_to_be_renewed() {
    for task_lease_ms in [1_000, 3_000] {
        let options = options(task_lease_ms);
        if Configuration::parse(&options.configuration).is_ok() {
            assert_eq!(lapsed_leases(options).await, 0, "{task_lease_ms} ms");
        }
    }
}
