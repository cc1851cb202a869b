//! A worker's listener, called with the platform client [`HttpWorker`].

use std::time::Duration;

use jackdawchute_ports::{HttpWorker, Lease, StartOutcome, StartTask, TaskEnd, WorkerPort};
use jackdawchute_trial::{spawn_worker, RunningWorker, WorkerOptions};
use jackdawchute_types::Resources;

async fn worker() -> RunningWorker {
    spawn_worker(WorkerOptions::new("w1", Resources::new(4_000, 4_096, 0)))
        .await
        .expect("a loopback port is free")
}

/// Returns a lease of one minute for the incarnation that answers.
async fn lease(client: &HttpWorker) -> Lease {
    let report = client.report().await.unwrap();
    Lease {
        epoch: 1,
        boot: report.boot,
        until: report.clock + Duration::from_secs(60),
    }
}

fn start(task: &str, lease: &Lease) -> StartTask {
    StartTask {
        task: task.into(),
        attempt: 1,
        resources: Resources::new(3_000, 1_024, 0),
        lease: lease.clone(),
        command: "forever".into(),
    }
}

#[tokio::test]
async fn a_task_is_started_renewed_stopped_and_recorded() {
    let worker = worker().await;
    let client = HttpWorker::new(worker.address);
    let clock = client.report().await.unwrap().clock;
    let lease = lease(&client).await;

    let outcome = client.start(start("j-0", &lease)).await.unwrap();
    client.renew(vec!["j-0".into()], lease).await.unwrap();
    client.stop("j-0".into(), 1).await.unwrap();

    let report = client.report().await.unwrap();
    assert_eq!(outcome, StartOutcome::Started);
    assert_eq!(report.tasks[0].end, Some(TaskEnd::Stopped));
    assert!(report.clock >= clock);
    assert_eq!(worker.record().await.unwrap().runs_of("j-0").count(), 1);
}

#[tokio::test]
async fn the_record_shows_a_worker_charged_beyond_its_resources() {
    let worker = worker().await;
    let client = HttpWorker::new(worker.address);
    let lease = lease(&client).await;

    client.start(start("j-0", &lease)).await.unwrap();
    let one_task = worker.record().await.unwrap();
    client.start(start("j-1", &lease)).await.unwrap();
    let two_tasks = worker.record().await.unwrap();

    assert!(one_task.is_within_size());
    assert!(!two_tasks.is_within_size());
    assert_eq!(two_tasks.max_charge(), Resources::new(6_000, 2_048, 0));
}
