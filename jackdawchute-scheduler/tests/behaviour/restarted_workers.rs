//! Workers whose new incarnation carries out orders to the former one, or has another clock.

use crate::fixtures::*;
use jackdawchute_scheduler::{EndReason, RenewAnswer, StartAnswer, StartOrder, WorkerEntry};

/// The longest hold of the users' platform: a worker cuts longer leases to it.
const HOLD_MAX_MS: u64 = 10_000;

/// Leaves the renewals of the started task's worker without an answer, and returns when the task
/// starts again.
fn starts_again_after_ms(cell: &mut Cell, start: &StartOrder) -> u64 {
    for elapsed_ms in (0..60_000).step_by(100) {
        for renewal in std::mem::take(&mut cell.renewals) {
            if renewal.worker == start.worker {
                cell.scheduler.renew_failed(&renewal, cell.now, cell.now);
            } else {
                cell.answer_renewal(&renewal, Vec::new(), Vec::new());
            }
        }
        cell.tick(100);
        if !cell.take_starts().is_empty() {
            return elapsed_ms;
        }
    }
    panic!("the task does not start again within a minute");
}

/// The lease in the order ends at a time on the former incarnation's clock, so that the new one cuts
/// it to the longest hold, and no renewal has told the leader of the restart.
#[test]
fn a_task_whose_start_a_new_incarnation_answered_waits_for_the_longest_hold_of_a_silent_worker() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_start(&start, StartAnswer::Started { clock: ms(300) });

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms >= HOLD_MAX_MS, "{again_after_ms} ms");
}

/// The wall clock of a machine may have been set back before its worker restarted.
#[test]
fn tasks_of_a_worker_that_restarted_with_an_earlier_start_time_run_again() {
    let started_at = |started_unix_ms| WorkerEntry {
        started_unix_ms,
        ..entry("w1", 4)
    };
    let mut cell = cell(1, &[started_at(5)]);
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal_of_incarnation(&renewal, 5, Vec::new(), Vec::new());
    cell.tick(1);
    cell.commit();
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);

    cell.scheduler.worker_listed(started_at(2), cell.now);
    for _ in 0..50 {
        for renewal in std::mem::take(&mut cell.renewals) {
            cell.answer_renewal_of_incarnation(&renewal, 2, Vec::new(), Vec::new());
        }
        cell.tick(100);
        cell.commit();
    }

    assert_eq!(cell.take_starts().len(), 1);
}

/// A renewal may be carried out seconds late by a new incarnation, which numbers its run ends from the
/// start again and would delete them unread.
#[test]
fn a_renewal_marks_run_ends_as_saved_only_until_an_answer_has_confirmed_that() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    cell.tick(100);
    let renewal = cell.latest_renewal_of("w1");
    let end = ended(1, &start, EndReason::Succeeded);
    cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    cell.commit();
    cell.tick(100);
    let marking = cell.latest_renewal_of("w1");

    cell.answer_renewal(&marking, Vec::new(), Vec::new());
    cell.tick(100);

    let next = cell.latest_renewal_of("w1");
    assert_eq!((marking.ends_saved, next.ends_saved), (1, 0));
}

/// A late order of the predecessor to a former incarnation may have extended the lease of the one
/// that a new leader hears first, if that one has started lately.
#[test]
fn a_new_leader_counts_the_longest_hold_on_a_worker_whose_incarnation_no_row_names() {
    let mut predecessor = cell(1, &[entry("w1", 4), entry("w2", 4)]);
    predecessor.started_unix_ms = 2;
    let predecessor = make_ready(predecessor, 2);
    let mut cell = make_ready(successor(2, &predecessor.saved, &["w1", "w2"]), 2);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms >= HOLD_MAX_MS, "{again_after_ms} ms");
}

/// The clock of a worker may start at any time, so that it tells nothing of the worker's age.
#[test]
fn a_new_leader_counts_the_lease_that_it_sent_on_a_worker_whose_incarnation_its_row_names() {
    let mut predecessor = cell(1, &[entry("w1", 4), entry("w2", 4)]);
    predecessor.workers_age = ms(300);
    let predecessor = make_ready(predecessor, 2);
    let mut successor = successor(2, &predecessor.saved, &["w1", "w2"]);
    successor.workers_age = ms(400);
    let mut cell = make_ready(successor, 2);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms < HOLD_MAX_MS, "{again_after_ms} ms");
}

