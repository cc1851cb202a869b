//! Orders that extend a lease and that a worker may carry out late, their time then counting from
//! there.

use std::time::Duration;

use jackdawchute_scheduler::{EndReason, RowChange, Settings, StartOrder};

use crate::fixtures::*;

/// How long the tests follow a silent worker.
const FOLLOWED_MS: u64 = 40_000;

/// What becomes of the orders that extend the lease of `w1` before it falls silent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Extension {
    Answered,
    /// It gets no answer, and the worker answers none of the orders after it.
    Unanswered,
    /// It gets no answer, and the worker answers the next order.
    UnansweredOnce,
}

/// A cell whose only task runs on `w1`, and whose `w2` is free; the lease of `w1` has been extended
/// once, or such an order got no answer.
fn cell_with_extension(extension: Extension) -> (Cell, StartOrder) {
    let mut cell = ready_cell(1, &[entry("w1", 4), entry("w2", 1)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    cell.scheduler.worker_listed(entry("w2", 4), cell.now);
    cell.tick(1_000);
    for renewal in std::mem::take(&mut cell.renewals) {
        let runs = Vec::from_iter((renewal.worker == "w1").then(|| running(&start)));
        cell.answer_renewal(&renewal, runs, Vec::new());
    }
    cell.tick(1);
    let order = cell.latest_renewal_of("w1");
    assert!(order.lease_until.is_some(), "it extends the lease");
    if extension == Extension::Answered {
        cell.answer_renewal(&order, vec![running(&start)], Vec::new());
    } else {
        cell.scheduler.extension_unanswered(&order, cell.now);
        cell.scheduler.renew_failed(&order, cell.now, cell.now);
    }
    if extension == Extension::UnansweredOnce {
        cell.tick(300);
        let probe = cell.latest_renewal_of("w1");
        assert!(probe.token > order.token);
        cell.answer_renewal(&probe, vec![running(&start)], Vec::new());
    }
    cell.tick(1);
    cell.commit();
    (cell, start)
}

/// Lets time pass while `w1` answers nothing; returns after how long its task runs on `w2`.
fn restarted_after(cell: &mut Cell) -> Option<Duration> {
    let silent_since = cell.now;
    for _ in 0..FOLLOWED_MS / 100 {
        for renewal in std::mem::take(&mut cell.renewals) {
            if renewal.worker == "w1" {
                cell.scheduler.renew_failed(&renewal, cell.now, cell.now);
            } else {
                cell.answer_renewal(&renewal, Vec::new(), Vec::new());
            }
        }
        cell.tick(100);
        cell.commit();
        if cell.take_starts().pop().is_some() {
            return Some(cell.now - silent_since);
        }
    }
    None
}

/// How long a lease may last after an order that extends it, which is carried out just before the
/// lease lapses.
fn late_lease() -> Duration {
    Settings::default().lease_max() * 2
}

/// The longest time in which the tasks of a silent worker start elsewhere, from the end of its lease.
const CONCLUSION_MAX: Duration = Duration::from_millis(1_500);

fn assert_restarted_within(after: Option<Duration>, earliest: Duration, latest: Duration) {
    let after = after.expect("the task starts again");
    assert!((earliest..=latest).contains(&after), "{after:?}");
}

#[test]
fn a_silent_worker_may_carry_out_an_extension_without_an_answer() {
    let (mut cell, _) = cell_with_extension(Extension::Unanswered);

    let after = restarted_after(&mut cell);

    assert_restarted_within(after, late_lease(), late_lease() + CONCLUSION_MAX);
}

/// The worker refuses the order once it has seen the raised token.
#[test]
fn a_worker_that_has_answered_since_carries_out_no_extension_late() {
    for extension in [Extension::Answered, Extension::UnansweredOnce] {
        let (mut cell, _) = cell_with_extension(extension);

        let after = restarted_after(&mut cell);

        let lease = Settings::default().lease_max();
        assert_restarted_within(after, ms(3_500), lease + CONCLUSION_MAX);
    }
}

/// The order that waits for a run to end may get no answer whenever the worker falls silent, so that
/// it extends nothing.
#[test]
fn an_order_that_waits_extends_no_lease() {
    let (mut cell, start) = cell_with_extension(Extension::Answered);
    cell.renewals.clear();

    for _ in 0..20 {
        for renewal in std::mem::take(&mut cell.renewals) {
            assert!(renewal.wait.is_zero() || renewal.lease_until.is_none());
            let runs = Vec::from_iter((renewal.worker == "w1").then(|| running(&start)));
            cell.answer_renewal(&renewal, runs, Vec::new());
        }
        cell.tick(400);
    }

    assert!(cell.take_starts().is_empty());
}

/// The worker may have been cut off since its last answer, so that an extension would get none.
#[test]
fn a_worker_that_was_not_heard_just_before_is_asked_before_its_lease_is_extended() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(2, 1)], queue(0));
    let starts = cell.take_starts();
    for start in &starts {
        cell.confirm_start(start);
    }
    cell.tick(300);
    let renewal = cell.latest_renewal_of("w1");
    let end = ended(1, &starts[0], EndReason::Succeeded);
    // The next renewal comes later, so that the end can be saved before.
    cell.answer_renewal(&renewal, vec![running(&starts[1])], vec![end]);
    cell.tick(600);

    let probe = cell.latest_renewal_of("w1");
    cell.answer_renewal(&probe, vec![running(&starts[1])], Vec::new());
    cell.tick(1);
    let extension = cell.latest_renewal_of("w1");

    assert_eq!((probe.lease_until, probe.wait), (None, Duration::ZERO));
    assert!(extension.lease_until.is_some());
}

