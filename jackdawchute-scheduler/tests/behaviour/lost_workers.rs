//! Tasks whose worker does not answer, has restarted or is stuck.

use crate::fixtures::*;
use jackdawchute_scheduler::{
    EndReason, RunningTask, StartAnswer, StartOrder, StartRefusal, StepSpec, WorkerEntry,
};

/// A worker may run its tasks until its lease lapses. If they start elsewhere before that, a task
/// runs twice at a time.
#[test]
fn tasks_of_a_silent_worker_run_elsewhere_once_its_lease_has_lapsed() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    cell.scheduler.worker_listed(entry("w2", 4), cell.now);
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w2");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(1);
    cell.commit();

    let mut restarted = None;
    for elapsed_ms in (0..12_000).step_by(100) {
        for renewal in std::mem::take(&mut cell.renewals) {
            if renewal.worker == "w1" {
                cell.scheduler.renew_failed(&renewal, cell.now, cell.now);
            } else {
                cell.answer_renewal(&renewal, Vec::new(), Vec::new());
            }
        }
        cell.tick(100);
        if let Some(restart) = cell.take_starts().pop() {
            restarted = Some((elapsed_ms, restart));
            break;
        }
    }

    let (elapsed_ms, restart) = restarted.expect("the task starts again within 12 s");
    assert_eq!(restart.worker, "w2");
    assert!(restart.run > start.run);
    assert!(
        elapsed_ms >= 3_900,
        "started while the lease may be valid: {elapsed_ms} ms"
    );
    assert!(elapsed_ms <= 6_000, "{elapsed_ms} ms");
}

/// An order to start that got no answer may reach the worker after its restart. If the task were
/// placed again before the new incarnation has seen a higher token, it could run twice.
#[test]
fn an_order_to_an_earlier_incarnation_is_fenced_by_a_higher_token_before_the_task_runs_again() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.tick(5);
    let first_renewal = cell.latest_renewal_of("w1");
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_start(&start, StartAnswer::Unknown);

    cell.answer_renewal_of_incarnation(&first_renewal, 2, Vec::new(), Vec::new());
    let restarted = WorkerEntry {
        started_unix_ms: 2,
        ..entry("w1", 4)
    };
    cell.scheduler.worker_listed(restarted, cell.now);
    cell.tick(5);
    let second_renewal = cell.latest_renewal_of("w1");
    let starts_before_fence = cell.take_starts();
    cell.answer_renewal_of_incarnation(&second_renewal, 2, Vec::new(), Vec::new());
    cell.commit();
    cell.tick(5);
    let starts_after_fence = cell.take_starts();

    assert!(starts_before_fence.is_empty(), "{starts_before_fence:?}");
    assert!(second_renewal.token > start.token);
    assert_eq!(starts_after_fence.len(), 1);
    assert_eq!(starts_after_fence[0].token, second_renewal.token);
}

#[test]
fn a_start_without_an_answer_is_repeated_with_the_same_worker_and_run() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);

    cell.answer_start(&start, StartAnswer::Unknown);
    cell.tick(200);

    let repeated = cell.take_starts();
    assert_eq!(repeated.len(), 1);
    assert_eq!(
        (&repeated[0].worker, repeated[0].run),
        (&start.worker, start.run)
    );
}

/// The first order got no answer and may still be under way when the second one is refused, so that
/// the refusal alone does not show that the run will not start.
#[test]
fn a_refused_start_after_an_unanswered_one_is_stopped_before_the_task_runs_elsewhere() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_start(&start, StartAnswer::Unknown);
    cell.tick(200);
    cell.take_starts();

    let refused = StartAnswer::Refused {
        reason: StartRefusal::NoRoom,
        clock: Some(cell.clock()),
    };
    cell.answer_start(&start, refused);
    cell.tick(1);

    assert!(cell.take_starts().is_empty());
    let stops = cell.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!((&stops[0].worker, stops[0].run), (&start.worker, start.run));
}

/// Runs two tasks on a worker that answers four renewals, one a second, with this progress.
fn cell_with_progress(percent_per_second: u32) -> (Cell, Vec<jackdawchute_scheduler::StartOrder>) {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(2, 2)], queue(0));
    let starts = cell.take_starts();
    for start in &starts {
        cell.confirm_start(start);
    }
    for second in 0..4 {
        cell.tick(1_000);
        let percent = (second * percent_per_second).min(99);
        let reports = starts.iter().map(|start| {
            let mut task = running(start);
            task.percent = percent;
            task
        });
        let reports = reports.collect();
        let renewal = cell.latest_renewal_of("w1");
        cell.answer_renewal(&renewal, reports, Vec::new());
        cell.run_round();
    }
    (cell, starts)
}

