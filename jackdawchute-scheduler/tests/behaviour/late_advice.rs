//! Answers of advisors to requests that were given up.

use jackdawchute_scheduler::{AdviceAnswer, AdviceRequest};

use crate::fixtures::*;

/// An answer that allows these workers.
fn answer(allowed: &[&str]) -> AdviceAnswer {
    let allowed = allowed.iter();
    AdviceAnswer {
        allowed: allowed
            .map(|worker| ((*worker).into(), "ticket".into()))
            .collect(),
    }
}

/// A step whose first request was given up; returns that request, and the one that followed it.
fn step_with_a_request_given_up() -> (Cell, AdviceRequest, AdviceRequest) {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], advised_queue(0));
    let given_up = cell.advice.remove(0);
    cell.scheduler.advice_answered(&given_up, None, cell.now);
    cell.tick(50);
    let repeated = cell.advice.remove(0);
    (cell, given_up, repeated)
}

#[test]
fn a_late_answer_does_not_count_as_that_to_the_request_that_followed() {
    let (mut cell, given_up, _repeated) = step_with_a_request_given_up();

    cell.scheduler
        .advice_answered(&given_up, Some(answer(&[])), cell.now);
    cell.scheduler.worker_listed(entry("w2", 4), cell.now);
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w2");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(1);
    cell.commit();
    cell.tick(50);

    assert!(cell.advice.is_empty(), "{:?}", cell.advice);
}

#[test]
fn the_tickets_of_a_late_answer_are_used() {
    let (mut cell, given_up, _repeated) = step_with_a_request_given_up();

    cell.scheduler
        .advice_answered(&given_up, Some(answer(&["w1"])), cell.now);
    cell.tick(50);

    let starts = cell.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].ticket.as_deref(), Some("ticket"));
}
