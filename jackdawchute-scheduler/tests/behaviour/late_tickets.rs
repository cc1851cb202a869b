//! Starts with tickets that got no answer: a ticket may be for an incarnation that no leader has heard.

use std::time::Duration;

use jackdawchute_scheduler::{AdviceAnswer, StartAnswer, StartOrder, WorkerEntry};

use crate::{fixtures::*, late_orders::*};

/// How long tickets are valid.
const VALID: Duration = Duration::from_millis(2_500);

/// Answers the request for advice about w1, and returns the start there.
pub fn allow_w1(cell: &mut Cell) -> StartOrder {
    let request = cell.advice.remove(0);
    let answer = AdviceAnswer {
        allowed: vec![("w1".into(), "ticket".into())],
    };
    cell.scheduler
        .advice_answered(&request, Some(answer), cell.now);
    cell.run_round();
    cell.take_starts().remove(0)
}

/// The platform lists an incarnation of w1 that no leader has heard.
pub fn list_w1_as_restarted(cell: &mut Cell) {
    let restarted = WorkerEntry {
        started_unix_ms: 2,
        ..entry("w1", 4)
    };
    cell.scheduler.worker_listed(restarted, cell.now);
}

/// A ticket for another incarnation would be for one that the platform lists.
#[test]
fn a_start_with_a_ticket_is_given_up_with_the_lease() {
    let (mut cell, start) = cell_with_an_advised_start(VALID);
    cell.answer_start(&start, StartAnswer::Unknown);
    add_worker(&mut cell, "w2");

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(start.ticket.is_some());
    assert!(took <= LAPSE_MAX, "{took:?}");
}

/// The ticket may be for an incarnation that the leader has not heard, and no later one takes it.
#[test]
fn a_start_with_a_ticket_is_given_up_once_a_lease_from_its_last_moment_has_lapsed() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![long_step()], advised_queue(0));
    let start = allow_w1(&mut cell);
    cell.answer_start(&start, StartAnswer::Unknown);
    add_worker(&mut cell, "w2");
    list_w1_as_restarted(&mut cell);

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    let valid = advised_queue(0).advice.expect("it needs advice").valid;
    assert!(start.ticket.is_some());
    assert!(took >= valid + HOLD_MAX, "{took:?}");
    assert!(took <= valid + HOLD_MAX + ms(1_500), "{took:?}");
}

/// The answer of the worker is from the incarnation that the ticket is for, or from a later one.
#[test]
fn a_start_with_a_ticket_is_given_up_by_a_worker_that_lists_its_runs() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![long_step()], advised_queue(0));
    let start = allow_w1(&mut cell);
    cell.answer_start(&start, StartAnswer::Unknown);
    cell.answer_start(&start, StartAnswer::NotDelivered);
    add_worker(&mut cell, "w2");

    let took = Workers::new(None, &[]).wait_for_start(&mut cell, "job");

    assert!(took <= LAPSE_MAX, "{took:?}");
}

/// The start without a ticket may be carried out later, and extends the lease of all tasks there.
#[test]
fn a_start_with_a_ticket_is_not_given_up_while_another_start_may_extend_its_lease() {
    let (mut cell, _) = cell_with_an_unanswered_start();
    cell.accept("advised", vec![long_step()], advised_queue(0));
    let start = allow_w1(&mut cell);
    cell.answer_start(&start, StartAnswer::Unknown);
    add_worker(&mut cell, "w2");
    list_w1_as_restarted(&mut cell);

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "advised");

    assert!(took >= LATE_ORDER_MAX + HOLD_MAX, "{took:?}");
}

/// A cell whose only worker got a start with a ticket, of a queue whose tickets are valid for `valid`.
fn cell_with_an_advised_start(valid: Duration) -> (Cell, StartOrder) {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    let mut advised = advised_queue(0);
    advised.advice.as_mut().expect("it needs advice").valid = valid;
    cell.accept("job", vec![long_step()], advised);
    let start = allow_w1(&mut cell);
    (cell, start)
}

