//! Orders that a worker carries out late, in an incarnation that no leader has reached.
//!
//! The clock of a later incarnation starts anew, so that an order whose lease has lapsed on the
//! former one's clock is in time again. It has seen no fencing token either.

use std::time::Duration;

use jackdawchute_standins::cell::OrderKind;
use jackdawchute_types::WorkerId;

use crate::{fixtures::*, restarts::*};

/// Leaves the starts of two tasks without an answer, restarts their workers and cuts them off; the
/// orders are carried out `late` after they arrived, and the cut ends after `cut_time`. `age` is that
/// of the former incarnations.
async fn repeated_runs_of_unanswered_starts(age: f64, late: f64, cut_time: f64) -> Vec<String> {
    let cell = cell_with(CellOptions {
        worker_age: seconds(age),
        ..options()
    })
    .await;
    delay_starts(&cell, Some(seconds(late)));
    cell.submit_job(0, "job", &job(2, LARGE_MILLICORES), &route())
        .await;
    let (arrived_at, workers) = wait_for_late_starts(&cell, 2).await;

    sleep_until(arrived_at + seconds(0.3)).await;
    restart_behind_cut(&cell, &workers, None).await;
    delay_starts(&cell, None);
    sleep_until(arrived_at + seconds(cut_time)).await;
    heal(&cell).await;
    cell.wait_until_completed(0, "job").await;

    repeated_runs(&cell)
}

#[tokio::test]
async fn a_start_carried_out_behind_a_cut_by_a_restarted_worker_runs_in_one_place() {
    let (late_6, late_9, late_3, late_3_in_longer_cut, younger) = tokio::join!(
        repeated_runs_of_unanswered_starts(12.0, 6.0, 9.0),
        repeated_runs_of_unanswered_starts(12.0, 9.0, 12.0),
        repeated_runs_of_unanswered_starts(12.0, 3.0, 5.0),
        repeated_runs_of_unanswered_starts(12.0, 3.0, 7.0),
        repeated_runs_of_unanswered_starts(4.0, 6.0, 9.0),
    );

    let all = [late_6, late_9, late_3, late_3_in_longer_cut, younger];
    assert!(all.iter().all(Vec::is_empty), "{all:#?}");
}

/// Once a leader was heard, the token shows that the order is an earlier one; that of a young worker
/// has lapsed on the new clock too.
#[tokio::test]
async fn a_start_that_a_restarted_worker_can_tell_from_later_ones_does_not_begin() {
    let (after_cut, young) = tokio::join!(
        repeated_runs_of_unanswered_starts(12.0, 6.0, 5.0),
        repeated_runs_of_unanswered_starts(0.0, 6.0, 9.0),
    );

    let all = [after_cut, young];
    assert!(all.iter().all(Vec::is_empty), "{all:#?}");
}

/// Confirms a repeated start while its first copy is under way, and then restarts the worker behind
/// a cut.
async fn repeated_runs_of_a_confirmed_start(late: Duration, cut_time: Duration) -> Vec<String> {
    let cell = cell_with(options()).await;
    delay_starts(&cell, Some(late));
    cell.submit_job(0, "job", &job(1, LARGE_MILLICORES), &route())
        .await;
    let (arrived_at, workers) = wait_for_late_starts(&cell, 1).await;
    delay_starts(&cell, None);
    wait_for("the start is not repeated", || {
        !cell.workers.records().is_empty()
    })
    .await;

    // The answer to the repeated start arrives.
    tokio::time::sleep(seconds(0.2)).await;
    restart_behind_cut(&cell, &workers, None).await;
    sleep_until(arrived_at + cut_time).await;
    heal(&cell).await;
    cell.wait_until_completed(0, "job").await;

    repeated_runs(&cell)
}

#[tokio::test]
async fn a_copy_of_a_confirmed_start_carried_out_by_a_restarted_worker_runs_in_one_place() {
    let (late_8, late_10) = tokio::join!(
        repeated_runs_of_a_confirmed_start(seconds(8.0), seconds(11.0)),
        repeated_runs_of_a_confirmed_start(seconds(10.0), seconds(12.0)),
    );

    let all = [late_8, late_10];
    assert!(all.iter().all(Vec::is_empty), "{all:#?}");
}

/// What happens to the leader whose start got no answer.
#[derive(Clone, Copy)]
enum Former {
    Killed,
    CutOff,
    Frozen,
}

