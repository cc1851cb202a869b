//! Repeats of an order to start whose first copy has begun the run.

use jackdawchute_scheduler::{StartAnswer, StartOrder, StartRefusal, StepSpec};

use crate::fixtures::*;

/// A task that takes three of four cores of a worker and runs for as long as a test does.
fn large_step() -> StepSpec {
    StepSpec {
        estimate: ms(60_000),
        ..step(1, 3)
    }
}

/// A cell of `workers` in which w1 lists the run of a start, while the order is repeated as its
/// first copy got no answer.
fn cell_with_a_listed_run_and_a_repeat_under_way(workers: &[&str]) -> (Cell, StartOrder) {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![large_step()], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_start(&start, StartAnswer::Unknown);
    for worker in workers {
        cell.scheduler.worker_listed(entry(worker, 4), cell.now);
        cell.tick(1);
        let renewal = cell.latest_renewal_of(worker);
        cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    }
    cell.tick(200);
    cell.commit();
    let repeat = cell.take_starts().remove(0);
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, vec![running(&start)], Vec::new());
    cell.tick(1);
    (cell, repeat)
}

/// Returns the starts that follow this answer to the repeat.
fn starts_after(answer: StartAnswer) -> Vec<StartOrder> {
    let (mut cell, repeat) = cell_with_a_listed_run_and_a_repeat_under_way(&["w2"]);
    cell.answer_start(&repeat, answer);
    cell.tick(10);
    cell.take_starts()
}

fn refused(reason: StartRefusal) -> StartAnswer {
    StartAnswer::Refused {
        reason,
        clock: Some(ms(10_300)),
    }
}

/// The first copy had reached the worker before the connection failed.
#[test]
fn a_listed_run_is_kept_when_the_repeat_of_its_start_is_not_delivered() {
    let starts = starts_after(StartAnswer::NotDelivered);

    assert_eq!(starts, []);
}

#[test]
fn a_listed_run_is_kept_when_the_repeat_of_its_start_is_refused() {
    let reasons = [
        StartRefusal::Other,
        StartRefusal::NoRoom,
        StartRefusal::Ticket,
        StartRefusal::Late,
        StartRefusal::Superseded,
    ];

    let starts = reasons.map(|reason| starts_after(refused(reason)));

    assert!(starts.iter().all(Vec::is_empty), "{starts:?}");
}

#[test]
fn a_listed_run_is_kept_when_the_repeat_of_its_start_is_not_sent() {
    let starts = starts_after(StartAnswer::NotSent);

    assert_eq!(starts, []);
}

/// The capacity of the run must not be given to another task.
#[test]
fn a_worker_gets_no_task_in_place_of_a_listed_run_whose_repeated_start_was_refused() {
    let (mut cell, repeat) = cell_with_a_listed_run_and_a_repeat_under_way(&[]);
    cell.accept("next", vec![large_step()], queue(0));

    cell.answer_start(&repeat, refused(StartRefusal::Other));
    cell.tick(10);

    assert_eq!(cell.take_starts(), []);
}

/// While the repeat was under way, no order to stop could be sent.
#[test]
fn a_listed_run_of_a_cancelled_job_is_stopped_once_the_repeat_of_its_start_has_failed() {
    let (mut cell, repeat) = cell_with_a_listed_run_and_a_repeat_under_way(&[]);
    cell.scheduler.cancel(&"job".into());

    cell.answer_start(&repeat, StartAnswer::NotDelivered);
    cell.tick(10);

    let stops = cell.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].task, repeat.task);
}

/// Sound tasks were stopped, with their gangs, where a list of runs overtook the answer to a start.
#[test]
fn a_run_that_is_listed_before_its_start_is_answered_goes_on() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w1");
    cell.accept("job", vec![large_step()], queue(0));
    let start = cell.take_starts().remove(0);

    cell.answer_renewal(&renewal, vec![running(&start)], Vec::new());
    cell.confirm_start(&start);
    cell.tick(1);

    assert_eq!(cell.take_stops(), []);
}
