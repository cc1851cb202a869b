//! Workers whose new incarnation carries out orders to the former one, or has another clock.

use crate::fixtures::*;
use jackdawchute_scheduler::{EndReason, StartAnswer, WorkerEntry};

/// The longest hold of the users' platform: a worker cuts longer leases to it.
const HOLD_MAX_MS: u64 = 10_000;

/// The lease in the order ends at a time on the former incarnation's clock, so that the new one cuts
/// it to the longest hold, and no renewal has told the leader of the restart.
#[test]
fn a_task_whose_start_a_new_incarnation_answered_waits_for_the_longest_hold_of_a_silent_worker() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_start(&start, StartAnswer::Started { clock: ms(300) });

    let mut again_after_ms = None;
    for elapsed_ms in (0..60_000).step_by(100) {
        for renewal in std::mem::take(&mut cell.renewals) {
            if renewal.worker == start.worker {
                cell.scheduler.renew_failed(&renewal.worker, cell.now);
            } else {
                cell.answer_renewal(&renewal, Vec::new(), Vec::new());
            }
        }
        cell.tick(100);
        if !cell.take_starts().is_empty() {
            again_after_ms = Some(elapsed_ms);
            break;
        }
    }

    let again_after_ms = again_after_ms.expect("the task starts again within a minute");
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
