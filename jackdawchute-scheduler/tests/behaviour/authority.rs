//! What a leader may do and conclude while its epoch is not confirmed.

use crate::fixtures::*;
use jackdawchute_scheduler::{
    Effect, EpochAuthority, JobOutcome, JobStatus, RenewAnswer, Settings, StartAnswer, StartRefusal,
};

/// A cell whose only task runs on `w1`, with a second worker that is free.
fn cell_with_a_running_task() -> (Cell, jackdawchute_scheduler::StartOrder) {
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
    (cell, start)
}

/// Lets time pass while `silent` answers no renewal and all other workers do.
fn pass_time(cell: &mut Cell, silent: &str, duration_ms: u64, mut tick: impl FnMut(&mut Cell)) {
    for _ in 0..duration_ms / 100 {
        for renewal in std::mem::take(&mut cell.renewals) {
            if renewal.worker == silent {
                cell.scheduler.renew_failed(&renewal, cell.now, cell.now);
            } else {
                cell.answer_renewal(&renewal, Vec::new(), Vec::new());
            }
        }
        tick(cell);
    }
}

/// Returns the authority of a leader that nothing has confirmed since `cell.now`.
fn unconfirmed_from_now(cell: &Cell, may_act: bool) -> EpochAuthority {
    EpochAuthority {
        may_act,
        confirmed_at: cell.now,
        earlier_until: cell.earlier_until,
    }
}

/// Another leader may have extended the lease of a worker that is silent to this one.
#[test]
fn tasks_of_a_silent_worker_wait_until_the_epoch_is_confirmed_after_their_lease_has_lapsed() {
    let (mut cell, start) = cell_with_a_running_task();
    let unconfirmed = unconfirmed_from_now(&cell, true);

    pass_time(&mut cell, "w1", 12_000, |cell| {
        cell.tick_with(100, unconfirmed)
    });
    let starts_before = cell.take_starts();
    cell.tick(100);
    let starts_after = cell.take_starts();

    assert_eq!(starts_before, []);
    assert_eq!(starts_after.len(), 1);
    assert!(starts_after[0].run > start.run);
}

#[test]
fn a_leader_without_authority_starts_nothing_and_extends_no_lease() {
    let (mut cell, _) = cell_with_a_running_task();
    let ended = unconfirmed_from_now(&cell, false);
    cell.renewals.clear();
    cell.scheduler.set_authority(ended);
    cell.accept("next", vec![step(1, 1)], queue(0));

    pass_time(&mut cell, "none", 3_000, |cell| {
        cell.tick_with(100, ended);
        let extended = cell.renewals.iter().find(|it| it.lease_until.is_some());
        assert_eq!(extended, None);
    });
    let starts_without_authority = cell.take_starts();
    cell.tick(10);

    assert_eq!(starts_without_authority, []);
    assert_eq!(cell.take_starts().len(), 1);
}

/// The worker reads its clock when it answers, up to the longest wait after the renewal was sent.
#[test]
fn a_lease_lasts_no_longer_than_granted_after_a_renewal_that_waited() {
    let settings = Settings::default();
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.confirm_start(&start);
    cell.tick(10);
    let renewal = cell.latest_renewal_of("w1");
    let sent_at = cell.now;
    cell.now += renewal.wait;
    let clock = cell.clock();
    let answer = RenewAnswer {
        started_unix_ms: 1,
        clock,
        running: vec![running(&start)],
        ended: Vec::new(),
        ends_left_out: 0,
        ended_complete: true,
    };
    cell.scheduler
        .renew_answered(&renewal, sent_at, answer, cell.now);
    cell.accept("next", vec![step(1, 1)], queue(0));
    cell.tick(0);

    let next_renewal = cell.latest_renewal_of("w1");
    let next_start = cell.take_starts().remove(0);

    assert_eq!(next_renewal.lease_until, Some(clock + settings.lease_max()));
    assert_eq!(next_start.lease_until, clock + settings.lease);
}

/// A worker may run on under the lease that an earlier leader extended just before the worker
/// acknowledged the token of this one, whatever it has reported since.
#[test]
fn a_run_under_an_earlier_leaders_lease_counts_until_that_lease_has_lapsed() {
    let (mut cell, start) = cell_with_a_running_task();
    let mut successor = successor(2, &std::mem::take(&mut cell.saved), &["w1", "w2"]);
    for worker in ["w1", "w2"] {
        let renewal = successor.latest_renewal_of(worker);
        let runs = if worker == "w1" {
            vec![running(&start)]
        } else {
            Vec::new()
        };
        successor.answer_renewal(&renewal, runs, Vec::new());
    }
    let acknowledged_at = successor.now;

    let mut restarted_after = None;
    pass_time(&mut successor, "w1", 12_000, |cell| {
        cell.tick(100);
        if cell.take_starts().pop().is_some() {
            restarted_after.get_or_insert(cell.now - acknowledged_at);
        }
    });

    let restarted_after = restarted_after.expect("the task starts again within 12 s");
    let lease = Settings::default().lease_max();
    assert!(restarted_after >= lease, "{restarted_after:?}");
}

/// Until its authority has ended, an earlier leader may extend the lease of a worker that has not
/// acknowledged the token of this one.
#[test]
fn a_recovery_waits_for_the_authority_and_the_leases_of_earlier_leaders() {
    let (mut cell, _) = cell_with_a_running_task();
    let mut successor = successor(2, &std::mem::take(&mut cell.saved), &["w1", "w2"]);

    let mut restarted_after = None;
    pass_time(&mut successor, "w1", 12_000, |cell| {
        cell.tick(100);
        if cell.take_starts().pop().is_some() {
            restarted_after.get_or_insert(cell.now - cell.began_at);
        }
    });

    let restarted_after = restarted_after.expect("the task starts again within 12 s");
    let earlier_leases_last = EARLIER_AUTHORITY + Settings::default().lease_max();
    assert!(
        restarted_after >= earlier_leases_last,
        "{restarted_after:?}"
    );
}