/// Replaces the leader `after` its start arrived without an answer, while the worker restarts behind
/// a cut.
async fn repeated_runs_of_an_earlier_leaders_start(former: Former, after: Duration) -> Vec<String> {
    const LATE: Duration = Duration::from_secs(11);
    const CUT_TIME: Duration = Duration::from_secs(13);
    let mut cell = cell_with(CellOptions {
        can_freeze: true,
        ..options()
    })
    .await;
    let leader = cell.leader().await;
    delay_starts(&cell, Some(LATE));
    cell.submit_job(0, "job", &job(1, LARGE_MILLICORES), &route())
        .await;
    let (arrived_at, workers) = wait_for_late_starts(&cell, 1).await;

    sleep_until(arrived_at + after).await;
    match former {
        Former::Killed => cell.instances[leader].kill(),
        Former::CutOff => cell.partition(&[leader], &[], false).await,
        Former::Frozen => cell.instances[leader].freeze(seconds(8.0)),
    }
    restart_behind_cut(&cell, &workers, None).await;
    delay_starts(&cell, None);
    wait_for_other_leader(&cell, leader).await;
    sleep_until(arrived_at + CUT_TIME).await;
    heal(&cell).await;
    if let Former::Killed = former {
        cell.instances.remove(leader);
    }
    cell.wait_until_completed(0, "job").await;

    repeated_runs(&cell)
}

/// How long an unanswered start is known and saved as such before its leader is replaced.
const SAVED_AFTER: Duration = Duration::from_millis(1_500);

#[tokio::test]
async fn an_earlier_leaders_start_carried_out_by_a_restarted_worker_runs_in_one_place() {
    let (killed, cut_off, frozen) = tokio::join!(
        repeated_runs_of_an_earlier_leaders_start(Former::Killed, SAVED_AFTER),
        repeated_runs_of_an_earlier_leaders_start(Former::CutOff, SAVED_AFTER),
        repeated_runs_of_an_earlier_leaders_start(Former::Frozen, SAVED_AFTER),
    );

    let all = [killed, cut_off, frozen];
    assert!(all.iter().all(Vec::is_empty), "{all:#?}");
}

/// The leader ends before it could know that its start gets no answer.
#[tokio::test]
async fn a_start_under_way_when_its_leader_ends_runs_in_one_place_after_a_restart_of_its_worker() {
    let repeated = repeated_runs_of_an_earlier_leaders_start(Former::Killed, seconds(0.3)).await;

    assert!(repeated.is_empty(), "{repeated:#?}");
}

/// Why the leader gives up a start whose worker answers.
#[derive(Clone, Copy)]
enum GivenUp {
    /// The worker has confirmed that the run will not start.
    Stopped,
    /// The worker has restarted and refuses earlier tokens.
    Restarted,
}

/// Waits until the task of an unanswered start runs elsewhere, and then restarts the first worker
/// behind a cut.
async fn repeated_runs_of_a_start_given_up(given_up: GivenUp) -> Vec<String> {
    const LATE: Duration = Duration::from_secs(9);
    let cell = cell_with(CellOptions {
        task_time: seconds(10.0),
        ..options()
    })
    .await;
    delay_starts(&cell, Some(LATE));
    cell.submit_job(0, "job", &job(1, LARGE_MILLICORES), &route())
        .await;
    let (arrived_at, workers) = wait_for_late_starts(&cell, 1).await;
    delay_starts(&cell, None);
    let late_only = [OrderKind::Start];
    cell.workers.set_late(&workers[0], &late_only, Some(LATE));

    match given_up {
        GivenUp::Stopped => {
            let entries = cell.workers.entries().into_iter();
            let others = entries.filter(|entry| entry.worker != workers[0]);
            cell.listed.send_replace(others.collect());
        }
        GivenUp::Restarted => cell.workers.crash(&workers[0]),
    }
    wait_for("the task does not run elsewhere", || {
        !cell.workers.records().is_empty()
    })
    .await;
    restart_behind_cut(&cell, &workers, None).await;
    sleep_until(arrived_at + LATE + seconds(1.0)).await;
    heal(&cell).await;
    cell.wait_until_completed(0, "job").await;

    repeated_runs(&cell)
}

#[tokio::test]
async fn a_start_given_up_by_a_worker_that_answered_runs_in_one_place_after_a_restart() {
    let (stopped, restarted) = tokio::join!(
        repeated_runs_of_a_start_given_up(GivenUp::Stopped),
        repeated_runs_of_a_start_given_up(GivenUp::Restarted),
    );

    let all = [stopped, restarted];
    assert!(all.iter().all(Vec::is_empty), "{all:#?}");
}