/// The answer of the former incarnation to an earlier renewal may arrive after that of the new one to
/// the start. Its clock and its lists say nothing about the new one.
#[test]
fn a_late_answer_of_the_former_incarnation_ends_no_run_that_the_new_one_has_begun() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.tick(5);
    let sent_at = cell.now;
    let renewals = [cell.latest_renewal_of("w1"), cell.latest_renewal_of("w2")];
    let clock = cell.clock();
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.tick(600);
    cell.answer_start(&start, StartAnswer::Started { clock: ms(300) });
    cell.tick(10);
    let renewal = renewals.iter().find(|it| it.worker == start.worker);
    let answer = RenewAnswer {
        started_unix_ms: 1,
        clock,
        running: Vec::new(),
        ended: Vec::new(),
        ends_left_out: 0,
        ended_complete: true,
    };
    let renewal = renewal.expect("both workers are renewed");
    cell.scheduler
        .renew_answered(renewal, sent_at, answer, cell.now);

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms >= HOLD_MAX_MS, "{again_after_ms} ms");
}

/// Two answers may be made within a millisecond, and overtake each other on the way.
#[test]
fn an_answer_that_is_not_known_to_be_newer_ends_no_run() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    cell.tick(5);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, vec![running(&start)], Vec::new());

    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(5);

    assert_eq!(cell.take_starts(), []);
}

/// The order may have been to the former incarnation.
#[test]
fn a_renewal_from_before_a_restart_that_gets_no_answer_says_nothing_of_the_new_incarnation() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.tick(5);
    let (before_restart, sent_at) = (cell.latest_renewal_of("w1"), cell.now);
    cell.tick(500);
    let restarted = WorkerEntry {
        started_unix_ms: 2,
        ..entry("w1", 4)
    };
    cell.scheduler.worker_listed(restarted, cell.now);
    cell.renewals.clear();
    cell.tick(5);
    let first = cell.latest_renewal_of("w1");
    cell.renewals.clear();

    cell.scheduler
        .renew_failed(&before_restart, sent_at, cell.now);
    cell.tick(500);
    let sent_meanwhile = cell.renewals.len();
    cell.workers_age = ms(300);
    cell.answer_renewal_of_incarnation(&first, 2, Vec::new(), Vec::new());
    cell.tick(5);
    let second = cell.latest_renewal_of("w1");
    cell.answer_renewal_of_incarnation(&second, 2, Vec::new(), Vec::new());
    cell.commit();
    cell.accept("job", vec![step(1, 2)], queue(0));

    assert_eq!(sent_meanwhile, 0);
    assert_eq!(cell.take_starts().len(), 1);
}

/// The reading of the former incarnation's clock arrives after the start was sent, and the answer to
/// the start is from the new one.
#[test]
fn a_start_that_a_new_incarnation_answers_after_a_last_answer_of_the_former_one_keeps_its_task() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.tick(5);
    let renewal = cell.latest_renewal_of(&start.worker);
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(400);
    cell.answer_start(&start, StartAnswer::Started { clock: ms(100) });

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms >= HOLD_MAX_MS, "{again_after_ms} ms");
}

/// The clock of the new incarnation is ahead of the former one's, so that the answer to the start does
/// not show the restart; the first renewal that the new one answers does.
#[test]
fn a_task_that_began_in_a_new_incarnation_is_not_given_up_before_that_one_lists_its_runs() {
    const LEASE_MS: u64 = 3_000;
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    for _ in 0..100 {
        for renewal in std::mem::take(&mut cell.renewals) {
            cell.answer_renewal(&renewal, Vec::new(), Vec::new());
        }
        cell.tick(100);
    }
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.tick(400);
    let clock = cell.clock() + ms(300);
    cell.answer_start(&start, StartAnswer::Started { clock });
    let renewal = cell.latest_renewal_of(&start.worker);
    cell.answer_renewal_of_incarnation(&renewal, 2, vec![running(&start)], Vec::new());
    cell.tick(5);

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms >= LEASE_MS, "{again_after_ms} ms");
}

/// The answer to the start was made before that to the renewal, and arrives after it.
#[test]
fn an_answer_to_a_start_that_a_later_answer_overtook_shows_no_restart() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.tick(5);
    let clock_of_start = cell.clock();
    cell.tick(400);
    let renewal = cell.latest_renewal_of(&start.worker);
    cell.answer_renewal(&renewal, vec![running(&start)], Vec::new());
    cell.answer_start(
        &start,
        StartAnswer::Started {
            clock: clock_of_start,
        },
    );

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms < HOLD_MAX_MS, "{again_after_ms} ms");
}

/// What was ordered before the former incarnation was last heard has ended with it.
#[test]
fn runs_of_a_former_incarnation_are_given_up_soon_where_the_new_one_falls_silent_at_once() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    for _ in 0..100 {
        cell.tick(100);
        for renewal in std::mem::take(&mut cell.renewals) {
            let is_its = renewal.worker == start.worker;
            let runs = is_its.then(|| running(&start));
            cell.answer_renewal(&renewal, runs.into_iter().collect(), Vec::new());
        }
    }
    cell.tick(100);
    let renewal = cell.latest_renewal_of(&start.worker);
    cell.answer_renewal_of_incarnation(&renewal, 2, Vec::new(), Vec::new());

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms <= 2_000, "{again_after_ms} ms");
}
