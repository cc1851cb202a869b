//! Workers whose new incarnation carries out orders to the former one, or has another clock.

use crate::fixtures::*;
use jackdawchute_scheduler::{
    EndReason, RenewAnswer, RowChange, RowTable, StartAnswer, StartOrder, WorkerEntry,
};

/// The longest hold of the users' platform: a worker cuts longer leases to it.
const HOLD_MAX_MS: u64 = 10_000;

/// Leaves the renewals of the started task's worker without an answer, and returns when the task
/// starts again.
fn starts_again_after_ms(cell: &mut Cell, start: &StartOrder) -> u64 {
    for elapsed_ms in (0..60_000).step_by(100) {
        for renewal in std::mem::take(&mut cell.renewals) {
            if renewal.worker == start.worker {
                cell.scheduler.renew_failed(&renewal, cell.now, cell.now);
            } else {
                cell.answer_renewal(&renewal, Vec::new(), Vec::new());
            }
        }
        cell.tick(100);
        if !cell.take_starts().is_empty() {
            return elapsed_ms;
        }
    }
    panic!("the task does not start again within a minute");
}

/// The lease in the order ends at a time on the former incarnation's clock, so that the new one cuts
/// it to the longest hold, and no renewal has told the leader of the restart.
#[test]
fn a_task_whose_start_a_new_incarnation_answered_waits_for_the_longest_hold_of_a_silent_worker() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_start(&start, StartAnswer::Started { clock: ms(300) });

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms >= HOLD_MAX_MS, "{again_after_ms} ms");
}

/// The wall clock of a machine may have been set back before its worker restarted.
#[test]
fn tasks_of_a_worker_that_restarted_with_an_earlier_start_time_run_again() {
    let started_at = |started_unix_ms| WorkerEntry {
        started_unix_ms,
        ..entry("w1", 4)
    };
    let mut cell = cell(1, &[started_at(5)]);
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal_of_incarnation(&renewal, 5, Vec::new(), Vec::new());
    cell.tick(1);
    cell.commit();
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);

    cell.scheduler.worker_listed(started_at(2), cell.now);
    for _ in 0..50 {
        for renewal in std::mem::take(&mut cell.renewals) {
            cell.answer_renewal_of_incarnation(&renewal, 2, Vec::new(), Vec::new());
        }
        cell.tick(100);
        cell.commit();
    }

    assert_eq!(cell.take_starts().len(), 1);
}

/// A renewal may be carried out seconds late by a new incarnation, which numbers its run ends from the
/// start again and would delete them unread.
#[test]
fn a_renewal_marks_run_ends_as_saved_only_until_an_answer_has_confirmed_that() {
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
    let marking = cell.latest_renewal_of("w1");

    cell.answer_renewal(&marking, Vec::new(), Vec::new());
    cell.tick(100);

    let next = cell.latest_renewal_of("w1");
    assert_eq!((marking.ends_saved, next.ends_saved), (1, 0));
}

/// A late order of the predecessor to a former incarnation may have extended the lease of the one
/// that a new leader hears first, if that one has started lately.
#[test]
fn a_new_leader_counts_the_longest_hold_on_a_worker_whose_incarnation_no_row_names() {
    let mut predecessor = cell(1, &[entry("w1", 4), entry("w2", 4)]);
    predecessor.started_unix_ms = 2;
    let predecessor = make_ready(predecessor, 2);
    let mut cell = make_ready(successor(2, &predecessor.saved, &["w1", "w2"]), 2);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms >= HOLD_MAX_MS, "{again_after_ms} ms");
}

/// The clock of a worker may start at any time, so that it tells nothing of the worker's age.
#[test]
fn a_new_leader_counts_the_lease_that_it_sent_on_a_worker_whose_incarnation_its_row_names() {
    let mut predecessor = cell(1, &[entry("w1", 4), entry("w2", 4)]);
    predecessor.workers_age = ms(300);
    let predecessor = make_ready(predecessor, 2);
    let mut successor = successor(2, &predecessor.saved, &["w1", "w2"]);
    successor.workers_age = ms(400);
    let mut cell = make_ready(successor, 2);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms < HOLD_MAX_MS, "{again_after_ms} ms");
}