/// The worker stays cut off, so that its run counts until a late order can begin or extend nothing
/// more; then the task runs elsewhere.
#[tokio::test]
async fn a_late_run_that_a_late_renewal_extends_ends_before_its_task_runs_elsewhere() {
    const LATE_START: Duration = Duration::from_millis(11_300);
    const LATE_RENEWAL: Duration = Duration::from_millis(11_800);
    let cell = cell_with(CellOptions {
        worker_age: Duration::from_secs(20),
        worker_clock_rate: 0.98,
        task_time: Duration::from_secs(14),
        ..options()
    })
    .await;
    delay_starts(&cell, Some(LATE_START));
    cell.submit_job(0, "job", &job(1, LARGE_MILLICORES), &route())
        .await;
    let (arrived_at, workers) = wait_for_late_starts(&cell, 1).await;
    let kinds = [OrderKind::Renewal];
    cell.workers
        .set_late(&workers[0], &kinds, Some(LATE_RENEWAL));
    let late_renewals = || cell.workers.late_orders(OrderKind::Renewal);
    wait_for("no renewal arrives", || !late_renewals().is_empty()).await;

    restart_behind_cut(&cell, &workers, None).await;
    delay_starts(&cell, None);
    wait_for("the late start does not begin", || {
        let mut records = cell.workers.records().into_iter();
        records.any(|record| record.worker == workers[0])
    })
    .await;
    wait_for("the late renewal is not carried out", || {
        late_renewals().is_empty()
    })
    .await;
    cell.workers.set_task_time(TASK_TIME);
    cell.wait_until_completed(0, "job").await;
    let took = arrived_at.elapsed();
    let repeated = repeated_runs(&cell);

    assert!(repeated.is_empty(), "{repeated:#?}");
    assert!(took < Duration::from_secs(30), "{took:?}");
}

/// The end of the late run is listed when the cut is over.
#[tokio::test]
async fn a_task_does_not_start_again_while_a_late_run_of_it_may_have_succeeded_behind_a_cut() {
    let cell = cell_with(CellOptions {
        task_time: seconds(0.5),
        ..options()
    })
    .await;
    delay_starts(&cell, Some(seconds(3.0)));
    cell.submit_job(0, "job", &job(2, LARGE_MILLICORES), &route())
        .await;
    let (arrived_at, workers) = wait_for_late_starts(&cell, 2).await;

    restart_behind_cut(&cell, &workers, None).await;
    delay_starts(&cell, None);
    sleep_until(arrived_at + seconds(8.0)).await;
    heal(&cell).await;
    cell.wait_until_completed(0, "job").await;
    // The next renewals take note of the ends.
    tokio::time::sleep(seconds(1.0)).await;
    let repeated = repeated_runs(&cell);

    assert!(repeated.is_empty(), "{repeated:#?}");
}

/// Run ends are numbered anew in each incarnation, so that a renewal to the former one takes note of
/// those of the next.
#[tokio::test]
async fn a_task_whose_late_run_a_stray_renewal_took_note_of_does_not_start_again() {
    let cell = cell_with(CellOptions {
        task_time: seconds(0.5),
        ..options()
    })
    .await;
    cell.submit_job(0, "first", &job(4, LARGE_MILLICORES), &route())
        .await;
    cell.wait_until_completed(0, "first").await;
    wait_for("the ends are not saved", || {
        cell.workers.records().iter().all(|record| record.saved)
    })
    .await;
    delay_starts(&cell, Some(seconds(3.0)));
    cell.submit_job(0, "job", &job(1, LARGE_MILLICORES), &route())
        .await;
    let (_, workers) = wait_for_late_starts(&cell, 1).await;
    let kinds = [OrderKind::Renewal];
    cell.workers
        .set_late(&workers[0], &kinds, Some(seconds(4.5)));
    let late_renewals = || cell.workers.late_orders(OrderKind::Renewal);
    wait_for("no renewal arrives", || !late_renewals().is_empty()).await;

    restart_behind_cut(&cell, &workers, None).await;
    delay_starts(&cell, None);
    cell.workers.set_late(&workers[0], &kinds, None);
    wait_for("the stray renewal is not carried out", || {
        late_renewals().is_empty()
    })
    .await;
    heal(&cell).await;
    cell.wait_until_completed(0, "job").await;
    let repeated = repeated_runs(&cell);

    assert!(repeated.is_empty(), "{repeated:#?}");
}