#[test]
fn a_new_leader_waits_for_a_start_with_a_ticket_as_long_as_that_is_valid() {
    let (mut predecessor, start) = cell_with_an_advised_start(VALID);
    predecessor.answer_start(&start, StartAnswer::Unknown);
    predecessor.commit();
    let mut cell = successor(2, &predecessor.saved, &["w1", "w2"]);
    list_w1_as_restarted(&mut cell);

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took >= VALID + HOLD_MAX, "{took:?}");
    assert!(took < LATE_ORDER_MAX + HOLD_MAX, "{took:?}");
}

/// The start may be known to have no answer only after the ticket has expired.
#[test]
fn the_ticket_of_a_start_is_valid_from_when_the_start_was_sent() {
    const ANSWER_TIME: Duration = Duration::from_millis(2_000);
    let (mut cell, start) = cell_with_an_advised_start(VALID);
    cell.tick(2_000);
    cell.answer_start(&start, StartAnswer::Unknown);
    add_worker(&mut cell, "w2");
    list_w1_as_restarted(&mut cell);

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    let since_sent = took + ANSWER_TIME;
    assert!(since_sent >= VALID + HOLD_MAX, "{since_sent:?}");
    assert!(since_sent <= VALID + HOLD_MAX + ms(1_500), "{since_sent:?}");
}

/// No order is carried out later than that, however long the ticket is valid.
#[test]
fn a_start_with_a_long_ticket_waits_no_longer_than_one_without() {
    let (mut cell, start) = cell_with_an_advised_start(Duration::from_secs(60));
    cell.answer_start(&start, StartAnswer::Unknown);
    add_worker(&mut cell, "w2");
    list_w1_as_restarted(&mut cell);

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took >= LATE_ORDER_MAX + HOLD_MAX, "{took:?}");
    assert!(took <= LATE_ORDER_MAX + HOLD_MAX + ms(1_500), "{took:?}");
}

/// The order was under way when the lease that its leader had counted on lapsed.
#[test]
fn a_start_with_a_ticket_that_is_under_way_as_its_run_is_given_up_keeps_its_task() {
    let (mut cell, _) = cell_with_an_advised_start(VALID);
    add_worker(&mut cell, "w2");
    list_w1_as_restarted(&mut cell);

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took >= VALID + HOLD_MAX, "{took:?}");
}

/// A worker that has listed the run holds a lease of the incarnation that was heard.
#[test]
fn a_run_that_was_listed_after_its_ticket_expired_is_given_up_with_the_lease() {
    let (mut cell, start) = cell_with_an_advised_start(VALID);
    cell.answer_start(&start, StartAnswer::Unknown);
    let mut workers = Workers::new(None, std::slice::from_ref(&start));
    while workers.passed < ms(4_000) {
        workers.step(&mut cell);
    }
    add_worker(&mut cell, "w2");

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(took <= LAPSE_MAX, "{took:?}");
}

/// The renewal is carried out late by the incarnation that has begun the task.
#[test]
fn a_start_with_a_ticket_waits_for_an_extension_without_an_answer() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("runs", vec![long_step()], queue(0));
    let first = cell.take_starts().remove(0);
    cell.confirm_start(&first);
    cell.tick(1_000);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, vec![running(&first)], Vec::new());
    cell.tick(1);
    let extension = cell.latest_renewal_of("w1");
    cell.accept("job", vec![long_step()], advised_queue(0));
    let start = allow_w1(&mut cell);
    cell.answer_start(&start, StartAnswer::Unknown);
    cell.scheduler.extension_unanswered(&extension, cell.now);
    cell.renewals.push(extension.clone());
    add_worker(&mut cell, "w2");
    list_w1_as_restarted(&mut cell);

    let took = Workers::new(Some("w1"), &[]).wait_for_start(&mut cell, "job");

    assert!(extension.lease_until.is_some());
    assert!(took >= LATE_ORDER_MAX + HOLD_MAX, "{took:?}");
}
