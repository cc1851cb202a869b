//! The saved progress of the largest jobs that are accepted.

use std::collections::BTreeSet;

use jackdawchute_scheduler::{
    EndReason, EndedRun, JobGraph, JobOutcome, JobStatus, Repeat, RowChange, RowTable, SavedTable,
    Scheduler, StartOrder, StepSpec,
};

use crate::fixtures::*;

/// The most bytes of a row that the store takes, in base64.
const ROW_BYTES_MAX: usize = 65_536;
/// The most bytes of a transaction that the store takes, in base64.
const TRANSACTION_BYTES_MAX: usize = 1_000_000;

fn base64_bytes(row: &RowChange) -> usize {
    row.value.as_ref().map_or(0, Vec::len).div_ceil(3) * 4
}

/// A step of tasks that need little, so that thousands run at a time.
fn small_tasks(tasks: u32) -> StepSpec {
    StepSpec {
        resources: jackdawchute_types::Resources::new(10, 1, 0),
        ..step(tasks, 1)
    }
}

/// A cell on whose only worker a job of this many tasks runs, and the orders to start them.
fn cell_with_running_job(tasks: u32) -> (Cell, Vec<StartOrder>) {
    let mut cell = ready_cell(1, &[entry("w1", 200)]);
    cell.accept("job", vec![small_tasks(tasks)], queue(0));
    let starts = cell.take_starts();
    assert_eq!(starts.len(), tasks as usize);
    for start in &starts {
        cell.confirm_start(start);
    }
    (cell, starts)
}

/// The ends of all runs but the last one.
fn ends_of_all_but_one(
    starts: &[StartOrder],
    reason: impl Fn(usize) -> EndReason,
    checkpoint: &str,
) -> Vec<EndedRun> {
    let starts = starts[..starts.len() - 1].iter().enumerate();
    let end = |(index, start)| EndedRun {
        checkpoint: checkpoint.into(),
        ..ended(index as u64 + 1, start, reason(index))
    };
    starts.map(end).collect()
}

/// Reports ends and commits what follows in batches as the leader does; asserts that the store
/// takes each.
fn report_and_commit(cell: &mut Cell, start: &StartOrder, ends: Vec<EndedRun>) {
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, vec![running(start)], ends);
    while let Some(batch) = cell.scheduler.take_batch(97, 700_000, 0) {
        let bytes: usize = batch.changes.iter().map(base64_bytes).sum();
        assert!(bytes <= TRANSACTION_BYTES_MAX, "{bytes} bytes");
        for row in &batch.changes {
            let bytes = base64_bytes(row);
            assert!(bytes <= ROW_BYTES_MAX, "{}: {bytes} bytes", row.key);
        }
        cell.saved.extend(batch.changes.clone());
        cell.scheduler.committed(&batch, cell.now);
    }
}

/// The tasks that a successor starts again because the saved rows do not say that they are done.
fn tasks_started_by_successor(saved: &[RowChange]) -> BTreeSet<u32> {
    let mut cell = successor(2, saved, &[]);
    cell.scheduler
        .workers_listed(vec![entry("w1", 200)], cell.now);
    cell.tick(1);
    for renewal in std::mem::take(&mut cell.renewals) {
        cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    }
    cell.tick(50);
    cell.commit();
    cell.tick(50);
    cell.take_starts()
        .iter()
        .map(|start| start.task.index)
        .collect()
}

/// The progress of a job was one row of 51 bytes for each task that is done. From 1,270 tasks on the
/// store refused it, and the tasks ran again and again.
#[test]
fn the_progress_of_the_largest_job_fits_into_rows_of_the_store() {
    let (mut cell, starts) = cell_with_running_job(10_000);
    let ends = ends_of_all_but_one(&starts, |_| EndReason::Succeeded, "");

    report_and_commit(&mut cell, &starts[9_999], ends);

    let last = starts[9_999].task.index;
    assert_eq!(
        tasks_started_by_successor(&cell.saved),
        BTreeSet::from([last])
    );
}

/// Failed runs and checkpoints take the most bytes of all progress.
#[test]
fn failures_and_checkpoints_of_the_largest_job_fit_into_rows_of_the_store() {
    let (mut cell, starts) = cell_with_running_job(4_000);
    let checkpoint = "c".repeat(1_000);
    let reason = |index| match index % 2 {
        0 => EndReason::Failed,
        _ => EndReason::Succeeded,
    };
    let ends = ends_of_all_but_one(&starts, reason, &checkpoint);

    report_and_commit(&mut cell, &starts[3_999], ends);

    let last = starts[3_999].task.index;
    let failed = starts[..3_999]
        .iter()
        .step_by(2)
        .map(|start| start.task.index);
    let unfinished: BTreeSet<u32> = failed.chain([last]).collect();
    assert_eq!(tasks_started_by_successor(&cell.saved), unfinished);
}

