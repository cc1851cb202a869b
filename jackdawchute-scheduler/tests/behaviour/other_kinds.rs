//! Guards against starts by the entry of an earlier incarnation: above the capacity of a worker that
//! started again as another kind, or without the required label.

use crate::fixtures::*;
use jackdawchute_scheduler::{StartAnswer, StepSpec, Submission, WorkerEntry};

/// The entry of the worker's second incarnation: fewer cores, and label b in place of a.
fn entry_of_other_kind(worker: &str, cores: u64) -> WorkerEntry {
    WorkerEntry {
        labels: vec!["b".into(), "r1".into()],
        started_unix_ms: 2,
        ..entry(worker, cores)
    }
}

/// A step that only workers with a label can run.
fn labelled(label: &str, spec: StepSpec) -> StepSpec {
    StepSpec {
        required_label: Some(label.into()),
        ..spec
    }
}

/// A cell whose only worker has answered as its second incarnation; the list has the first one.
fn cell_after_unlisted_restart() -> Cell {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.tick(100);
    answer_as_second_incarnation(&mut cell, 2);
    cell
}

/// Answers the latest renewal of the worker as its second incarnation, several times.
fn answer_as_second_incarnation(cell: &mut Cell, answers: usize) {
    for _ in 0..answers {
        let renewal = cell.latest_renewal_of("w1");
        cell.answer_renewal_of_incarnation(&renewal, 2, Vec::new(), Vec::new());
        cell.tick(10);
    }
}

#[test]
fn a_worker_gets_no_task_until_its_entry_names_the_incarnation_that_answers() {
    let mut cell = cell_after_unlisted_restart();
    cell.accept("any", vec![step(2, 1)], queue(0));
    cell.accept("label-a", vec![labelled("a", step(1, 1))], queue(0));
    cell.tick(100);
    let starts_before_entry = cell.take_starts();

    cell.scheduler
        .worker_listed(entry_of_other_kind("w1", 1), cell.now);
    cell.tick(10);

    assert_eq!(starts_before_entry, []);
    let starts = cell.take_starts();
    assert_eq!(starts.len(), 1, "the worker has one core now");
    assert_eq!(starts[0].task.step.job, "any");
}

#[test]
fn a_leader_that_first_meets_a_worker_with_the_entry_of_an_earlier_incarnation_places_no_task() {
    let mut cell = cell(2, &[entry("w1", 4)]);
    cell.tick(1);
    answer_as_second_incarnation(&mut cell, 1);
    cell.commit();

    cell.accept("job", vec![step(1, 1)], queue(0));
    cell.tick(100);

    assert_eq!(cell.take_starts(), []);
}

#[test]
fn a_recovered_worker_gets_no_task_by_the_entry_of_an_earlier_incarnation() {
    let mut earlier = ready_cell(1, &[entry("w1", 4)]);
    earlier.accept("job", vec![step(1, 2)], queue(0));
    let mut cell = successor(2, &earlier.saved, &["w1"]);
    answer_as_second_incarnation(&mut cell, 1);
    cell.commit();
    cell.tick(100);
    let starts_before_entry = cell.take_starts();

    cell.scheduler
        .worker_listed(entry_of_other_kind("w1", 4), cell.now);
    cell.tick(10);

    assert_eq!(starts_before_entry, []);
    assert_eq!(cell.take_starts().len(), 1);
}

/// A list that was read before the worker registered again may arrive last.
#[test]
fn a_late_list_with_the_earlier_incarnation_brings_back_neither_its_labels_nor_its_capacity() {
    let mut cell = cell_after_unlisted_restart();
    cell.scheduler
        .worker_listed(entry_of_other_kind("w1", 1), cell.now);

    cell.scheduler
        .workers_listed(vec![entry("w1", 4)], cell.now);
    cell.accept("label-a", vec![labelled("a", step(1, 2))], queue(0));
    cell.tick(100);

    assert_eq!(cell.take_starts(), []);
}

#[test]
fn what_runs_on_a_worker_of_another_kind_is_renewed_and_counted() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 1)], queue(0));
    let late = cell.take_starts().remove(0);
    cell.answer_start(&late, StartAnswer::Unknown);
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal_of_incarnation(&renewal, 2, vec![running(&late)], Vec::new());
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal_of_incarnation(&renewal, 2, vec![running(&late)], Vec::new());
    cell.tick(10);
    let renewal_after_report = cell.latest_renewal_of("w1");
    let stops = cell.take_stops();

    cell.scheduler
        .worker_listed(entry_of_other_kind("w1", 2), cell.now);
    cell.accept("next", vec![step(2, 1)], queue(0));
    cell.tick(10);

    assert!(renewal_after_report.lease_until.is_some());
    assert_eq!(stops, []);
    let starts = cell.take_starts();
    assert_eq!(starts.len(), 1, "one of two cores is in use");
}

/// The entry of the new incarnation may come before its first answer; a repeated order would carry
/// a token that the new incarnation has no reason to refuse.
#[test]
fn an_order_without_an_answer_is_not_repeated_to_a_newly_listed_incarnation() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![labelled("a", step(1, 2))], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_start(&start, StartAnswer::Unknown);

    cell.scheduler
        .worker_listed(entry_of_other_kind("w1", 1), cell.now);
    cell.tick(500);
    let starts_before_answer = cell.take_starts();
    answer_as_second_incarnation(&mut cell, 3);

    assert_eq!(starts_before_answer, []);
    assert_eq!(cell.take_starts(), []);
}

/// The next entry of the worker may be of the same kind, so that the job would be refused falsely.
#[test]
fn a_job_is_accepted_by_the_listed_kind_of_a_worker_whose_entry_lags() {
    let mut cell = cell_after_unlisted_restart();

    let steps = vec![labelled("a", step(1, 4))];
    let submission = cell
        .scheduler
        .submit(&"job".into(), graph(steps), queue(0), cell.now);

    assert_eq!(submission, Submission::Pending);
}

/// A crashed worker refuses connections until its new incarnation takes the next order, whose token
/// that has no reason to refuse.
#[test]
fn a_worker_that_could_not_be_reached_gets_no_start_until_it_answers_a_renewal() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 1)], queue(0));
    let start = cell.take_starts().remove(0);

    cell.answer_start(&start, StartAnswer::NotDelivered);
    cell.tick(300);
    let starts_before_answer = cell.take_starts();
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(10);

    assert_eq!(starts_before_answer, []);
    assert_eq!(cell.take_starts().len(), 1);
}

#[test]
fn a_worker_whose_renewal_failed_gets_neither_new_nor_repeated_starts_until_it_answers() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 1)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_start(&start, StartAnswer::Unknown);

    let unanswered = cell.latest_renewal_of("w1");
    cell.scheduler.renew_failed(&unanswered, cell.now, cell.now);
    cell.accept("next", vec![step(1, 1)], queue(0));
    cell.tick(300);
    let starts_before_answer = cell.take_starts();
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(10);

    assert_eq!(starts_before_answer, []);
    let jobs: Vec<_> = cell
        .take_starts()
        .into_iter()
        .map(|start| start.task.step.job)
        .collect();
    assert_eq!(jobs, ["job", "next"]);
}
