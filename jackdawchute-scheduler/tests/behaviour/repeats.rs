//! Jobs whose steps run repeatedly, at set times.

use jackdawchute_scheduler::{
    EndReason, JobGraph, JobOutcome, JobStatus, Repeat, RowChange, StartOrder, Submission,
};

use crate::fixtures::*;

/// A job of one task that runs `occurrences` times, first `due_ms` after the test began.
fn repeated_job(occurrences: u32, due_ms: u64, interval_ms: u64) -> JobGraph {
    JobGraph {
        repeat: Some(Repeat {
            occurrences,
            first_due_unix_ms: (UNIX_START + ms(due_ms)).as_millis() as u64,
            interval: ms(interval_ms),
        }),
        ..graph(vec![step(1, 1)])
    }
}

/// Submits a repeated job and commits its acceptance; returns the saved rows.
fn accept_repeated(cell: &mut Cell, job: JobGraph) -> Vec<RowChange> {
    let submission = cell
        .scheduler
        .submit(&"job".into(), job, queue(0), cell.now);
    assert_eq!(submission, Submission::Pending);
    cell.commit()
}

/// Runs a leader of epoch 1 that starts the first occurrence of a job, which is due after 100 ms;
/// returns the saved rows and the order.
fn rows_and_start_of_predecessor() -> (Vec<RowChange>, StartOrder) {
    let mut previous = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    accept_repeated(&mut previous, repeated_job(2, 100, 10_000));
    previous.tick(150);
    let start = previous.take_starts().remove(0);
    (previous.saved, start)
}

/// A leader of epoch 2 whose clock is behind that of its predecessor, so that the job's first
/// occurrence is not due yet.
fn successor_with_earlier_clock(rows: Vec<RowChange>) -> Cell {
    let mut cell = cell(2, &[]);
    cell.scheduler
        .recover(&saved_tables(rows), UNIX_START, cell.now)
        .expect("rows that a scheduler wrote can be decoded");
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    cell.scheduler.workers_listed(workers, cell.now);
    cell.tick(1);
    cell
}

#[test]
fn an_occurrence_that_an_earlier_leader_began_goes_on() {
    let (rows, start) = rows_and_start_of_predecessor();
    let mut cell = successor_with_earlier_clock(rows);

    for renewal in std::mem::take(&mut cell.renewals) {
        let runs_task = renewal.worker == start.worker;
        let listed = runs_task.then(|| running(&start)).into_iter().collect();
        cell.answer_renewal(&renewal, listed, Vec::new());
    }
    cell.tick(50);
    cell.tick(200);

    assert_eq!(cell.take_stops(), []);
    assert_eq!(cell.take_starts(), []);
}

#[test]
fn an_occurrence_that_ended_before_it_was_due_for_a_new_leader_does_not_run_again() {
    let (rows, start) = rows_and_start_of_predecessor();
    let mut cell = successor_with_earlier_clock(rows);

    for renewal in std::mem::take(&mut cell.renewals) {
        let ran_task = renewal.worker == start.worker;
        let end = ran_task.then(|| ended(1, &start, EndReason::Succeeded));
        cell.answer_renewal(&renewal, Vec::new(), end.into_iter().collect());
    }
    cell.tick(50);
    cell.tick(200);

    assert_eq!(cell.take_starts(), []);
}

/// An earlier leader may have ordered runs of an occurrence that this one begins, and a worker
/// refuses a run that is not higher than one that it has ended or stopped.
#[test]
fn occurrences_that_begin_after_a_takeover_have_higher_run_numbers() {
    let (rows, start) = rows_and_start_of_predecessor();
    let mut cell = successor_with_earlier_clock(rows);

    for renewal in std::mem::take(&mut cell.renewals) {
        cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    }
    cell.tick(10);
    cell.tick(200);

    let starts = cell.take_starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > start.run, "run {}", starts[0].run);
}

#[test]
fn occurrences_overlap_and_the_job_completes_after_the_last() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    accept_repeated(&mut cell, repeated_job(3, 100, 50));

    cell.tick(50);
    let before_due = cell.take_starts();
    cell.tick(150);
    let starts = cell.take_starts();
    let statuses: Vec<JobStatus> = starts
        .iter()
        .zip(1..)
        .map(|(start, number)| {
            cell.confirm_start(start);
            cell.tick(500);
            let renewal = cell.latest_renewal_of("w1");
            let end = ended(number, start, EndReason::Succeeded);
            cell.answer_renewal(&renewal, Vec::new(), vec![end]);
            cell.commit();
            cell.scheduler.status(&"job".into())
        })
        .collect();

    assert_eq!(before_due, []);
    let occurrences: Vec<u32> = starts
        .iter()
        .map(|start| start.task.step.occurrence)
        .collect();
    assert_eq!(occurrences, [0, 1, 2]);
    let completed = JobStatus::Ended(JobOutcome::Completed);
    assert_eq!(
        statuses,
        [JobStatus::Running, JobStatus::Running, completed]
    );
}

#[test]
fn an_interval_beyond_all_times_does_not_end_the_leader() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);

    accept_repeated(&mut cell, repeated_job(u32::MAX, 0, u64::MAX));
    cell.tick(50);

    assert_eq!(cell.take_starts().len(), 1);
}

#[test]
fn a_job_that_repeats_without_a_pause_runs_a_bounded_number_of_occurrences_at_a_time() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);

    accept_repeated(&mut cell, repeated_job(u32::MAX, 0, 0));
    cell.tick(50);

    let load = cell.scheduler.jobs_count();
    assert_eq!((load, cell.take_starts().len()), (1, 4));
}