/// All rows of a job were rewritten for each of its ends.
#[test]
fn the_end_of_a_task_of_a_large_job_rewrites_one_row() {
    let (mut cell, starts) = cell_with_running_job(4_000);
    let renewal = cell.latest_renewal_of("w1");
    let end = ended(1, &starts[3_000], EndReason::Succeeded);

    cell.answer_renewal(&renewal, vec![running(&starts[0])], vec![end]);
    let rows = cell.commit();

    assert_eq!(rows.len(), 1);
}

#[test]
fn the_end_of_a_large_job_removes_all_its_rows() {
    let (mut cell, starts) = cell_with_running_job(4_000);
    let ends = ends_of_all_but_one(&starts, |_| EndReason::Succeeded, "");
    report_and_commit(&mut cell, &starts[3_999], ends);
    cell.tick(500);

    let last = ended(4_000, &starts[3_999], EndReason::Succeeded);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, Vec::new(), vec![last]);
    cell.commit();

    let status = cell.scheduler.status(&"job".into());
    assert_eq!(status, JobStatus::Ended(JobOutcome::Completed));
    for saved in saved_tables(cell.saved) {
        let is_of_job = matches!(saved.table, RowTable::Jobs | RowTable::Progress);
        assert!(!is_of_job || saved.rows.is_empty(), "{:?}", saved.table);
    }
}

/// A repeated job of one task may have thousands of incomplete occurrences, each of which was named
/// in its progress row.
#[test]
fn the_incomplete_occurrences_of_a_repeated_job_fit_into_rows_of_the_store() {
    let job = JobGraph {
        repeat: Some(Repeat {
            occurrences: 1_000_000,
            first_due_unix_ms: 0,
            interval: ms(1),
        }),
        ..graph(vec![small_tasks(1)])
    };
    let mut cell = ready_cell(1, &[entry("w1", 200)]);
    cell.scheduler
        .submit(&"job".into(), job, queue(0), cell.now);
    cell.commit();
    cell.tick(1);
    cell.tick(50);
    let starts = cell.take_starts();
    for start in &starts {
        cell.confirm_start(start);
    }
    // Every second occurrence is complete, so that the others are no range.
    let ends: Vec<EndedRun> = (1..)
        .zip(starts.iter().step_by(2))
        .map(|(number, start)| ended(number, start, EndReason::Succeeded))
        .collect();
    let complete = ends.len();

    report_and_commit(&mut cell, &starts[1], ends);
    let mut next = successor(2, &cell.saved, &["w1"]);
    next.tick(1);

    assert!(complete >= 400, "{complete} occurrences");
    assert_eq!(next.scheduler.status(&"job".into()), JobStatus::Running);
}

/// An upgrade meets the progress that the version before has saved in a single row.
#[test]
fn progress_of_an_earlier_version_is_read_and_replaced() {
    let mut first = ready_cell(1, &[entry("w1", 200)]);
    first.accept("job", vec![small_tasks(600)], queue(0));
    let units: Vec<String> = (0..599)
        .map(|unit| format!(r#"{{"o":0,"s":0,"u":{unit},"d":true,"r":1,"f":[],"c":""}}"#))
        .collect();
    let value = format!(
        r#"{{"occurrences_done":0,"occurrences":[0],"units":[{}]}}"#,
        units.join(",")
    );
    first.saved.push(RowChange {
        table: RowTable::Progress,
        key: "job".into(),
        value: Some(value.into_bytes()),
    });

    let mut second = successor(2, &first.saved, &["w1"]);
    // Only a part of the new rows is committed before the next leader.
    let batch = second.scheduler.take_batch(2, 700_000, 0);
    let part = batch.map(|batch| batch.changes).unwrap_or_default();
    let after_part = tasks_started_by_successor(&[first.saved.clone(), part].concat());
    let mut second = successor(2, &first.saved, &["w1"]);
    second.commit();
    let after_all = tasks_started_by_successor(&second.saved);

    assert_eq!(after_part, BTreeSet::from([599]));
    assert_eq!(after_all, BTreeSet::from([599]));
}

/// A row of progress whose job is not saved counted for a later job with the same id.
#[test]
fn progress_without_a_job_is_removed() {
    let row = RowChange {
        table: RowTable::Progress,
        key: "job/1".into(),
        value: Some(br#"{"done":[[0,0,300,400]]}"#.to_vec()),
    };
    let mut cell = cell(1, &[]);
    let saved: Vec<SavedTable> = saved_tables(vec![row]);

    let recovered = Scheduler::recover(&mut cell.scheduler, &saved, UNIX_START, cell.now);
    let removed = cell.commit();

    assert_eq!(recovered, Ok(()));
    assert_eq!(removed.len(), 1);
    assert_eq!(removed[0].value, None);
}
