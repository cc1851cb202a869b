//! New leaders after an outage of the store, when the platform's list lacks workers that are alive.

use jackdawchute_scheduler::{EndReason, RowChange, StartOrder};

use crate::fixtures::*;

/// Rows of a leader of epoch 1 that has started a job of one task on `w1`, and the order.
fn rows_of_leader_with_running_task() -> (Vec<RowChange>, StartOrder) {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    (cell.saved, start)
}

/// Lets the workers other than `w1` answer all renewals for a second.
fn answer_all_but_w1(cell: &mut Cell) {
    for _ in 0..20 {
        let renewals = std::mem::take(&mut cell.renewals);
        let (to_w1, others): (Vec<_>, Vec<_>) = renewals
            .into_iter()
            .partition(|renewal| renewal.worker == "w1");
        cell.renewals = to_w1;
        for renewal in others {
            cell.answer_renewal(&renewal, Vec::new(), Vec::new());
        }
        cell.tick(50);
    }
}

/// The entries of workers expire during an outage of the store, and are back one by one after it. A
/// leader that saved its workers before all were back left the others out, and the next one
/// started their tasks again.
#[test]
fn a_leader_saves_workers_that_are_not_listed_and_have_not_answered() {
    let (rows, _) = rows_of_leader_with_running_task();
    let mut second = successor(2, &rows, &["w2"]);
    answer_all_but_w1(&mut second);
    second.commit();

    let mut third = successor(3, &second.saved, &["w2"]);
    for _ in 0..3 {
        answer_all_but_w1(&mut third);
        third.commit();
    }

    assert_eq!(third.take_starts(), []);
}

/// A worker whose run ends are not saved yet was left out of the rows once it was not listed, so
/// that the next leader did not learn of the ends and started the tasks again.
#[test]
fn a_leader_saves_an_unlisted_worker_until_its_run_ends_are_saved() {
    let (rows, start) = rows_of_leader_with_running_task();
    let mut second = successor(2, &rows, &["w1", "w2"]);
    answer_all_but_w1(&mut second);
    second.commit();
    let renewal = second.latest_renewal_of("w1");
    let end = ended(1, &start, EndReason::Succeeded);
    second.answer_renewal(&renewal, Vec::new(), vec![end]);
    second.scheduler.worker_unlisted(&"w1".into(), second.now);
    second.tick(50);

    // The commit of the row of workers succeeds, that of the run end after it does not.
    let batch = second.scheduler.take_batch(1, 1_000_000, 0);
    let saved = batch.map(|batch| batch.changes).unwrap_or_default();
    let rows = [second.saved, saved].concat();
    let mut third = successor(3, &rows, &["w2"]);
    answer_all_but_w1(&mut third);

    assert_eq!(third.take_starts(), []);
}

/// A worker that joined shortly before its leader was replaced got tasks before it was saved, and
/// the next leader, which did not know it, started them again.
#[test]
fn a_worker_gets_no_task_before_it_is_saved() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("first", vec![step(1, 4)], queue(0));
    cell.accept("second", vec![step(1, 4)], queue(0));
    cell.take_starts();
    cell.scheduler.worker_listed(entry("w2", 4), cell.now);
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w2");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());

    cell.tick(50);
    let before = cell.take_starts();
    cell.commit();
    cell.tick(50);
    let after = cell.take_starts();

    assert_eq!(before, []);
    assert_eq!(after.len(), 1);
    assert_eq!(after[0].worker, "w2");
}

/// An entry that names an address without a worker delayed the tasks of all recovered jobs by the
/// length of a lease, at each takeover.
#[test]
fn a_recovery_does_not_wait_for_listed_workers_that_were_never_saved() {
    let (rows, _) = rows_of_leader_with_running_task();
    let mut second = successor(2, &rows, &["w1", "w2", "odd"]);

    for renewal in std::mem::take(&mut second.renewals) {
        if renewal.worker != "odd" {
            second.answer_renewal(&renewal, Vec::new(), Vec::new());
        }
    }
    second.tick(50);
    second.commit();
    second.tick(50);

    assert_eq!(second.take_starts().len(), 1);
}
