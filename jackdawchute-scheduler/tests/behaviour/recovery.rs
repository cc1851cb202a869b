//! The recovery of a new leader from saved rows and from the reports of workers.

use crate::fixtures::*;
use jackdawchute_scheduler::{EndReason, JobOutcome, JobStatus, RowChange, RowTable, StartOrder};

/// Runs a leader of epoch 1 that starts a job of one task; returns the saved rows and the order.
fn rows_and_start_of_predecessor() -> (Vec<RowChange>, StartOrder) {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    let id = "job".into();
    cell.scheduler
        .submit(&id, graph(vec![step(1, 2)]), queue(0), cell.now);
    cell.commit();
    cell.run_round();
    let start = cell.take_starts().remove(0);
    (cell.saved, start)
}

#[test]
fn running_tasks_are_recovered_and_not_restarted() {
    let (rows, start) = rows_and_start_of_predecessor();
    let mut cell = successor(2, &rows, &["w1", "w2"]);

    for renewal in std::mem::take(&mut cell.renewals) {
        let runs_task = renewal.worker == start.worker;
        let listed = runs_task.then(|| running(&start)).into_iter().collect();
        cell.answer_renewal(&renewal, listed, Vec::new());
    }
    cell.tick(50);

    assert!(cell.take_starts().is_empty());
    assert!(cell.take_stops().is_empty());
    assert_eq!(cell.scheduler.status(&"job".into()), JobStatus::Running);
}

/// The worker that has not answered may run the task on an order of the previous leader, so that
/// the task would run twice if it were placed.
#[test]
fn a_task_waits_while_a_worker_that_may_run_it_has_not_answered() {
    let (rows, start) = rows_and_start_of_predecessor();
    let mut cell = successor(2, &rows, &["w1", "w2"]);

    for renewal in std::mem::take(&mut cell.renewals) {
        if renewal.worker != start.worker {
            cell.answer_renewal(&renewal, Vec::new(), Vec::new());
        }
    }
    cell.tick(3_000);

    assert!(cell.take_starts().is_empty());
}

#[test]
fn a_task_that_no_worker_lists_runs_again_with_a_higher_number() {
    let (rows, start) = rows_and_start_of_predecessor();
    let mut cell = successor(2, &rows, &["w1", "w2"]);

    for renewal in std::mem::take(&mut cell.renewals) {
        cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    }
    cell.tick(50);

    let starts = cell.take_starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > start.run);
    assert!(starts[0].token > start.token);
}

/// An earlier leader may have ordered the next number on a worker that this one does not reach; two
/// failures of the same number would count once.
#[test]
fn a_run_after_one_of_an_earlier_leader_has_a_number_of_its_own_epoch() {
    let (rows, start) = rows_and_start_of_predecessor();
    let mut cell = successor(2, &rows, &["w1", "w2"]);
    for renewal in std::mem::take(&mut cell.renewals) {
        let runs_task = renewal.worker == start.worker;
        let listed = runs_task.then(|| running(&start)).into_iter().collect();
        cell.answer_renewal(&renewal, listed, Vec::new());
    }
    cell.tick(50);

    let renewal = cell.latest_renewal_of(&start.worker);
    let end = ended(1, &start, EndReason::Failed);
    cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    cell.commit();
    cell.tick(50);

    let starts = cell.take_starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > start.run + 1, "{}", starts[0].run);
}

#[test]
fn failures_count_in_whatever_order_workers_report_them() {
    let (rows, first) = rows_and_start_of_predecessor();
    let mut cell = successor(2, &rows, &["w1", "w2", "w3"]);
    let run = |number| StartOrder {
        run: number,
        ..first.clone()
    };

    // The end of the third run is reported first.
    for (worker, number) in [("w3", 3), ("w1", 1), ("w2", 2)] {
        let renewal = cell.latest_renewal_of(worker);
        let end = ended(1, &run(number), EndReason::Failed);
        cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    }
    cell.commit();
    cell.tick(50);

    let failed = JobStatus::Ended(JobOutcome::Failed);
    assert_eq!(cell.scheduler.status(&"job".into()), failed);
    assert!(cell.take_starts().is_empty());
}

/// A worker reports an end until it is marked as saved, here three times. If each report counted as
/// a failure, the job would fail after a single one.
#[test]
fn a_run_end_that_is_reported_again_counts_once() {
    let (rows, first) = rows_and_start_of_predecessor();
    let mut cell = successor(2, &rows, &["w1", "w2"]);
    let end = ended(1, &first, EndReason::Failed);

    for _ in 0..3 {
        let renewal = cell.latest_renewal_of("w1");
        cell.answer_renewal(&renewal, Vec::new(), vec![end.clone()]);
        cell.tick(500);
    }
    cell.commit();

    assert_eq!(cell.scheduler.status(&"job".into()), JobStatus::Running);
}

