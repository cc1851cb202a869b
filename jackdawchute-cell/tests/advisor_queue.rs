//! An advisor is asked no more than it can answer, whoever asked it before.

use std::time::{Duration, Instant};

use jackdawchute_cell::AdvisorQueue;

/// How long each question takes.
const EXPECTED: Duration = Duration::from_millis(500);

/// A queue with as many questions as are taken at a time.
fn full_queue(now: Instant) -> AdvisorQueue {
    let mut queue = AdvisorQueue::default();
    while queue.push(EXPECTED, now).is_ok() {}
    queue
}

#[test]
fn a_question_beyond_the_backlog_is_turned_away_with_a_time() {
    let now = Instant::now();
    let mut queue = full_queue(now);

    let busy = queue.push(EXPECTED, now).unwrap_err();
    let later = queue.push(EXPECTED, now + busy.free_in);

    assert_eq!(busy.free_in, queue.free_in(now) - EXPECTED);
    assert!(later.is_ok());
}

#[test]
fn questions_that_were_given_up_still_take_the_advisors_time() {
    let now = Instant::now();
    let mut queue = full_queue(now);
    let before = queue.free_in(now);

    let given_up = now + before;
    queue.timed_out(given_up);

    assert_eq!(queue.free_in(given_up), before);
}

#[test]
fn an_answer_tells_that_all_earlier_questions_are_done_with() {
    let now = Instant::now();
    let mut queue = AdvisorQueue::default();
    queue.push(EXPECTED, now).unwrap();
    let second = queue.push(EXPECTED, now).unwrap();
    queue.push(EXPECTED, now).unwrap();

    queue.answered(second, now + EXPECTED);

    assert_eq!(queue.free_in(now + EXPECTED), EXPECTED);
}

#[test]
fn an_advisor_that_never_answers_is_asked_again_after_a_while() {
    let now = Instant::now();
    let mut queue = full_queue(now);
    queue.timed_out(now);

    let later = now + queue.free_in(now);

    assert!(queue.push(EXPECTED, later).is_ok());
    assert_eq!(queue.free_in(later), EXPECTED);
}
