//! Workers with more unsaved run ends than they list at a time.

use jackdawchute_scheduler::{EndReason, StartOrder};

use crate::fixtures::*;

/// A cell on whose worker `w1` both tasks of a job run, and the orders to start them; `w2` has
/// space for either.
fn cell_with_two_runs() -> (Cell, Vec<StartOrder>) {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(2, 2)], queue(0));
    let starts = cell.take_starts();
    for start in &starts {
        cell.confirm_start(start);
    }
    cell.scheduler.worker_listed(entry("w2", 4), cell.now);
    cell.tick(1_000);
    let renewal = cell.latest_renewal_of("w2");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(1);
    (cell, starts)
}

/// During an outage of the store no run end is saved, and a worker lists the first 500 alone. Tasks
/// whose ends came later were taken for lost and started again.
#[test]
fn a_run_in_neither_list_is_not_lost_while_the_list_of_ends_is_cut_off() {
    let (mut cell, starts) = cell_with_two_runs();
    cell.commit();
    let ends: Vec<_> = (1..)
        .zip(&starts)
        .map(|(number, start)| ended(number, start, EndReason::Succeeded))
        .collect();

    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal_with_first_ends(&renewal, ends[..1].to_vec());
    cell.tick(500);
    let started_again = cell.take_starts();
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal_with_first_ends(&renewal, ends[..1].to_vec());
    cell.commit();
    cell.tick(500);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, Vec::new(), ends[1..].to_vec());
    cell.commit();

    assert_eq!(started_again, []);
    assert_eq!(renewal.ends_saved, 1);
    let completed = jackdawchute_scheduler::JobOutcome::Completed;
    let status = cell.scheduler.status(&"job".into());
    assert_eq!(status, jackdawchute_scheduler::JobStatus::Ended(completed));
}

/// A new leader took the first answer of a worker for its whole report.
#[test]
fn a_new_leader_waits_for_the_rest_of_a_list_of_ends_that_is_cut_off() {
    let (mut first, starts) = cell_with_two_runs();
    first.commit();
    let mut cell = successor(2, &first.saved, &["w1", "w2"]);
    let ends: Vec<_> = (1..)
        .zip(&starts)
        .map(|(number, start)| ended(number, start, EndReason::Succeeded))
        .collect();

    for renewal in std::mem::take(&mut cell.renewals) {
        if renewal.worker == "w1" {
            cell.answer_renewal_with_first_ends(&renewal, ends[..1].to_vec());
        } else {
            cell.answer_renewal(&renewal, Vec::new(), Vec::new());
        }
    }
    cell.tick(50);
    cell.commit();
    cell.tick(500);
    let started_before_rest = cell.take_starts();
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, Vec::new(), ends[1..].to_vec());
    cell.tick(50);

    assert_eq!(started_before_rest, []);
    assert_eq!(cell.take_starts(), []);
}
