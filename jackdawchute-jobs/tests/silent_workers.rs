//! What the rack owner concludes from the silence of workers, one decision at a time.

mod fixtures;

use std::time::{Duration, Instant};

use fixtures::{
    rack::{
        answers, attempt_id, claimed, finish_append, group_epoch, journaled_entries,
        lost_while_appends_fail, racks, racks_with_task, report, reported_lost, request_start,
        task_start, RACK, WORKER_ID,
    },
    settings,
};
use jackdawchute_jobs::{rack::IntentPhase, AttemptState};
use jackdawchute_ownership::LeaseState;

/// The time after a worker's last report at which the leases that count from it have lapsed.
fn silence_limit() -> Duration {
    settings().lease + settings().clock_margin
}

/// A silent worker may run its tasks until their leases lapse. After a takeover the fenced
/// predecessor may have renewed them for a while longer.
#[test]
fn attempts_on_a_silent_worker_stay_open_until_every_lease_has_lapsed() {
    let now = Instant::now();
    let mut predecessor = racks(now);
    let effects = predecessor.start(
        1,
        &group_epoch(RACK, 1),
        &group_epoch("jobs/0", 1),
        vec![task_start("j-0", 1, 1_000)],
        now,
    );
    finish_append(&mut predecessor, effects, true, now);
    let mut other = racks(now);
    let effects = other.start(
        1,
        &group_epoch(RACK, 1),
        &group_epoch("jobs/0", 1),
        vec![task_start("j-0", 1, 1_000)],
        now,
    );
    let mut successor = claimed(2, &journaled_entries(&effects), now);

    let cases = [
        (&mut predecessor, silence_limit()),
        (&mut successor, settings().holder_stop_max + silence_limit()),
    ];

    for (racks, lapse) in cases {
        let before = now + lapse - Duration::from_millis(1);
        let effects = racks.tick(before);
        finish_append(racks, effects, true, before);
        assert_eq!(racks.open_intents(), 1);
        let after = now + lapse + Duration::from_millis(1);
        let effects = racks.tick(after);
        finish_append(racks, effects, true, after);
        assert_eq!(racks.open_intents(), 0);
    }
}

/// A successor may have claimed the rack during the pause and renewed the leases. The known lease
/// state may still be that of before the pause; the journal refuses entries after the fence.
#[test]
fn a_rack_owner_fenced_while_it_was_paused_reports_no_attempt_as_lost() {
    let now = Instant::now();
    let mut racks = racks_with_task("j-0", now);
    racks.tick(now);
    let resumed = now + silence_limit() + Duration::from_secs(3);

    let lost = lost_while_appends_fail(&mut racks, resumed, Duration::from_secs(3));
    let repeated = request_start(&mut racks, task_start("j-0", 1, 1_000), false, resumed);

    assert_eq!(lost, []);
    assert_eq!(
        answers(&repeated),
        [(attempt_id("j-0", 1), AttemptState::Journaled)]
    );
}

/// A rack owner that is cut off from the table and the worker may still reach the home owner, and
/// its successor may reach the worker.
#[test]
fn a_rack_owner_reports_no_attempt_as_lost_until_it_is_confirmed_after_the_silence() {
    for unconfirmed in [
        LeaseState::StoreDown,
        LeaseState::CutOff,
        LeaseState::Fenced,
    ] {
        let now = Instant::now();
        let mut racks = racks_with_task("j-0", now);
        racks.set_lease_state(unconfirmed);
        let confirmed_at = now + silence_limit() * 2;

        let lost = lost_while_appends_fail(&mut racks, now, silence_limit() * 2);
        let while_unconfirmed = journaled_entries(&racks.tick(confirmed_at));
        racks.set_lease_state(LeaseState::Confirmed);
        let effects = racks.tick(confirmed_at);
        let lost_before_append = reported_lost(&effects);
        let effects = finish_append(&mut racks, effects, true, confirmed_at);

        assert_eq!((lost, lost_before_append), (vec![], vec![]));
        assert_eq!(while_unconfirmed, []);
        assert_eq!(reported_lost(&effects), [attempt_id("j-0", 1)]);
    }
}

/// Until the home owner has acknowledged the end, a successor must find the intent in the journal.
#[test]
fn the_append_before_a_report_of_lost_attempts_keeps_their_intents() {
    let now = Instant::now();
    let mut racks = racks(now);
    let start = vec![task_start("j-0", 1, 1_000)];
    let (rack, home) = (group_epoch(RACK, 1), group_epoch("jobs/0", 1));
    let effects = racks.start(1, &rack, &home, start, now);
    let intents = journaled_entries(&effects);
    finish_append(&mut racks, effects, true, now);

    let silent_at = now + silence_limit() + Duration::from_millis(1);
    let first = racks.tick(silent_at);
    let while_appending = racks.tick(silent_at);

    assert_eq!(journaled_entries(&first), intents);
    assert_eq!(journaled_entries(&while_appending), []);
}

/// A start that was sent before the restart may still arrive, until the worker was told to refuse
/// it.
#[test]
fn a_worker_that_reports_during_the_append_for_its_silence_ends_its_attempts_itself() {
    let now = Instant::now();
    let mut racks = racks_with_task("j-0", now);
    let silent_at = now + silence_limit() + Duration::from_millis(1);

    let effects = racks.tick(silent_at);
    let restarted = report(1, "b2", Vec::new());
    racks.reported(&WORKER_ID.into(), Some(restarted), silent_at);
    let effects = finish_append(&mut racks, effects, true, silent_at);

    assert_eq!(reported_lost(&effects), []);
    assert_eq!(
        racks.intent(&attempt_id("j-0", 1)).map(|i| i.phase),
        Some(IntentPhase::Stopping(true))
    );
}

/// The table may refuse a commit for a moment; the tasks must still run again.
#[test]
fn a_failed_append_for_lapsed_attempts_is_repeated() {
    let now = Instant::now();
    let mut racks = racks_with_task("j-0", now);
    let silent_at = now + silence_limit();
    let repeated_at = silent_at + Duration::from_secs(1);

    let lost = lost_while_appends_fail(&mut racks, silent_at, Duration::from_secs(1));
    let effects = racks.tick(repeated_at);
    let effects = finish_append(&mut racks, effects, true, repeated_at);

    assert_eq!(lost, []);
    assert_eq!(reported_lost(&effects), [attempt_id("j-0", 1)]);
}