#[test]
fn tasks_without_progress_are_stopped_and_their_worker_gets_no_new_tasks() {
    let (mut cell, starts) = cell_with_progress(0);

    let stops = cell.take_stops();

    assert_eq!(stops.len(), starts.len());
    cell.accept("next", vec![step(1, 1)], queue(0));
    assert!(
        cell.take_starts().is_empty(),
        "a stuck worker gets a new task"
    );
}

#[test]
fn tasks_that_progress_slower_than_declared_are_not_stopped() {
    let (mut cell, _) = cell_with_progress(66);

    assert!(cell.take_stops().is_empty());
}

/// Answers `renewals` renewals, one each 500 ms, in which these runs stand at 0 %.
fn answer_without_progress(cell: &mut Cell, worker: &str, starts: &[StartOrder], renewals: u32) {
    for _ in 0..renewals {
        cell.tick(500);
        let reports = starts.iter().map(|start| RunningTask {
            percent: 0,
            ..running(start)
        });
        let reports = reports.collect();
        let renewal = cell.latest_renewal_of(worker);
        cell.answer_renewal(&renewal, reports, Vec::new());
        cell.run_round();
    }
}

/// Two workers; seven tasks that are stopped on the first one, as they make no progress there, and
/// run on the other one. Returns their starts there.
fn cell_with_tasks_of_a_stuck_worker(steps: Vec<StepSpec>) -> (Cell, Vec<StartOrder>) {
    let mut cell = ready_cell(1, &[entry("w1", 8), entry("w2", 8)]);
    cell.accept("job", steps, queue(0));
    let starts = cell.take_starts();
    starts.iter().for_each(|start| cell.confirm_start(start));
    let first = starts[0].worker.clone();
    answer_without_progress(&mut cell, &first, &starts, 2);
    for stop in cell.take_stops() {
        let clock = Some(cell.clock());
        cell.scheduler
            .stop_answered(&stop.worker, &stop.task, stop.run, clock, cell.now);
    }
    cell.tick(100);
    let renewal = cell.latest_renewal_of(&first);
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.run_round();
    let starts = cell.take_starts();
    starts.iter().for_each(|start| cell.confirm_start(start));
    (cell, starts)
}

/// review/8: one percent of a task that takes 600 s takes 6 s.
#[test]
fn tasks_that_were_stopped_without_progress_are_not_stopped_again_on_another_worker() {
    let (mut cell, starts) = cell_with_tasks_of_a_stuck_worker(vec![step(7, 1)]);
    let worker = starts[0].worker.clone();

    answer_without_progress(&mut cell, &worker, &starts, 12);

    assert_eq!(starts.len(), 7);
    assert_eq!(cell.take_stops(), []);
}

/// A worker that hangs is noticed by its other tasks, which take the ones stopped before along.
#[test]
fn a_stuck_worker_is_noticed_although_it_has_a_task_that_was_stopped_before() {
    let (mut cell, mut starts) = cell_with_tasks_of_a_stuck_worker(vec![step(1, 1), step(6, 1)]);
    let worker = starts[0].worker.clone();
    starts.truncate(1);
    cell.accept("other", vec![step(4, 1)], queue(1));
    let others = cell.take_starts().into_iter();
    starts.extend(others.filter(|start| start.worker == worker));
    starts.iter().for_each(|start| cell.confirm_start(start));

    answer_without_progress(&mut cell, &worker, &starts, 6);

    assert!(starts.len() > 1);
    assert_eq!(cell.take_stops().len(), starts.len());
}

#[test]
fn a_short_task_that_was_stopped_before_is_stopped_soon_on_a_second_stuck_worker() {
    let short = StepSpec {
        estimate: ms(200),
        ..step(7, 1)
    };
    let (mut cell, starts) = cell_with_tasks_of_a_stuck_worker(vec![short]);
    let worker = starts[0].worker.clone();

    answer_without_progress(&mut cell, &worker, &starts, 5);

    assert_eq!(cell.take_stops().len(), 7);
}

#[test]
fn a_gang_that_was_stopped_once_counts_as_stopped_once_however_many_tasks_it_has() {
    let (mut cell, starts) = cell_with_tasks_of_a_stuck_worker(vec![gang(7, 1)]);
    let worker = starts[0].worker.clone();

    answer_without_progress(&mut cell, &worker, &starts, 16);

    assert_eq!(starts.len(), 7);
    assert_eq!(cell.take_stops().len(), 7);
}