/// A later leader that has the report of this incarnation already may have ended its recovery.
#[test]
fn a_worker_gets_no_task_before_a_confirmation_that_is_later_than_its_report() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    let unconfirmed = unconfirmed_from_now(&cell, true);
    cell.tick_with(10, unconfirmed);
    cell.scheduler.worker_listed(entry("w2", 16), cell.now);
    cell.tick_with(10, unconfirmed);
    let renewal = cell.latest_renewal_of("w2");
    cell.answer_renewal(&renewal, Vec::new(), Vec::new());
    cell.tick_with(10, unconfirmed);
    cell.commit();
    cell.accept("job", vec![step(1, 8)], queue(0));

    cell.tick_with(10, unconfirmed);
    let starts_before = cell.take_starts();
    cell.tick(10);
    let starts_after = cell.take_starts();

    assert_eq!(starts_before, []);
    assert_eq!(starts_after.len(), 1);
}

#[test]
fn a_refused_token_ends_the_leader_unless_it_has_raised_the_token_itself() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.tick(5);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal_of_incarnation(&renewal, 2, Vec::new(), Vec::new());

    cell.scheduler.order_fenced(&"w1".into(), renewal.token);
    let after_own_token = cell.scheduler.take_effects();
    cell.scheduler.order_fenced(&"w1".into(), renewal.token + 1);
    let after_higher_token = cell.scheduler.take_effects();

    let is_fenced = |effect: &Effect| matches!(effect, Effect::Fenced { .. });
    assert!(!after_own_token.iter().any(is_fenced));
    assert!(after_higher_token.iter().any(is_fenced));
}

/// The order left before the restart of the worker was noticed, and arrives after the next one.
#[test]
fn a_start_refused_because_of_this_leaders_own_higher_token_does_not_end_it() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.tick(5);
    let renewal = cell.latest_renewal_of("w1");
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);
    cell.answer_renewal_of_incarnation(&renewal, 2, Vec::new(), Vec::new());
    cell.tick(5);
    let renewal = cell.latest_renewal_of("w1");
    cell.answer_renewal_of_incarnation(&renewal, 2, vec![running(&start)], Vec::new());

    let refused = StartAnswer::Refused {
        reason: StartRefusal::Fenced,
        clock: None,
    };
    cell.answer_start(&start, refused);

    let effects = cell.scheduler.take_effects();
    let is_fenced = |effect: &Effect| matches!(effect, Effect::Fenced { .. });
    assert!(!effects.iter().any(is_fenced));
}

#[test]
fn a_start_that_was_not_sent_is_placed_again_without_counting_its_worker_as_silent() {
    let mut cell = ready_cell(1, &[entry("w1", 4)]);
    cell.accept("job", vec![step(1, 2)], queue(0));
    let start = cell.take_starts().remove(0);

    cell.answer_start(&start, StartAnswer::NotSent);
    cell.tick(10);

    let starts = cell.take_starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > start.run);
}

/// A job that was cancelled under this leader went on under the earlier one.
#[test]
fn a_cancellation_is_not_in_force_while_an_earlier_leader_may_start_tasks() {
    let (mut cell, start) = cell_with_a_running_task();
    let mut successor = successor(2, &std::mem::take(&mut cell.saved), &["w1", "w2"]);
    let renewal = successor.latest_renewal_of("w1");
    successor.answer_renewal(&renewal, vec![running(&start)], Vec::new());
    let job = "job".into();
    let in_force = |cell: &Cell| {
        !cell
            .scheduler
            .may_start_under_earlier_leader(&job, cell.now)
    };

    successor.scheduler.cancel(&job);
    let in_force_at_once = in_force(&successor);
    successor.commit();
    let in_force_once_committed = in_force(&successor);
    successor.tick(EARLIER_AUTHORITY.as_millis() as u64);
    let in_force_after_the_authority = in_force(&successor);

    assert!(!in_force_at_once);
    assert!(!in_force_once_committed);
    assert!(in_force_after_the_authority);
}

/// The leader between has saved the end, and the first one may have authority still.
#[test]
fn a_cancellation_of_an_earlier_epoch_is_not_in_force_while_the_leader_before_may_start_tasks() {
    let (mut cell, _) = cell_with_a_running_task();
    let mut second = successor(2, &std::mem::take(&mut cell.saved), &["w1", "w2"]);
    second.scheduler.cancel(&"job".into());
    second.commit();

    let third = successor(3, &second.saved, &["w1", "w2"]);

    let job = "job".into();
    assert_eq!(
        third.scheduler.status(&job),
        JobStatus::Ended(JobOutcome::Cancelled)
    );
    assert!(third
        .scheduler
        .may_start_under_earlier_leader(&job, third.now));
}

#[test]
fn a_cancellation_is_in_force_once_all_workers_have_reported_to_the_new_leader() {
    let (mut cell, start) = cell_with_a_running_task();
    let mut successor = successor(2, &std::mem::take(&mut cell.saved), &["w1", "w2"]);
    let renewal = successor.latest_renewal_of("w1");
    successor.answer_renewal(&renewal, vec![running(&start)], Vec::new());
    let renewal = successor.latest_renewal_of("w2");
    successor.answer_renewal(&renewal, Vec::new(), Vec::new());
    successor.tick(10);

    let job = "job".into();
    successor.scheduler.cancel(&job);
    successor.commit();

    let now = successor.now;
    assert!(!successor
        .scheduler
        .may_start_under_earlier_leader(&job, now));
}
