//! The number of jobs that wait, as told to callers.

use jackdawchute_scheduler::{JobStatus, StartAnswer};

use crate::fixtures::*;

/// A job counted as started once an order was sent, though its worker did not answer for as long as
/// its lease lasted, so that callers were told that no job waited while several did.
#[test]
fn a_job_waits_until_a_worker_has_started_one_of_its_tasks() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);

    let ordered = cell.scheduler.pending_jobs("queue-0");
    cell.answer_start(&start, StartAnswer::Unknown);
    let unanswered = cell.scheduler.pending_jobs("queue-0");
    cell.tick(200);
    let repeated = cell.take_starts().remove(0);
    cell.confirm_start(&repeated);
    let confirmed = cell.scheduler.pending_jobs("queue-0");

    assert_eq!((ordered, unanswered, confirmed), (1, 1, 0));
}

/// The answer to the order was lost, and the worker lists the task.
#[test]
fn a_job_no_longer_waits_once_a_worker_lists_one_of_its_tasks() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_start(&start, StartAnswer::Unknown);
    cell.tick(50);

    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, vec![running(&start)], Vec::new());

    assert_eq!(cell.scheduler.pending_jobs("queue-0"), 0);
    assert_eq!(cell.scheduler.status(&"job".into()), JobStatus::Running);
}
