//! Takeovers, lost answers and worker restarts while tasks run: no task is lost or runs twice at a
//! time.

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

/// Settings with leases short enough to lapse within a test.
fn short_leases() -> Settings {
    Settings {
        lease: Duration::from_millis(900),
        clock_margin: Duration::from_millis(100),
        holder_stop_max: Duration::from_millis(500),
        ..settings()
    }
}

/// The home group at `a`, both racks at `b`, and `c` without a group until a takeover.
async fn three_instances(workers_per_rack: usize) -> Cell {
    let mut cell = Cell::new(members(&["r1", "r2"], workers_per_rack));
    for name in ["a", "b", "c"] {
        cell.start(name, short_leases()).await;
    }
    cell.assign_group("jobs/0", "a", 1).await;
    cell.assign_group("rack/r1", "b", 1).await;
    cell.assign_group("rack/r2", "b", 1).await;
    cell
}

async fn wait_for_state(cell: &Cell, instance: &str, id: &str, state: JobState) {
    eventually("state of the job", || async {
        let status = cell.status(instance, id).await.ok()?;
        (status.state == state).then_some(())
    })
    .await;
}

fn total_starts(cell: &Cell) -> usize {
    let workers = cell.workers.all();
    workers.iter().map(|worker| worker.starts().len()).sum()
}

/// Returns the worker that runs tasks, and the one that runs none.
fn busy_and_idle(cell: &Cell) -> (FakeWorker, FakeWorker) {
    let workers = ["r1-w0", "r2-w0"].map(|id| cell.workers.get(&id.into()));
    let [first, second] = workers;
    if first.running().is_empty() {
        return (second, first);
    }
    (first, second)
}

/// Lets every running task succeed.
fn finish_all(cell: &Cell) {
    for worker in cell.workers.all() {
        for task in worker.running() {
            worker.finish(&task, TaskEnd::Succeeded);
        }
    }
}

/// A successor that started the tasks of its predecessor again, or counted them as lost, would run
/// them twice. Both owners are killed at once here.
#[tokio::test]
async fn running_tasks_survive_the_loss_of_home_and_rack_owner() {
    let mut cell = three_instances(1).await;
    cell.submit("a", "j", job(JobKind::Batch, 6)).await.unwrap();
    wait_for_state(&cell, "a", "j", JobState::Running).await;

    cell.kill("a");
    cell.kill("b");
    cell.assign_group("jobs/0", "c", 2).await;
    cell.assign_group("rack/r1", "c", 2).await;
    cell.assign_group("rack/r2", "c", 2).await;
    wait_for_state(&cell, "c", "j", JobState::Running).await;
    let running = cell.workers.running().len();
    finish_all(&cell);
    wait_for_state(&cell, "c", "j", JobState::Succeeded).await;

    assert_eq!((running, total_starts(&cell)), (6, 6));
}

/// The tasks that a home owner finds assigned may run, whether or not it reaches the owner of their
/// rack.
#[tokio::test]
async fn running_tasks_survive_a_home_owner_that_does_not_reach_the_rack_owner() {
    let mut cell = three_instances(1).await;
    cell.submit("a", "j", job(JobKind::Batch, 6)).await.unwrap();
    wait_for_state(&cell, "a", "j", JobState::Running).await;

    cell.kill("a");
    cell.kill("b");
    cell.assign_group("jobs/0", "c", 2).await;
    eventually("a call to the rack owner is not delivered", || async {
        (cell.network.undelivered_starts() > 0).then_some(())
    })
    .await;
    cell.assign_group("rack/r1", "c", 2).await;
    cell.assign_group("rack/r2", "c", 2).await;
    wait_for_state(&cell, "c", "j", JobState::Running).await;
    finish_all(&cell);
    wait_for_state(&cell, "c", "j", JobState::Succeeded).await;

    assert_eq!(total_starts(&cell), 6);
}

/// A start whose answer is lost took effect at the worker, so another attempt elsewhere would run
/// the task twice.
#[tokio::test]
async fn a_start_whose_answer_is_lost_runs_once() {
    let cell = three_instances(1).await;
    eventually("both workers have ports", || async {
        (cell.workers.all().len() == 2).then_some(())
    })
    .await;
    cell.submit("a", "warm", job(JobKind::Service, 2))
        .await
        .unwrap();
    wait_for_state(&cell, "a", "warm", JobState::Running).await;

    for worker in cell.workers.all() {
        worker.set_fault(Fault::AnswersLost);
    }
    cell.submit("a", "j", job(JobKind::Batch, 4)).await.unwrap();
    eventually("starts arrive", || async {
        (total_starts(&cell) >= 3).then_some(())
    })
    .await;
    for worker in cell.workers.all() {
        worker.set_fault(Fault::None);
    }
    wait_for_state(&cell, "a", "j", JobState::Running).await;

    let running = cell.workers.running();
    let distinct: std::collections::BTreeSet<_> = running.iter().collect();
    assert_eq!(running.len(), distinct.len());
    assert_eq!(running.len(), 6);
}

