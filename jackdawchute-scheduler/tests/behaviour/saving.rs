//! The contents of a commit when more changes are unsaved than fit into one.

use jackdawchute_scheduler::EndReason;
use jackdawchute_types::JobId;

use crate::fixtures::*;

/// The highest number of rows of a commit.
const ROWS_MAX: usize = 20;

/// A cell in which 50 jobs have unsaved progress, more than a commit has rows.
fn cell_with_unsaved_progress() -> Cell {
    let mut cell = ready_cell(1, &[entry("w1", 200)]);
    for job in 0..50 {
        cell.accept(&format!("running-{job}"), vec![step(2, 1)], queue(0));
    }
    let starts = cell.take_starts();
    for start in &starts {
        cell.confirm_start(start);
    }
    // One of the two tasks of each job ends.
    let ended: Vec<_> = (1u64..)
        .zip(starts.iter().step_by(2))
        .map(|(number, start)| ended(number, start, EndReason::Succeeded))
        .collect();
    let running = starts.iter().skip(1).step_by(2).map(running).collect();
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, running, ended);
    cell
}

/// Answers the order that extends the lease, which follows an answer at once while tasks run.
fn answer_extension(cell: &mut Cell) {
    cell.run_round();
    let renewal = cell.latest_renewal_of("w1");
    if renewal.lease_until.is_some() {
        cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    }
}

/// On a slow store the progress of running jobs can fill every commit; callers whose jobs are in
/// none of them would wait.
#[test]
fn acceptances_do_not_wait_until_all_progress_is_saved() {
    let mut cell = cell_with_unsaved_progress();
    let id: JobId = "new".into();
    cell.scheduler
        .submit(&id, graph(vec![step(1, 1)]), queue(0), cell.now);

    let batch = cell.scheduler.take_batch(ROWS_MAX, 1_000_000, 0);

    let batch = batch.expect("there are unsaved changes");
    assert_eq!(batch.accepted(), [id]);
    assert!(batch.changes.len() <= ROWS_MAX);
}

/// If acceptances took all rows of every commit, progress would never be saved.
#[test]
fn progress_is_saved_during_a_flood_of_acceptances() {
    let mut cell = cell_with_unsaved_progress();
    for job in 0..100 {
        let steps = graph(vec![step(1, 1)]);
        cell.scheduler.submit(
            &format!("new-{job}").as_str().into(),
            steps,
            queue(0),
            cell.now,
        );
    }

    let batch = cell.scheduler.take_batch(ROWS_MAX, 1_000_000, 0);

    let batch = batch.expect("there are unsaved changes");
    let progress = batch.changes.len() - batch.accepted().len();
    assert!(batch.changes.len() <= ROWS_MAX);
    assert!(batch.accepted().len() >= ROWS_MAX / 2);
    assert!(progress > 0);
}

/// No run end counted as saved while any change waited for a later commit. Under a lasting overload
/// none was ever saved, and each renewal listed all of them again.
#[test]
fn run_ends_are_saved_with_the_commit_of_their_changes_while_others_wait() {
    let mut cell = cell_with_unsaved_progress();

    let mut saved = Vec::new();
    while let Some(batch) = cell.scheduler.take_batch(ROWS_MAX, 1_000_000, 0) {
        cell.scheduler.committed(&batch, cell.now);
        answer_extension(&mut cell);
        cell.tick(2_000);
        let renewal = cell.latest_renewal_of("w1");
        saved.push(renewal.ends_saved);
        cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    }

    assert_eq!(saved, [20, 40, 50]);
}

/// A run end counts as saved only if the store has all that followed from it.
#[test]
fn a_run_end_whose_change_is_not_committed_stays_listed() {
    let mut cell = cell_with_unsaved_progress();
    let first = cell.scheduler.take_batch(ROWS_MAX, 1_000_000, 0);

    cell.scheduler
        .not_committed(&first.expect("there are unsaved changes"));
    let rest: Vec<_> =
        std::iter::from_fn(|| cell.scheduler.take_batch(ROWS_MAX, 1_000_000, 0)).collect();
    cell.tick(2_000);
    let renewal = cell.latest_renewal_of("w1");

    let rows: usize = rest.iter().map(|batch| batch.changes.len()).sum();
    assert_eq!(renewal.ends_saved, 0);
    assert_eq!(rows, 50);
}