/// The answer of the former incarnation to an earlier renewal may arrive after that of the new one to
/// the start. Its clock and its lists say nothing about the new one.
#[test]
fn a_late_answer_of_the_former_incarnation_ends_no_run_that_the_new_one_has_begun() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.tick(5);
    let sent_at = cell.now;
    let renewals = [cell.latest_renewal_of("w1"), cell.latest_renewal_of("w2")];
    let clock = cell.clock();
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.tick(600);
    cell.answer_start(&start, StartAnswer::Started { clock: ms(300) });
    cell.tick(10);
    let renewal = renewals.iter().find(|it| it.worker == start.worker);
    let answer = RenewAnswer {
        started_unix_ms: 1,
        clock,
        running: Vec::new(),
        ended: Vec::new(),
        ends_left_out: 0,
        ended_complete: true,
    };
    let renewal = renewal.expect("both workers are renewed");
    cell.scheduler
        .renew_answered(renewal, sent_at, answer, cell.now);

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms >= HOLD_MAX_MS, "{again_after_ms} ms");
}

/// Restarts w1 under its id, and answers until the new incarnation has acknowledged its token.
fn restart_w1(cell: &mut Cell) {
    cell.workers_age = ms(300);
    let restarted = WorkerEntry {
        started_unix_ms: 2,
        ..entry("w1", 4)
    };
    for _ in 0..2 {
        let renewal = cell.latest_renewal_of("w1");
        cell.answer_renewal_of_incarnation(&renewal, 2, Vec::new(), Vec::new());
        cell.scheduler.worker_listed(restarted.clone(), cell.now);
        cell.tick(5);
    }
}

/// A leader whose worker w1 has restarted and answered, and whose task has no other place.
fn cell_after_a_restart() -> Cell {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.tick(5);
    cell.accept("fills-w1", vec![step(1, 4)], queue(0));
    cell.take_starts();
    cell.accept("job", vec![step(1, 2)], queue(0));
    restart_w1(&mut cell);
    cell
}

/// Returns when the task of a leader starts again on w2 with a successor that does not hear w1, from
/// the takeover on. The platform lists the incarnation of w1 that started at `listed_start`.
fn starts_elsewhere_after_ms(rows: &[RowChange], epoch: u64, listed_start: u64) -> u64 {
    let mut successor = successor(epoch, rows, &["w1", "w2"]);
    successor
        .scheduler
        .worker_listed(restarted_entry(listed_start), successor.now);
    start_after_ms_without_w1(&mut successor)
}

/// The platform's entry of w1 for the incarnation that started at `started_unix_ms`.
fn restarted_entry(started_unix_ms: u64) -> WorkerEntry {
    WorkerEntry {
        started_unix_ms,
        ..entry("w1", 4)
    }
}

/// Returns when a task starts next, where w1 is silent and the other workers run nothing.
fn start_after_ms_without_w1(cell: &mut Cell) -> u64 {
    for elapsed_ms in (0..60_000).step_by(100) {
        for renewal in std::mem::take(&mut cell.renewals) {
            match renewal.worker.as_str() {
                "w1" => cell.scheduler.renew_failed(&renewal, cell.now, cell.now),
                _ => cell.answer_renewal(&renewal, Vec::new(), Vec::new()),
            }
        }
        cell.commit();
        cell.tick(100);
        if !cell.take_starts().is_empty() {
            return elapsed_ms;
        }
    }
    panic!("the task does not start elsewhere within a minute");
}

#[test]
fn a_restarted_worker_gets_no_task_before_its_row_names_the_lease_of_its_former_incarnation() {
    let mut cell = cell_after_a_restart();

    cell.tick(50);
    let starts_before = cell.take_starts();
    cell.commit();
    cell.tick(50);
    let starts_after = cell.take_starts();

    assert_eq!(starts_before, []);
    assert_eq!(starts_after.len(), 1);
}