/// A worker that no call reaches still runs its tasks until their leases lapse by its own clock. A
/// new attempt before that would run beside the old one.
#[tokio::test]
async fn tasks_of_a_cut_off_worker_run_elsewhere_only_after_their_leases_lapsed() {
    let cell = three_instances(1).await;
    cell.submit("a", "j", job(JobKind::Batch, 2)).await.unwrap();
    wait_for_state(&cell, "a", "j", JobState::Running).await;
    let (first, other) = busy_and_idle(&cell);
    assert_eq!((first.running().len(), other.running().len()), (2, 0));

    first.set_fault(Fault::CutOff);
    let ran_twice = eventually("the tasks move", || async {
        let on_first = first.running();
        let on_other = other.running();
        let twice = on_first.iter().any(|task| on_other.contains(task));
        (twice || on_other.len() == 2).then_some(twice)
    })
    .await;

    assert!(!ran_twice);
}

/// The restart of a worker ends its tasks without a report of their ends; the new boot id in the
/// next report must make the owner start them again.
#[tokio::test]
async fn tasks_of_a_restarted_worker_run_again() {
    let cell = three_instances(1).await;
    cell.submit("a", "j", job(JobKind::Batch, 2)).await.unwrap();
    wait_for_state(&cell, "a", "j", JobState::Running).await;

    busy_and_idle(&cell).0.restart();

    eventually("the tasks run again", || async {
        (total_starts(&cell) == 4 && cell.workers.running().len() == 2).then_some(())
    })
    .await;
}

/// A new incarnation that took the start of the former one would run the task until a time on the
/// former clock, long after its owner counts it as lost.
#[tokio::test]
async fn a_start_that_a_new_incarnation_receives_does_not_run_beside_the_next_attempt() {
    let cell = three_instances(1).await;
    cell.workers.restart_at_next_start();

    cell.submit("a", "j", job(JobKind::Batch, 1)).await.unwrap();
    eventually(
        "the task runs on the worker that did not restart",
        || async {
            let workers = cell.workers.all();
            let mut others = workers.iter().filter(|worker| worker.incarnations() == 1);
            others
                .any(|worker| !worker.running().is_empty())
                .then_some(())
        },
    )
    .await;

    assert_eq!(cell.workers.running().len(), 1);
}

/// Two gangs that each held one of the two racks would wait for each other forever.
#[tokio::test]
async fn two_gangs_that_need_the_same_racks_run_one_after_the_other() {
    let mut cell = three_instances(1).await;
    cell.assign_group("jobs/0", "a", 1).await;
    let fleet_cores = 2 * WORKER.processor_millicores / 1_000;
    let fleet_cores = u32::try_from(fleet_cores).unwrap();
    cell.submit("a", "g1", job(JobKind::Gang, fleet_cores))
        .await
        .unwrap();
    cell.submit("a", "g2", job(JobKind::Gang, fleet_cores))
        .await
        .unwrap();

    for _ in 0..2 {
        eventually("all tasks of a gang run", || async {
            (cell.workers.running().len() == fleet_cores as usize).then_some(())
        })
        .await;
        finish_all(&cell);
    }
    wait_for_state(&cell, "a", "g1", JobState::Succeeded).await;
    wait_for_state(&cell, "a", "g2", JobState::Succeeded).await;

    let fits = |worker: &FakeWorker| worker.load_max().fits_in(&WORKER);
    assert!(cell.workers.all().iter().all(fits));
}

/// The home owner places by a view that may be out of date, so the rack owner must refuse what does
/// not fit.
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
        (total_starts(&cell) >= 60).then_some(())
    })
    .await;

    let fits = |worker: &FakeWorker| worker.load_max().fits_in(&WORKER);
    assert!(cell.workers.all().iter().all(fits));
    assert_eq!(total_starts(&cell), 60);
}

/// Owners repeat calls whose answers are lost, and the network may deliver a call once more after
/// the task has ended.
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
        cell.deliver_duplicates().await;
        for number in 0..5 {
            let status = cell.status("a", &format!("j{number}")).await.ok()?;
            (status.state == JobState::Succeeded).then_some(())?;
        }
        Some(())
    })
    .await;
    cell.deliver_duplicates().await;
    cell.status("a", "j0").await.unwrap();

    assert_eq!((total_starts(&cell), cell.workers.running().len()), (40, 0));
}
