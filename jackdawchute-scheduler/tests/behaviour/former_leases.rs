//! Leases that a worker has from orders to its former incarnation, and what rows tell of them.

use crate::fixtures::*;
use jackdawchute_scheduler::{RowChange, RowTable, WorkerEntry};

/// The longest hold of the users' platform: a worker cuts longer leases to it.
const HOLD_MAX_MS: u64 = 10_000;
/// How much time passes at least between two writes of a row for what is left of a lease.
const WRITES_PERIOD_MS: u64 = 2_000;

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
fn the_row_of_a_restarted_worker_is_written_now_and_then_until_its_earlier_lease_has_lapsed() {
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
    let last_ms = writes_after_ms.last().copied().unwrap_or_default();

    let is_rare = |pair: &[u64]| pair[1] == last_ms || pair[1] - pair[0] >= WRITES_PERIOD_MS;
    assert!(last_ms >= HOLD_MAX_MS, "{writes_after_ms:?}");
    assert!(last_ms < HOLD_MAX_MS + 1_000, "{writes_after_ms:?}");
    assert!(
        writes_after_ms.windows(2).all(is_rare),
        "{writes_after_ms:?}"
    );
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

/// Otherwise each of several leaders in a row would wait for the whole lease.
#[test]
fn a_leader_saves_what_is_left_of_a_lease_of_a_former_incarnation() {
    let mut cell = cell_after_a_restart();
    cell.commit();
    let mut unheard = successor(2, &cell.saved, &["w1"]);
    for _ in 0..50 {
        unheard.tick(100);
        unheard.commit();
    }

    let after_ms = starts_elsewhere_after_ms(&unheard.saved, 3, 2);

    assert!(after_ms >= HOLD_MAX_MS - 5_000, "{after_ms} ms");
    assert!(after_ms <= HOLD_MAX_MS - 1_500, "{after_ms} ms");
}