/// The batch names the worker, and not the lease of the incarnation that ends while it is under way.
#[test]
fn a_commit_that_was_under_way_at_a_restart_lets_no_task_start() {
    let mut cell = cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    cell.tick(5);
    let first = cell.latest_renewal_of("w1");
    cell.answer_renewal(&first, Vec::new(), Vec::new());
    cell.tick(5);
    let batch = cell.scheduler.take_batch(97, 1_000_000, 0);
    restart_w1(&mut cell);

    cell.scheduler
        .committed(&batch.expect("the row names w1"), cell.now);
    cell.tick(5);
    let starts_before = cell.take_starts();
    cell.commit();
    cell.tick(5);

    assert_eq!(starts_before, []);
    assert_eq!(cell.take_starts().len(), 1);
}

/// The users' incident: a new leader that did not hear the worker waited for the longest lease that
/// leaders send.
#[test]
fn a_new_leader_waits_for_the_lease_of_a_former_incarnation_of_a_silent_worker() {
    let mut cell = cell_after_a_restart();
    cell.commit();

    let after_ms = starts_elsewhere_after_ms(&cell.saved, 2, 2);
    let mut unheard = successor(2, &cell.saved, &["w1"]);
    unheard.tick(2_000);
    unheard.commit();
    let after_two_takeovers_ms = starts_elsewhere_after_ms(&unheard.saved, 3, 2);

    assert!(after_ms >= HOLD_MAX_MS, "{after_ms} ms");
    assert!(after_two_takeovers_ms >= HOLD_MAX_MS - 2_000);
}

/// Tasks of recovered jobs stand still meanwhile.
#[test]
fn a_new_leader_waits_no_longer_for_a_silent_worker_that_has_restarted_some_time_ago() {
    let mut cell = cell_after_a_restart();
    cell.commit();
    for _ in 0..120 {
        cell.tick(100);
        let renewals = std::mem::take(&mut cell.renewals);
        for renewal in renewals {
            cell.answer_renewal_of_incarnation(&renewal, 2, Vec::new(), Vec::new());
        }
    }
    cell.commit();

    let after_ms = starts_elsewhere_after_ms(&cell.saved, 2, 2);

    assert!(after_ms < HOLD_MAX_MS, "{after_ms} ms");
}

/// The predecessor may have started tasks there, and ended before it could hear of the restart.
#[test]
fn a_new_leader_waits_for_the_longest_hold_on_a_silent_worker_that_is_listed_as_restarted() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));

    let restarted_ms = starts_elsewhere_after_ms(&cell.saved, 2, 2);
    let unchanged_ms = starts_elsewhere_after_ms(&cell.saved, 2, 1);

    let earlier_authority_ms = EARLIER_AUTHORITY.as_millis() as u64;
    assert!(restarted_ms >= earlier_authority_ms + HOLD_MAX_MS);
    assert!(unchanged_ms < earlier_authority_ms + HOLD_MAX_MS);
}

/// Two answers may be made within a millisecond, and overtake each other on the way.
#[test]
fn an_answer_that_is_not_known_to_be_newer_ends_no_run() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    cell.tick(5);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, vec![running(&start)], Vec::new());

    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(5);

    assert_eq!(cell.take_starts(), []);
}

/// The order may have been to the former incarnation.
#[test]
fn a_renewal_from_before_a_restart_that_gets_no_answer_says_nothing_of_the_new_incarnation() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.tick(5);
    let (before_restart, sent_at) = (cell.latest_renewal_of("w1"), cell.now);
    cell.tick(500);
    let restarted = WorkerEntry {
        started_unix_ms: 2,
        ..entry("w1", 4)
    };
    cell.scheduler.worker_listed(restarted, cell.now);
    cell.renewals.clear();
    cell.tick(5);
    let first = cell.latest_renewal_of("w1");
    cell.renewals.clear();

    cell.scheduler
        .renew_failed(&before_restart, sent_at, cell.now);
    cell.tick(500);
    let sent_meanwhile = cell.renewals.len();
    cell.workers_age = ms(300);
    cell.answer_renewal_of_incarnation(&first, 2, Vec::new(), Vec::new());
    cell.tick(5);
    let second = cell.latest_renewal_of("w1");
    cell.answer_renewal_of_incarnation(&second, 2, Vec::new(), Vec::new());
    cell.commit();
    cell.accept("job", vec![step(1, 2)], queue(0));

    assert_eq!(sent_meanwhile, 0);
    assert_eq!(cell.take_starts().len(), 1);
}