/// A worker deletes the ends that are marked as saved. If that came before the commit, a new leader
/// would not know of them.
#[test]
fn run_ends_are_marked_as_saved_only_after_their_commit() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    cell.tick(1_000);

    let renewal = cell.latest_renewal_of("w1");
    let end = ended(1, &start, EndReason::Succeeded);
    cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    cell.tick(500);
    let saved_before_commit = cell.latest_renewal_of("w1").ends_saved;
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.commit();
    cell.tick(500);
    let saved_after_commit = cell.latest_renewal_of("w1").ends_saved;

    assert_eq!((saved_before_commit, saved_after_commit), (0, 1));
}

/// The previous leader ended before both orders to start arrived. The task that runs would wait for
/// the other one.
#[test]
fn a_gang_of_which_a_task_never_started_is_stopped() {
    let mut previous = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    let id = "job".into();
    let steps = graph(vec![gang(2, 3)]);
    previous
        .scheduler
        .submit(&id, steps, queue(0), previous.now);
    previous.commit();
    previous.run_round();
    let starts = previous.take_starts();
    let rows = previous.saved;
    let mut cell = successor(2, &rows, &["w1", "w2"]);

    for renewal in std::mem::take(&mut cell.renewals) {
        let runs_task = renewal.worker == starts[0].worker;
        let listed = runs_task.then(|| running(&starts[0])).into_iter().collect();
        cell.answer_renewal(&renewal, listed, Vec::new());
    }
    cell.tick(50);

    assert_eq!(starts.len(), 2);
    assert!(cell.take_starts().is_empty());
    assert_eq!(cell.take_stops().len(), 1);
}

/// The size that the store allows for a row, in bytes of its base64 encoding.
const ROW_BYTES_MAX: usize = 65_536;

/// A cell with this number of workers, all idle.
fn large_cell(workers: usize) -> Cell {
    let names: Vec<String> = (0..workers)
        .map(|index| format!("worker-{index}"))
        .collect();
    let entries: Vec<_> = names.iter().map(|name| entry(name, 4)).collect();
    ready_cell(1, &entries)
}

/// Returns the changes of rows of workers.
fn workers_rows(rows: &[RowChange]) -> Vec<&RowChange> {
    let worker_changes = rows.iter().filter(|row| row.table == RowTable::Workers);
    worker_changes.collect()
}

#[test]
fn the_workers_of_a_large_cell_fit_into_rows_of_the_store() {
    let cell = large_cell(6_700);

    let rows = workers_rows(&cell.saved);
    let longest = rows
        .iter()
        .filter_map(|row| row.value.as_ref())
        .map(Vec::len);
    let longest = longest.max().expect("workers are saved").div_ceil(3) * 4;
    assert!(longest <= ROW_BYTES_MAX, "{longest} bytes");
    assert!(rows.len() <= 40, "{} rows", rows.len());
}

#[test]
fn a_worker_that_joins_or_leaves_a_large_cell_changes_one_row() {
    let mut cell = large_cell(1_000);

    cell.scheduler.worker_listed(entry("late", 4), cell.now);
    cell.tick(50);
    let listed = cell.commit();
    let renewal = cell.latest_renewal_of("late");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(50);
    let joined = cell.commit();
    cell.scheduler.worker_unlisted(&"worker-3".into(), cell.now);
    cell.tick(50);
    let left = cell.commit();

    // An entry whose worker has not answered may be of another writer.
    assert_eq!(workers_rows(&listed).len(), 0);
    assert_eq!(workers_rows(&joined).len(), 1);
    assert_eq!(workers_rows(&left).len(), 1);
}

#[test]
fn a_new_leader_of_a_large_cell_waits_for_every_worker_that_was_saved() {
    let mut first = large_cell(600);
    let id = "job".into();
    let job = graph(vec![step(1, 2)]);
    first.scheduler.submit(&id, job, queue(0), first.now);
    first.commit();
    let rows = first.saved;
    let names: Vec<String> = (0..600).map(|index| format!("worker-{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut cell = successor(2, &rows, &names);

    let mut renewed = std::collections::BTreeSet::new();
    for _ in 0..4 {
        for renewal in std::mem::take(&mut cell.renewals) {
            renewed.insert(renewal.worker.clone());
            if renewal.worker != "worker-599" {
                cell.answer_renewal(&renewal, Vec::new(), Vec::new());
            }
        }
        cell.tick(10);
    }
    let starts_before_last_answer = cell.take_starts();

    assert_eq!(renewed.len(), 600);
    assert_eq!(starts_before_last_answer, []);
}
