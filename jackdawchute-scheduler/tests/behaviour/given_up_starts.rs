//! Starts without an answer whose workers answer and refuse them: a later incarnation, which knows
//! nothing of that, may still carry them out.

use std::time::Duration;

use jackdawchute_scheduler::{EndReason, StartAnswer, StartOrder, StartRefusal, StepSpec};

use crate::{
    fixtures::*,
    late_orders::*,
    late_tickets::{allow_w1, list_w1_as_restarted},
};

/// The longest time in which a task whose start is given up starts again while its worker answers.
const RETRY_MAX: Duration = Duration::from_millis(500);

/// A cell whose worker w1 has confirmed the stop of a start without an answer, and runs the task since
/// under the next number; w2 runs nothing. Returns how long the second start took.
fn cell_with_a_given_up_start() -> (Cell, StartOrder, Duration) {
    let (mut cell, _) = cell_with_an_unanswered_start();
    let (again, took) = give_start_up(&mut cell, &[]);
    add_worker(&mut cell, "w2");
    (cell, again, took)
}

/// Refuses the repeated start of a task on w1, which runs these tasks, and confirms its stop; returns
/// the next start there and how long it took.
fn give_start_up(cell: &mut Cell, running: &[StartOrder]) -> (StartOrder, Duration) {
    cell.tick(200);
    let repeated = cell.take_starts().remove(0);
    let refused = StartAnswer::Refused {
        reason: StartRefusal::NoRoom,
        clock: Some(cell.clock()),
    };
    cell.answer_start(&repeated, refused);
    let mut workers = Workers::new(None, running);
    let took = workers.wait_for_start(cell, "job");
    let again = workers.starts().remove(0);
    assert_eq!(again.worker, "w1");
    assert!(again.run > repeated.run);
    (again, took)
}

#[test]
fn a_task_whose_start_was_given_up_starts_again_at_once_while_its_worker_answers() {
    let (_, _, took) = cell_with_a_given_up_start();

    assert!(took <= RETRY_MAX, "{took:?}");
}

/// The worker may have restarted, and carry the first order out behind a cut.
#[test]
fn a_task_whose_start_was_given_up_starts_nowhere_else_while_a_later_incarnation_may_begin_it() {
    let (mut cell, _, _) = cell_with_a_given_up_start();

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took >= LATE_ORDER_MAX + HOLD_MAX, "{took:?}");
}

#[test]
fn a_task_starts_elsewhere_with_the_lease_once_its_given_up_start_can_not_be_late_any_more() {
    let (mut cell, again, _) = cell_with_a_given_up_start();
    let mut workers = Workers::new(None, &[again]);
    while workers.passed < LATE_ORDER_MAX + ms(1_000) {
        workers.step(&mut cell);
    }

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(workers.starts().is_empty());
    assert!(took <= LAPSE_MAX, "{took:?}");
}

/// The incarnation that refuses the order is not the last one.
#[test]
fn a_start_that_a_restarted_worker_refuses_keeps_its_task_once_that_worker_is_silent() {
    let (mut cell, _) = cell_with_an_unanswered_start();
    restart(&mut cell);
    cell.commit();
    cell.tick(1);
    let again = cell.take_starts().remove(0);
    cell.confirm_start(&again);
    add_worker(&mut cell, "w2");

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert_eq!(again.worker, "w1");
    assert!(took >= LATE_ORDER_MAX + HOLD_MAX, "{took:?}");
}

#[test]
fn a_successor_does_not_start_a_task_elsewhere_that_a_given_up_start_may_begin() {
    let (mut earlier, _, _) = cell_with_a_given_up_start();
    earlier.commit();
    let mut cell = successor(2, &earlier.saved, &["w1", "w2"]);

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took >= LATE_ORDER_MAX + HOLD_MAX, "{took:?}");
}

/// The end of the other task writes the row of both anew.
#[test]
fn a_row_that_is_written_after_a_start_was_given_up_names_it_still() {
    let mut earlier = ready_cell(1, &[entry("w1", 4)]);
    let steps = vec![StepSpec {
        tasks: 2,
        ..long_step()
    }];
    earlier.accept("job", steps, queue(0));
    let mut starts = earlier.take_starts();
    let (unanswered, other) = (starts.remove(0), starts.remove(0));
    earlier.confirm_start(&other);
    earlier.answer_start(&unanswered, StartAnswer::Unknown);
    let (again, _) = give_start_up(&mut earlier, std::slice::from_ref(&other));
    earlier.commit();
    let renewal = earlier.latest_renewal_of("w1");
    let ends = vec![ended(1, &other, EndReason::Succeeded)];
    earlier.answer_renewal(&renewal, vec![running(&again)], ends);
    let written = earlier.commit().len();
    let mut cell = successor(2, &earlier.saved, &["w1", "w2"]);

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(written > 0);
    assert!(took >= LATE_ORDER_MAX + HOLD_MAX, "{took:?}");
}

#[test]
fn a_successor_that_hears_the_worker_of_a_given_up_start_starts_its_task_at_once() {
    let (mut earlier, _, _) = cell_with_a_given_up_start();
    earlier.commit();
    let mut cell = successor(2, &earlier.saved, &["w1", "w2"]);

    let took = Workers::new(None, &[]).wait_for_start(&mut cell, "job");

    assert!(took <= RETRY_MAX, "{took:?}");
}

/// The worker that refused the start was the one that the ticket is for, or a later one, so that the
/// incarnation that is listed since refuses the ticket.
#[test]
fn a_task_whose_given_up_start_had_a_ticket_starts_elsewhere_with_the_lease() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![long_step()], advised_queue(0));
    let start = allow_w1(&mut cell);
    cell.answer_start(&start, StartAnswer::Unknown);
    give_start_up(&mut cell, &[]);
    add_worker(&mut cell, "w2");
    list_w1_as_restarted(&mut cell);

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(start.ticket.is_some());
    assert!(took <= LAPSE_MAX, "{took:?}");
}

#[test]
fn a_task_that_runs_elsewhere_goes_on_when_the_worker_of_its_given_up_start_falls_silent() {
    let (mut cell, _) = cell_with_an_unanswered_start();
    add_worker(&mut cell, "w2");
    cell.scheduler.worker_unlisted(&"w1".into(), cell.now);
    let mut workers = Workers::new(None, &[]);
    workers.wait_for_start(&mut cell, "job");
    let elsewhere = workers.starts().remove(0);
    let mut workers = Workers::new(Some("w1"), std::slice::from_ref(&elsewhere));
    let mut stops = Vec::new();

    while workers.passed < LATE_ORDER_MAX {
        workers.step(&mut cell);
        stops.extend(cell.stops.iter().map(|stop| stop.worker.clone()));
    }

    assert_eq!(elsewhere.worker, "w2");
    assert!(!stops.contains(&elsewhere.worker), "{stops:?}");
    assert!(workers.starts().is_empty());
}