/// A store outage ends the commit that would have let tasks start on the worker.
#[test]
fn a_restarted_worker_gets_tasks_once_a_later_commit_succeeds() {
    let mut cell = cell_after_a_restart();
    for _ in 0..3 {
        let batch = cell.scheduler.take_batch(97, 1_000_000, 0);
        cell.scheduler.not_committed(&batch.expect("w1 is unsaved"));
        cell.tick(50);
    }
    let starts_before = cell.take_starts();

    cell.commit();
    cell.tick(50);

    assert_eq!(starts_before, []);
    assert_eq!(cell.take_starts().len(), 1);
}

/// A second restart under a commit that names the lease of the first one.
#[test]
fn a_worker_that_restarts_twice_gets_no_task_before_its_row_names_the_second_lease() {
    let mut cell = cell_after_a_restart();
    let first = cell.scheduler.take_batch(97, 1_000_000, 0);
    for _ in 0..2 {
        let renewal = cell.latest_renewal_of("w1");
        cell.answer_renewal_of_incarnation(&renewal, 3, Vec::new(), Vec::new());
        cell.scheduler.worker_listed(restarted_entry(3), cell.now);
        cell.tick(5);
    }

    cell.scheduler
        .committed(&first.expect("w1 is unsaved"), cell.now);
    cell.tick(50);
    let starts_before = cell.take_starts();
    cell.commit();
    cell.tick(50);

    assert_eq!(starts_before, []);
    assert_eq!(cell.take_starts().len(), 1);
}

/// Each change of the row rewrites hundreds of workers.
#[test]
fn the_row_of_a_restarted_worker_is_written_once_more_when_its_earlier_lease_has_lapsed() {
    let mut cell = cell_after_a_restart();
    cell.commit();

    let mut writes_after_ms = Vec::new();
    for elapsed_ms in (0..30_000).step_by(100) {
        for renewal in std::mem::take(&mut cell.renewals) {
            cell.answer_renewal_of_incarnation(&renewal, 2, Vec::new(), Vec::new());
        }
        cell.tick(100);
        let rows = cell.commit();
        if rows.iter().any(|row| row.table == RowTable::Workers) {
            writes_after_ms.push(elapsed_ms);
        }
    }

    assert_eq!(writes_after_ms.len(), 1, "{writes_after_ms:?}");
    assert!(writes_after_ms[0] >= HOLD_MAX_MS, "{writes_after_ms:?}");
}

/// A worker that is cut off from the store too loses its entry before its lease lapses.
#[test]
fn a_new_leader_waits_for_the_longest_hold_on_a_restarted_worker_whose_entry_expires() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let mut successor = successor(2, &cell.saved, &["w1", "w2"]);
    successor
        .scheduler
        .worker_listed(restarted_entry(2), successor.now);
    successor.tick(1_500);

    successor
        .scheduler
        .worker_unlisted(&"w1".into(), successor.now);
    let after_ms = start_after_ms_without_w1(&mut successor);

    let earlier_authority_ms = EARLIER_AUTHORITY.as_millis() as u64;
    assert!(
        after_ms + 1_500 >= earlier_authority_ms + HOLD_MAX_MS,
        "{after_ms} ms"
    );
}

/// The reading of the former incarnation's clock arrives after the start was sent, and the answer to
/// the start is from the new one.
#[test]
fn a_start_that_a_new_incarnation_answers_after_a_last_answer_of_the_former_one_keeps_its_task() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.tick(5);
    let renewal = cell.latest_renewal_of(&start.worker);
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(400);
    cell.answer_start(&start, StartAnswer::Started { clock: ms(100) });

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms >= HOLD_MAX_MS, "{again_after_ms} ms");
}

/// The clock of the new incarnation is ahead of the former one's, so that the answer to the start does
/// not show the restart; the first renewal that the new one answers does.
#[test]
fn a_task_that_began_in_a_new_incarnation_is_not_given_up_before_that_one_lists_its_runs() {
    const LEASE_MS: u64 = 3_000;
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    for _ in 0..100 {
        for renewal in std::mem::take(&mut cell.renewals) {
            cell.answer_renewal(&renewal, Vec::new(), Vec::new());
        }
        cell.tick(100);
    }
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.tick(400);
    let clock = cell.clock() + ms(300);
    cell.answer_start(&start, StartAnswer::Started { clock });
    let renewal = cell.latest_renewal_of(&start.worker);
    cell.answer_renewal_of_incarnation(&renewal, 2, vec![running(&start)], Vec::new());
    cell.tick(5);

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms >= LEASE_MS, "{again_after_ms} ms");
}