/// Restarts two workers with two orders each as smaller ones, whose entries follow `listed_at_once`
/// or when the cut ends; more tasks wait for room. Returns the repeated runs, and the starts above the
/// capacity of a worker that no late order made.
async fn faults_of_smaller_workers(listed_at_once: bool) -> Vec<String> {
    const LATE: Duration = Duration::from_secs(6);
    const CUT_TIME: Duration = Duration::from_secs(9);
    const BLOCKED: Duration = Duration::from_secs(3);
    let cell = cell_with(CellOptions {
        task_time: BLOCKED,
        ..options()
    })
    .await;
    cell.workers.set_stop_time(seconds(0.8));
    cell.submit_job(0, "blocker", &job(2, 4_000), &route())
        .await;
    wait_for("no room is blocked", || cell.workers.records().len() == 2).await;
    cell.workers.set_task_time(LONG);
    delay_starts(&cell, Some(LATE));
    cell.submit_job(0, "job", &job(4, 2_000), &route()).await;
    let (arrived_at, workers) = wait_for_late_starts(&cell, 4).await;

    sleep_until(arrived_at + seconds(0.3)).await;
    restart_behind_cut(&cell, &workers, Some(2_500)).await;
    delay_starts(&cell, None);
    if listed_at_once {
        list_workers(&cell);
    }
    sleep_until(arrived_at + CUT_TIME - seconds(0.3)).await;
    cell.workers.set_task_time(seconds(1.0));
    cell.submit_job(0, "filler", &job(20, 1_000), &route())
        .await;
    sleep_until(arrived_at + CUT_TIME).await;
    heal(&cell).await;
    for job in ["job", "filler"] {
        cell.wait_until_completed(0, job).await;
    }

    assert_eq!(workers.len(), 2);
    let overloads = cell.workers.overloads().into_iter();
    let of_leader = overloads.filter(|it| !it.late).map(|it| format!("{it:?}"));
    repeated_runs(&cell).into_iter().chain(of_leader).collect()
}

#[tokio::test]
async fn late_starts_on_workers_that_restart_smaller_run_in_one_place_and_use_their_room() {
    let (listed_later, listed_at_once) = tokio::join!(
        faults_of_smaller_workers(false),
        faults_of_smaller_workers(true),
    );

    let all = [listed_later, listed_at_once];
    assert!(all.iter().all(Vec::is_empty), "{all:#?}");
}

/// The next incarnation has taken a renewal of the former one before the leader raises the token.
#[tokio::test]
async fn a_run_under_a_lease_that_a_stray_renewal_extended_ends_before_its_task_runs_elsewhere() {
    const LATE: Duration = Duration::from_millis(1_500);
    let cell = cell_with(CellOptions {
        workers: 2,
        task_time: seconds(7.0),
        ..options()
    })
    .await;
    // All room of the other worker is in use while the task is placed.
    cell.submit_job(0, "blocker", &job(1, 4_000), &route())
        .await;
    wait_for("no room is blocked", || cell.workers.records().len() == 1).await;
    let blocked = cell.workers.records().remove(0).worker;
    let mut workers: Vec<WorkerId> = vec!["w0".into(), "w1".into()];
    workers.retain(|worker| *worker != blocked);
    let worker = &workers[0];

    let kinds = [OrderKind::Renewal];
    cell.workers.set_late(worker, &kinds, Some(LATE));
    let late_renewals = || cell.workers.late_orders(OrderKind::Renewal);
    wait_for("no renewal arrives", || !late_renewals().is_empty()).await;
    restart_behind_cut(&cell, &workers, None).await;
    cell.workers.set_late(worker, &kinds, None);
    wait_for("the stray renewal is not carried out", || {
        late_renewals().is_empty()
    })
    .await;
    cell.workers.set_task_time(seconds(20.0));
    heal(&cell).await;
    cell.submit_job(0, "job", &job(1, LARGE_MILLICORES), &route())
        .await;
    wait_for("the task does not start", || {
        cell.workers.records().len() == 2
    })
    .await;
    tokio::time::sleep(seconds(0.2)).await;
    let runs_on = cell.workers.records()[1].worker.clone();
    cut_off(&cell, worker);
    cell.workers.set_task_time(seconds(3.0));
    cell.wait_until_completed(0, "job").await;
    let repeated = repeated_runs(&cell);

    assert_eq!(runs_on, *worker);
    assert!(repeated.is_empty(), "{repeated:#?}");
}

/// A worker refuses a ticket of its former incarnation, so that the task need not wait for it.
#[tokio::test]
async fn a_task_whose_unanswered_start_has_a_ticket_runs_elsewhere_behind_the_cut() {
    const LATE: Duration = Duration::from_secs(9);
    const CUT_TIME: Duration = Duration::from_secs(10);
    let cell = cell_with(CellOptions {
        tickets: true,
        ..options()
    })
    .await;
    delay_starts(&cell, Some(LATE));
    cell.submit_job(0, "job", &job(1, LARGE_MILLICORES), &advised_route())
        .await;
    let (arrived_at, workers) = wait_for_late_starts(&cell, 1).await;

    sleep_until(arrived_at + seconds(0.3)).await;
    restart_behind_cut(&cell, &workers, None).await;
    delay_starts(&cell, None);
    sleep_until(arrived_at + LATE).await;
    let runs_before = cell.workers.records();
    sleep_until(arrived_at + CUT_TIME).await;
    heal(&cell).await;
    cell.wait_until_completed(0, "job").await;
    let runs = cell.workers.records();

    assert_eq!(runs_before.len(), 1);
    assert_ne!(runs_before[0].worker, workers[0]);
    assert_eq!(runs.len(), 1, "{runs:?}");
}
