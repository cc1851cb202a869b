//! What happens to tasks whose worker does not answer, or started anew.

use crate::fixtures::*;
use jackdawchute_scheduler::{EndReason, StartAnswer, StartRefusal, WorkerEntry};

#[test]
fn tasks_of_a_silent_worker_run_elsewhere_once_its_lease_has_lapsed() {
    let mut cell = settled_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm(&start);
    cell.scheduler.worker_listed(entry("w2", 4), cell.now);
    cell.tick(1);
    let renewal = cell.renewal_of("w2");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());

    let mut restarted_after_ms = None;
    for elapsed_ms in (0..12_000).step_by(100) {
        for renewal in std::mem::take(&mut cell.renewals) {
            if renewal.worker == "w1" {
                cell.scheduler.renew_failed(&renewal.worker, cell.now);
            } else {
                cell.answer_renewal(&renewal, Vec::new(), Vec::new());
            }
        }
        cell.tick(100);
        if let Some(restart) = cell.take_starts().pop() {
            restarted_after_ms = Some((elapsed_ms, restart));
            break;
        }
    }

    let (elapsed_ms, restart) = restarted_after_ms.expect("the task runs again");
    assert_eq!(restart.worker, "w2");
    assert!(restart.run > start.run);
    assert!(
        elapsed_ms >= 3_900,
        "the lease may still hold: {elapsed_ms} ms"
    );
    assert!(elapsed_ms <= 6_000, "{elapsed_ms} ms");
}

#[test]
fn an_order_to_an_earlier_life_is_barred_by_a_higher_token_before_the_task_runs_again() {
    let mut cell = settled_cell(1, &[entry("w1", 4)]);
    cell.tick(5);
    let first_renewal = cell.renewal_of("w1");
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_start(&start, StartAnswer::Unknown);

    cell.answer_renewal_of_incarnation(&first_renewal, 2, Vec::new(), Vec::new());
    cell.tick(5);
    let second_renewal = cell.renewal_of("w1");
    let before_fence = cell.take_starts();
    cell.answer_renewal_of_incarnation(&second_renewal, 2, Vec::new(), Vec::new());
    cell.tick(5);
    let after_fence = cell.take_starts();

    assert!(before_fence.is_empty(), "{before_fence:?}");
    assert!(second_renewal.token > start.token);
    assert_eq!(after_fence.len(), 1);
    assert_eq!(after_fence[0].token, second_renewal.token);
}

#[test]
fn a_start_without_an_answer_is_repeated_as_it_was() {
    let mut cell = settled_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);

    cell.answer_start(&start, StartAnswer::Unknown);
    cell.tick(200);

    let again = cell.take_starts();
    assert_eq!(again.len(), 1);
    assert_eq!((&again[0].worker, again[0].run), (&start.worker, start.run));
}

#[test]
fn a_refused_start_after_an_unanswered_one_is_barred_before_the_task_runs_elsewhere() {
    let mut cell = settled_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_start(&start, StartAnswer::Unknown);
    cell.tick(200);
    cell.take_starts();

    let refused = StartAnswer::Refused {
        reason: StartRefusal::NoRoom,
        clock: Some(cell.clock()),
    };
    cell.answer_start(&start, refused);
    cell.tick(1);

    assert!(cell.take_starts().is_empty());
    let stops = cell.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!((&stops[0].worker, stops[0].run), (&start.worker, start.run));
}

/// Lets two tasks run on a worker while it answers looks with some progress a second.
fn tasks_with_progress(percent_a_second: u32) -> (Cell, Vec<jackdawchute_scheduler::StartOrder>) {
    let mut cell = settled_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(2, 2)], queue(0));
    let starts = cell.take_starts();
    for start in &starts {
        cell.confirm(start);
    }
    for second in 0..4 {
        cell.tick(1_000);
        let percent = (second * percent_a_second).min(99);
        let listed = starts.iter().map(|start| {
            let mut task = running(start);
            task.percent = percent;
            task
        });
        let listed = listed.collect();
        let renewal = cell.renewal_of("w1");
        cell.answer_renewal(&renewal, listed, Vec::new());
        cell.run_round();
    }
    (cell, starts)
}

#[test]
fn tasks_are_moved_from_a_worker_on_which_they_stand_still() {
    let (mut cell, starts) = tasks_with_progress(0);

    let stops = cell.take_stops();

    assert_eq!(stops.len(), starts.len());
    cell.accept("next", vec![step(1, 1)], queue(0));
    assert!(cell.take_starts().is_empty(), "the worker gets new tasks");
}

#[test]
fn tasks_that_take_half_as_long_again_stay_where_they_are() {
    let (mut cell, _) = tasks_with_progress(66);

    assert!(cell.take_stops().is_empty());
}

#[test]
fn a_look_after_one_that_failed_is_answered_at_once_and_lets_the_worker_forget_nothing() {
    let mut cell = settled_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm(&start);
    cell.tick(100);
    let renewal = cell.renewal_of("w1");
    let end = ended(1, &start, EndReason::Succeeded);
    cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    cell.commit();
    cell.tick(100);
    let saved = cell.renewal_of("w1");

    cell.scheduler.renew_failed(&saved.worker, cell.now);
    cell.tick(300);

    let next = cell.renewal_of("w1");
    assert_eq!((saved.ends_saved, next.ends_saved), (1, 0));
    assert_eq!(next.wait, ms(0));
}

#[test]
fn a_worker_that_is_listed_with_a_new_life_gets_no_task_before_a_look_has_met_it() {
    let mut cell = settled_cell(1, &[entry("w1", 4)]);
    cell.tick(100);
    let waiting = cell.renewal_of("w1");
    let restarted = WorkerEntry {
        started_unix_ms: 2,
        ..entry("w1", 4)
    };

    cell.scheduler.worker_listed(restarted, cell.now);
    cell.accept("job", vec![step(1, 2)], queue(0));
    cell.tick(10);
    let before = cell.take_starts();
    let look = cell.renewal_of("w1");
    cell.answer_renewal_of_incarnation(&look, 2, Vec::new(), Vec::new());
    cell.tick(10);
    let look_again = cell.renewal_of("w1");
    cell.answer_renewal_of_incarnation(&look_again, 2, Vec::new(), Vec::new());
    cell.answer_renewal_of_incarnation(&waiting, 2, Vec::new(), Vec::new());
    cell.tick(10);

    assert_eq!(before, []);
    assert_eq!((look.ends_saved, look.wait), (0, ms(0)));
    assert_eq!(cell.take_starts().len(), 1);
}