/// Nothing tells whether a worker that is not listed has restarted; tasks stand still meanwhile.
#[test]
fn a_new_leader_waits_no_longer_for_a_silent_worker_that_it_never_saw_listed() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));

    let after_ms = start_after_ms_without_w1(&mut successor(2, &cell.saved, &["w2"]));

    let earlier_authority_ms = EARLIER_AUTHORITY.as_millis() as u64;
    assert!(
        after_ms < earlier_authority_ms + HOLD_MAX_MS,
        "{after_ms} ms"
    );
}

/// Returns rows in which the workers' table has `to` for the first `from`.
fn with_workers_text(rows: &[RowChange], from: &str, to: &str) -> Vec<RowChange> {
    let mut changed = rows.to_vec();
    for row in &mut changed {
        if let (RowTable::Workers, Some(value)) = (row.table, &row.value) {
            let text = String::from_utf8(value.clone()).expect("rows are text");
            row.value = Some(text.replacen(from, to, 1).into_bytes());
        }
    }
    assert_ne!(changed, rows);
    changed
}

/// After an upgrade the first takeover would otherwise wait for the longest hold of all silent workers.
#[test]
fn a_new_leader_waits_no_longer_for_a_silent_worker_whose_row_is_of_an_earlier_version() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let rows = with_workers_text(&cell.saved, ",\"started\":1", "");

    let after_ms = starts_elsewhere_after_ms(&rows, 2, 2);

    let earlier_authority_ms = EARLIER_AUTHORITY.as_millis() as u64;
    assert!(
        after_ms < earlier_authority_ms + HOLD_MAX_MS,
        "{after_ms} ms"
    );
}

/// A row of another writer must not keep tasks from starting for ever.
#[test]
fn a_new_leader_waits_for_no_longer_than_the_longest_hold_whatever_a_row_says() {
    const ENDS_MAX_MS: u64 = HOLD_MAX_MS + 1_000;
    let mut cell = cell_after_a_restart();
    cell.commit();
    let former = "\"former_ms\":";
    let rows = with_workers_text(&cell.saved, former, &format!("{former}9223372036854"));

    let after_ms = starts_elsewhere_after_ms(&rows, 2, 2);

    assert!(after_ms <= ENDS_MAX_MS, "{after_ms} ms");
}

/// The row is written again when another worker joins, with what is left then.
#[test]
fn a_new_leader_waits_for_what_is_left_of_the_lease_of_a_former_incarnation() {
    let mut cell = cell_after_a_restart();
    for _ in 0..80 {
        for renewal in std::mem::take(&mut cell.renewals) {
            cell.answer_renewal_of_incarnation(&renewal, 2, Vec::new(), Vec::new());
        }
        cell.commit();
        cell.tick(100);
    }
    cell.scheduler.worker_listed(entry("w3", 4), cell.now);
    cell.tick(1);
    let renewal = cell.latest_renewal_of("w3");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick(1);
    cell.commit();

    let after_ms = starts_elsewhere_after_ms(&cell.saved, 2, 2);

    assert!(after_ms < HOLD_MAX_MS, "{after_ms} ms");
}

/// The answer to the start was made before that to the renewal, and arrives after it.
#[test]
fn an_answer_to_a_start_that_a_later_answer_overtook_shows_no_restart() {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.tick(5);
    let clock_of_start = cell.clock();
    cell.tick(400);
    let renewal = cell.latest_renewal_of(&start.worker);
    cell.answer_renewal(&renewal, vec![running(&start)], Vec::new());
    cell.answer_start(
        &start,
        StartAnswer::Started {
            clock: clock_of_start,
        },
    );

    let again_after_ms = starts_again_after_ms(&mut cell, &start);

    assert!(again_after_ms < HOLD_MAX_MS, "{again_after_ms} ms");
}