/// review/8: the worker is the only one with the label that the tasks require.
#[test]
fn tasks_that_no_other_worker_can_run_are_not_stopped_for_slow_progress() {
    let labelled = WorkerEntry {
        labels: vec!["b".into()],
        ..entry("w1", 8)
    };
    let mut cell = ready_cell(1, &[labelled, entry("w2", 8)]);
    let needs_label = StepSpec {
        required_label: Some("b".into()),
        estimate: ms(10_000),
        ..step(7, 1)
    };
    cell.accept("job", vec![needs_label], queue(0));
    let starts = cell.take_starts();
    starts.iter().for_each(|start| cell.confirm_start(start));

    answer_without_progress(&mut cell, "w1", &starts, 12);

    assert_eq!(starts.len(), 7);
    assert_eq!(cell.take_stops(), []);
}

/// One percent of a task that is declared to take 100 s takes a second.
#[test]
fn tasks_that_are_declared_to_take_long_are_not_stopped_within_their_first_percent() {
    let long = StepSpec {
        estimate: ms(100_000),
        ..step(7, 1)
    };
    let mut cell = ready_cell(1, &[entry("w1", 8), entry("w2", 8)]);
    cell.accept("job", vec![long], queue(0));
    let starts = cell.take_starts();
    starts.iter().for_each(|start| cell.confirm_start(start));
    let worker = starts[0].worker.clone();

    answer_without_progress(&mut cell, &worker, &starts, 3);

    assert_eq!(cell.take_stops(), []);
}

/// After a failed renewal the worker may have restarted: the new incarnation numbers its run ends
/// from the start again, and would delete unsaved ones if the old number were sent.
#[test]
fn a_renewal_after_a_failed_one_does_not_wait_and_marks_no_run_end_as_saved() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    cell.tick(100);
    let renewal = cell.latest_renewal_of("w1");
    let end = ended(1, &start, EndReason::Succeeded);
    cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    cell.commit();
    cell.tick(100);
    let renewal_after_commit = cell.latest_renewal_of("w1");

    cell.scheduler
        .renew_failed(&renewal_after_commit, cell.now, cell.now);
    cell.tick(300);

    let renewal_after_failure = cell.latest_renewal_of("w1");
    assert_eq!(
        (
            renewal_after_commit.ends_saved,
            renewal_after_failure.ends_saved
        ),
        (1, 0)
    );
    assert_eq!(renewal_after_failure.wait, ms(0));
}

/// The worker restarts while no renewal is under way, and its new incarnation takes a start. The clock
/// in its answer shows the restart; a renewal with the former number would delete the run's end.
#[test]
fn a_start_that_a_new_incarnation_took_is_followed_by_a_renewal_that_marks_no_end_as_saved() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    cell.tick(100);
    let renewal = cell.latest_renewal_of("w1");
    let end = ended(1, &start, EndReason::Succeeded);
    cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    cell.commit();
    cell.renewals.clear();

    cell.accept("next", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    let started = StartAnswer::Started { clock: ms(10) };
    cell.answer_start(&start, started);
    cell.tick(500);

    assert_eq!(cell.latest_renewal_of("w1").ends_saved, 0);
}

/// A task that is placed before the new incarnation has answered would be ordered with the clock
/// and the token of the previous one. The renewal from before the restart is answered last here.
#[test]
fn a_worker_listed_with_a_new_incarnation_gets_no_task_before_it_answers_a_renewal() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.tick(100);
    let renewal_before_restart = cell.latest_renewal_of("w1");
    let restarted = WorkerEntry {
        started_unix_ms: 2,
        ..entry("w1", 4)
    };

    cell.scheduler.worker_listed(restarted, cell.now);
    cell.accept("job", vec![step(1, 2)], queue(0));
    cell.tick(10);
    let starts_before_answer = cell.take_starts();
    let first_renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal_of_incarnation(&first_renewal, 2, Vec::new(), Vec::new());
    cell.tick(10);
    let second_renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal_of_incarnation(&second_renewal, 2, Vec::new(), Vec::new());
    cell.answer_renewal_of_incarnation(&renewal_before_restart, 2, Vec::new(), Vec::new());
    cell.commit();
    cell.tick(10);

    assert_eq!(starts_before_answer, []);
    assert_eq!((first_renewal.ends_saved, first_renewal.wait), (0, ms(0)));
    assert_eq!(cell.take_starts().len(), 1);
}
