//! The size of saved rows, whatever workers are listed and whatever jobs are accepted.

use jackdawchute_scheduler::{JobStatus, RowChange, RowTable, Submission, WorkerEntry};
use jackdawchute_types::JobId;

use crate::fixtures::*;

/// The most bytes of a row that the store takes, in base64.
const ROW_BYTES_MAX: usize = 65_536;
/// The most bytes of a job's steps and payload that are accepted.
const GRAPH_BYTES_MAX: usize = 290_000;

fn assert_rows_fit(rows: &[RowChange]) {
    for row in rows {
        let bytes = row.value.as_ref().map_or(0, Vec::len).div_ceil(3) * 4;
        assert!(bytes <= ROW_BYTES_MAX, "{}: {bytes} bytes", row.key);
    }
}

/// A service of 65,200 bytes in one entry made the row of workers larger than the store takes, and
/// no commit succeeded any more.
#[test]
fn the_longest_service_of_a_worker_fits_into_its_row() {
    let odd = WorkerEntry {
        service: "x".repeat(65_200).into(),
        ..entry("odd", 4)
    };
    let mut cell = ready_cell(1, &[entry("w1", 4), odd]);

    let rows = cell.commit();

    assert_rows_fit(&rows);
}

/// The store takes keys of 200 bytes, and a control character takes six bytes in a saved row.
#[test]
fn workers_with_the_longest_ids_fit_into_their_rows() {
    let entries: Vec<_> = (0..600)
        .map(|number| entry(&format!("{}{number:03}", "\u{1}".repeat(197)), 4))
        .collect();
    let mut cell = ready_cell(1, &entries);

    let rows = cell.commit();

    assert_rows_fit(&rows);
}

#[test]
fn a_worker_of_a_service_that_no_queue_uses_is_sent_nothing_until_a_queue_does() {
    let mut cell = cell(1, &[]);
    cell.scheduler.use_services(["other".into()], cell.now);

    cell.scheduler.worker_listed(entry("w1", 4), cell.now);
    cell.tick(50);
    let unused = (cell.renewals.len(), cell.commit());
    cell.scheduler.use_services(["service".into()], cell.now);
    cell.tick(50);

    assert_eq!(unused, (0, Vec::new()));
    assert_eq!(cell.latest_renewal_of("w1").worker, "w1");
}

/// The row of a job with many steps was larger than the store takes.
#[test]
fn the_largest_job_is_divided_over_rows_and_recovered_from_them() {
    let mut steps = vec![step(1, 1)];
    while serde_json::to_vec(&graph(steps.clone())).map_or(0, |bytes| bytes.len())
        < GRAPH_BYTES_MAX - 4_000
    {
        steps.extend(vec![step(1, 1); 20]);
    }
    let job = graph(steps);
    let mut first = cell(1, &[]);
    let submission = first
        .scheduler
        .submit(&"job".into(), job.clone(), queue(0), first.now);

    let rows = first.commit();
    let mut second = cell(2, &[]);
    let recovered = second
        .scheduler
        .recover(&saved_tables(rows.clone()), UNIX_START, second.now);
    second.scheduler.cancel(&"job".into());
    let removed = second.commit();

    assert!(job.check().is_ok());
    assert_eq!(submission, Submission::Pending);
    assert!(rows.len() > 1);
    assert_rows_fit(&rows);
    assert_eq!(recovered, Ok(()));
    let left = saved_tables([rows, removed].concat());
    let jobs = left.iter().find(|saved| saved.table == RowTable::Jobs);
    assert_eq!(jobs.map(|saved| saved.rows.len()), Some(0));
}

#[test]
fn a_job_that_cannot_be_saved_is_invalid() {
    let mut job = graph(vec![step(1, 1)]);
    job.payload = "x".repeat(GRAPH_BYTES_MAX).into();

    let checked = job.check();

    assert!(checked.is_err());
}

/// A commit that the store refuses was repeated without end, and all other changes waited for it.
#[test]
fn a_row_that_the_store_refuses_for_good_stops_no_other_change() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.commit();
    let mut large = graph(vec![step(1, 1)]);
    large.payload = "x".repeat(20_000).into();
    cell.scheduler
        .submit(&"large".into(), large, queue(0), cell.now);
    let small = graph(vec![step(1, 1)]);
    cell.scheduler
        .submit(&"small".into(), small, queue(0), cell.now);
    let batch = cell.scheduler.take_batch(97, 1_000_000, 0);
    let batch = batch.expect("there are unsaved changes");

    let withdrawn = cell.scheduler.refused_for_good(&batch);
    cell.commit();

    let status = |job: &str| cell.scheduler.status(&JobId::from(job));
    assert_eq!(withdrawn, Some("large".into()));
    assert_eq!(status("large"), JobStatus::Unknown);
    assert_eq!(status("small"), JobStatus::Queued);
}
