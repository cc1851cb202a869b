//! Takeovers, lost answers and restarts with running tasks: nothing runs twice, nothing is lost.

mod fixtures;

use std::time::Duration;

use fixtures::{
    cell::{eventually, Cell},
    job, members, settings,
    worker::{FakeWorker, Fault},
    WORKER,
};
use jackdawchute_jobs::Settings;
use jackdawchute_ports::TaskEnd;
use jackdawchute_types::{JobKind, JobState};

/// Short leases, so that a test sees them lapse.
fn short() -> Settings {
    Settings {
        lease: Duration::from_millis(900),
        clock_margin: Duration::from_millis(100),
        holder_stop_max: Duration::from_millis(500),
        ..settings()
    }
}

/// Homes at `a`, both racks at `b`, and `c` in waiting.
async fn three_instances(workers_per_rack: usize) -> Cell {
    let mut cell = Cell::new(members(&["r1", "r2"], workers_per_rack));
    for name in ["a", "b", "c"] {
        cell.start(name, short()).await;
    }
    cell.give("jobs/0", "a", 1).await;
    cell.give("rack/r1", "b", 1).await;
    cell.give("rack/r2", "b", 1).await;
    cell
}

async fn until(cell: &Cell, instance: &str, id: &str, state: JobState) {
    eventually("state of the job", || async {
        let status = cell.status(instance, id).await.ok()?;
        (status.state == state).then_some(())
    })
    .await;
}

fn starts(cell: &Cell) -> usize {
    let workers = cell.workers.all();
    workers.iter().map(|worker| worker.starts().len()).sum()
}

/// The worker that runs the tasks, and the one that runs none.
fn busy_and_idle(cell: &Cell) -> (FakeWorker, FakeWorker) {
    let workers = ["r1-w0", "r2-w0"].map(|id| cell.workers.get(&id.into()));
    let [first, second] = workers;
    if first.running().is_empty() {
        return (second, first);
    }
    (first, second)
}

fn finish_all(cell: &Cell) {
    for worker in cell.workers.all() {
        for task in worker.running() {
            worker.finish(&task, TaskEnd::Succeeded);
        }
    }
}

#[tokio::test]
async fn running_tasks_outlive_both_their_owners() {
    let mut cell = three_instances(1).await;
    cell.submit("a", "j", job(JobKind::Batch, 6)).await.unwrap();
    until(&cell, "a", "j", JobState::Running).await;

    cell.kill("a");
    cell.kill("b");
    cell.give("jobs/0", "c", 2).await;
    cell.give("rack/r1", "c", 2).await;
    cell.give("rack/r2", "c", 2).await;
    until(&cell, "c", "j", JobState::Running).await;
    let after = cell.workers.running().len();
    finish_all(&cell);
    until(&cell, "c", "j", JobState::Succeeded).await;

    assert_eq!((after, starts(&cell)), (6, 6));
}

#[tokio::test]
async fn a_start_whose_answer_is_lost_runs_once() {
    let cell = three_instances(1).await;
    eventually("workers report", || async {
        (cell.workers.all().len() == 2).then_some(())
    })
    .await;
    cell.submit("a", "warm", job(JobKind::Service, 2))
        .await
        .unwrap();
    until(&cell, "a", "warm", JobState::Running).await;

    for worker in cell.workers.all() {
        worker.set_fault(Fault::AnswersLost);
    }
    cell.submit("a", "j", job(JobKind::Batch, 4)).await.unwrap();
    eventually("starts arrive", || async {
        (starts(&cell) >= 3).then_some(())
    })
    .await;
    for worker in cell.workers.all() {
        worker.set_fault(Fault::None);
    }
    until(&cell, "a", "j", JobState::Running).await;

    let running = cell.workers.running();
    let distinct: std::collections::BTreeSet<_> = running.iter().collect();
    assert_eq!(running.len(), distinct.len());
    assert_eq!(running.len(), 6);
}

#[tokio::test]
async fn tasks_of_a_cut_off_worker_run_elsewhere_only_after_its_leases() {
    let cell = three_instances(1).await;
    cell.submit("a", "j", job(JobKind::Batch, 2)).await.unwrap();
    until(&cell, "a", "j", JobState::Running).await;
    let (first, other) = busy_and_idle(&cell);
    assert_eq!((first.running().len(), other.running().len()), (2, 0));

    first.set_fault(Fault::CutOff);
    let together = eventually("the tasks move", || async {
        let here = first.running();
        let there = other.running();
        let twice = here.iter().any(|task| there.contains(task));
        (twice || there.len() == 2).then_some(twice)
    })
    .await;

    assert!(!together);
}

#[tokio::test]
async fn tasks_of_a_restarted_worker_run_again() {
    let cell = three_instances(1).await;
    cell.submit("a", "j", job(JobKind::Batch, 2)).await.unwrap();
    until(&cell, "a", "j", JobState::Running).await;

    busy_and_idle(&cell).0.reboot();

    eventually("the tasks run again", || async {
        (starts(&cell) == 4 && cell.workers.running().len() == 2).then_some(())
    })
    .await;
}

#[tokio::test]
async fn two_gangs_that_want_the_same_racks_both_run_in_turn() {
    let mut cell = three_instances(1).await;
    cell.give("jobs/0", "a", 1).await;
    let whole = 2 * WORKER.processor_millicores / 1_000;
    let whole = u32::try_from(whole).unwrap();
    cell.submit("a", "g1", job(JobKind::Gang, whole))
        .await
        .unwrap();
    cell.submit("a", "g2", job(JobKind::Gang, whole))
        .await
        .unwrap();

    for _ in 0..2 {
        eventually("a whole gang runs", || async {
            (cell.workers.running().len() == whole as usize).then_some(())
        })
        .await;
        finish_all(&cell);
    }
    until(&cell, "a", "g1", JobState::Succeeded).await;
    until(&cell, "a", "g2", JobState::Succeeded).await;

    let fits = |worker: &FakeWorker| worker.load_max().fits_in(&WORKER);
    assert!(cell.workers.all().iter().all(fits));
}

#[tokio::test]
async fn no_worker_is_overfilled_by_more_work_than_the_fleet_holds() {
    let cell = three_instances(2).await;
    for number in 0..6 {
        let id = format!("j{number}");
        cell.submit("a", &id, job(JobKind::Batch, 10))
            .await
            .unwrap();
    }

    eventually("every task ran", || async {
        finish_all(&cell);
        (starts(&cell) >= 60).then_some(())
    })
    .await;

    let fits = |worker: &FakeWorker| worker.load_max().fits_in(&WORKER);
    assert!(cell.workers.all().iter().all(fits));
    assert_eq!(starts(&cell), 60);
}

#[tokio::test]
async fn lost_answers_and_late_duplicates_between_owners_start_nothing_twice() {
    let cell = three_instances(2).await;
    cell.network.lose_answers(2);
    for number in 0..5 {
        let id = format!("j{number}");
        cell.submit("a", &id, job(JobKind::Batch, 8)).await.unwrap();
    }

    eventually("every job ends", || async {
        finish_all(&cell);
        cell.deliver_late().await;
        for number in 0..5 {
            let status = cell.status("a", &format!("j{number}")).await.ok()?;
            (status.state == JobState::Succeeded).then_some(())?;
        }
        Some(())
    })
    .await;
    cell.deliver_late().await;
    cell.status("a", "j0").await.unwrap();

    assert_eq!((starts(&cell), cell.workers.running().len()), (40, 0));
}
