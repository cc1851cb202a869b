//! The queue of an advisor bounds its backlog, which includes requests that have timed out.

use std::time::{Duration, Instant};

use jackdawchute_cell::AdvisorQueue;

/// The expected time of each request.
const EXPECTED: Duration = Duration::from_millis(500);

/// Returns a queue that refuses a further request.
fn full_queue(now: Instant) -> AdvisorQueue {
    let mut queue = AdvisorQueue::default();
    while queue.push(EXPECTED, now).is_ok() {}
    queue
}

#[test]
fn a_request_beyond_the_backlog_is_refused_with_the_time_until_it_is_accepted() {
    let now = Instant::now();
    let mut queue = full_queue(now);

    let busy = queue.push(EXPECTED, now).unwrap_err();
    let later = queue.push(EXPECTED, now + busy.free_in);

    assert_eq!(busy.free_in, queue.free_in(now) - EXPECTED);
    assert!(later.is_ok());
}

#[test]
fn timed_out_requests_stay_in_the_backlog() {
    let now = Instant::now();
    let mut queue = full_queue(now);
    let before = queue.free_in(now);

    let timed_out_at = now + before;
    queue.timed_out(timed_out_at);

    assert_eq!(queue.free_in(timed_out_at), before);
}

#[test]
fn an_answer_removes_all_earlier_requests_from_the_backlog() {
    let now = Instant::now();
    let mut queue = AdvisorQueue::default();
    queue.push(EXPECTED, now).unwrap();
    let second = queue.push(EXPECTED, now).unwrap();
    queue.push(EXPECTED, now).unwrap();

    queue.answered(second, now + EXPECTED);

    assert_eq!(queue.free_in(now + EXPECTED), EXPECTED);
}

#[test]
fn an_advisor_that_never_answers_gets_a_request_again_after_its_backlog() {
    let now = Instant::now();
    let mut queue = full_queue(now);
    queue.timed_out(now);

    let later = now + queue.free_in(now);

    assert!(queue.push(EXPECTED, later).is_ok());
    assert_eq!(queue.free_in(later), EXPECTED);
}