/// A successor whose predecessor's last order to extend the lease of `w1` got no answer.
fn successor_of(extension: Extension) -> Cell {
    let (mut cell, _) = cell_with_extension(extension);
    let rows: Vec<RowChange> = std::mem::take(&mut cell.saved);
    successor(2, &rows, &["w1", "w2"])
}

fn earliest_for_successor() -> Duration {
    EARLIER_AUTHORITY + late_lease()
}

#[test]
fn a_successor_reads_that_an_extension_got_no_answer() {
    let mut cell = successor_of(Extension::Unanswered);

    let after = restarted_after(&mut cell);

    let earliest = earliest_for_successor();
    assert_restarted_within(after, earliest, earliest + CONCLUSION_MAX);
}

#[test]
fn a_successor_is_told_of_extensions_under_way() {
    let mut cell = successor_of(Extension::Answered);
    cell.scheduler.earlier_extensions_told(&["w1".into()]);

    let after = restarted_after(&mut cell);

    let earliest = earliest_for_successor();
    assert_restarted_within(after, earliest, earliest + CONCLUSION_MAX);
}

#[test]
fn a_successor_waits_for_the_lease_alone_if_all_extensions_were_answered() {
    for told in [true, false] {
        let mut cell = successor_of(Extension::Answered);
        if told {
            cell.scheduler.earlier_extensions_told(&[]);
        }

        let after = restarted_after(&mut cell);

        let earliest = EARLIER_AUTHORITY + Settings::default().lease_max();
        assert_restarted_within(after, earliest, earliest + CONCLUSION_MAX);
    }
}

/// Where one worker leaves such orders without an answer others may too, and the predecessor may have
/// ended before it noticed.
#[test]
fn a_successor_suspects_all_silent_workers_if_one_left_an_extension_without_an_answer() {
    let with_mark = |told: bool| {
        let (mut cell, _) = cell_with_extension(Extension::Answered);
        let order = cell.latest_renewal_of("w2");
        let order = jackdawchute_scheduler::RenewOrder {
            lease_until: Some(cell.clock()),
            ..order
        };
        cell.scheduler.extension_unanswered(&order, cell.now);
        cell.commit();
        let rows: Vec<RowChange> = std::mem::take(&mut cell.saved);
        let mut cell = successor(2, &rows, &["w1", "w2"]);
        if told {
            cell.scheduler.earlier_extensions_told(&["w2".into()]);
        }
        restarted_after(&mut cell)
    };

    let (unknown, told) = (with_mark(false), with_mark(true));

    let earliest = earliest_for_successor();
    assert_restarted_within(unknown, earliest, earliest + CONCLUSION_MAX);
    let earliest = EARLIER_AUTHORITY + Settings::default().lease_max();
    assert_restarted_within(told, earliest, earliest + CONCLUSION_MAX);
}

/// The predecessor may be replaced before it knows that the order gets no answer.
#[test]
fn an_extension_that_is_under_way_is_told_to_a_successor() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    cell.tick(1_000);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal(&renewal, vec![running(&start)], Vec::new());
    cell.tick(1);

    let told = cell.scheduler.unanswered_extensions();

    assert!(cell.latest_renewal_of("w1").lease_until.is_some());
    assert_eq!(told, ["w1"]);
}
