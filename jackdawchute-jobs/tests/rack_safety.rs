//! What a rack owner keeps under failure, decision by decision.

mod fixtures;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use fixtures::{
    rack::{
        answers, claimed, finish_append, group, id, journaled_entries, racks, renewals, report,
        run_start, running, start, starts, RACK, WORKER_ID,
    },
    settings,
};
use jackdawchute_jobs::{
    effect::{Effect, WorkerCall},
    rack::{IntentPhase, RackGroups},
    AttemptEnd, AttemptState, NotStartedReason, Reply, Settings,
};
use jackdawchute_ownership::LeaseState;
use jackdawchute_ports::{Error, StartOutcome};
use jackdawchute_types::Resources;

const NEVER: AttemptState = AttemptState::Ended(AttemptEnd::NotStarted(NotStartedReason::Closed));

#[test]
fn a_start_is_sent_only_once_its_intent_is_journaled() {
    let now = Instant::now();
    let mut racks = racks(now);

    let before = racks.start(
        1,
        &group(RACK, 1),
        &group("jobs/0", 1),
        vec![start("j-0", 1, 1_000)],
        now,
    );
    let sent_before = starts(&before);
    let after = finish_append(&mut racks, before, false, now);

    let state = AttemptState::Ended(AttemptEnd::NotStarted(NotStartedReason::StoreUnavailable));
    assert_eq!((sent_before, starts(&after)), (0, 0));
    assert_eq!(answers(&after), [(id("j-0", 1), state)]);
    assert_eq!(racks.open_intents(), 0);
}

#[test]
fn no_start_is_sent_for_a_rack_lost_while_journaling() {
    let now = Instant::now();
    let mut racks = racks(now);
    let effects = racks.start(
        1,
        &group(RACK, 1),
        &group("jobs/0", 1),
        vec![start("j-0", 1, 1_000)],
        now,
    );

    racks.lost(&RACK.into());
    let after = finish_append(&mut racks, effects, true, now);

    assert_eq!(starts(&after), 0);
}

#[test]
fn a_refused_attempt_stays_refused_when_it_comes_again() {
    let now = Instant::now();
    let mut racks = racks(now);
    run_start(&mut racks, start("j-0", 1, 9_000), true, now);

    // The same attempt once more, as if delivered late, now that it would fit.
    let late = run_start(&mut racks, start("j-0", 1, 1_000), true, now);

    assert_eq!(answers(&late), [(id("j-0", 1), NEVER)]);
    assert_eq!(starts(&late), 0);
}

#[test]
fn a_stopped_attempt_that_never_came_never_starts() {
    let now = Instant::now();
    let mut racks = racks(now);
    let stop = vec![id("j-0", 1)];
    racks
        .stop(&group(RACK, 1), &group("jobs/0", 1), stop, now)
        .unwrap();

    let late = run_start(&mut racks, start("j-0", 1, 1_000), true, now);

    assert_eq!(answers(&late), [(id("j-0", 1), NEVER)]);
}

#[test]
fn a_former_home_owner_and_a_call_for_another_epoch_are_refused() {
    let now = Instant::now();
    let mut racks = racks(now);
    racks
        .stop(&group(RACK, 1), &group("jobs/0", 2), Vec::new(), now)
        .unwrap();

    let former = racks.start(
        1,
        &group(RACK, 1),
        &group("jobs/0", 1),
        vec![start("j-0", 1, 1)],
        now,
    );
    let epoch = racks.start(
        2,
        &group(RACK, 3),
        &group("jobs/0", 2),
        vec![start("j-0", 1, 1)],
        now,
    );

    for effects in [former, epoch] {
        assert!(matches!(
            effects[..],
            [Effect::Answer { result: Err(_), .. }]
        ));
    }
    assert_eq!(racks.open_intents(), 0);
}

#[test]
fn a_successor_counts_an_intent_until_the_workers_clock_passed_it() {
    let now = Instant::now();
    let mut former = racks(now);
    let effects = former.start(
        1,
        &group(RACK, 1),
        &group("jobs/0", 1),
        vec![start("j-0", 1, 6_000)],
        now,
    );
    let mut racks = claimed(2, &journaled_entries(&effects), now);

    // The worker has never seen the task; the start may still arrive until clock 115 s.
    racks.reported(&WORKER_ID.into(), Some(report(110, "b1", Vec::new())), now);
    let phase_before = racks.intent(&id("j-0", 1)).map(|intent| intent.phase);
    let charged = racks
        .fleet()
        .get(&WORKER_ID.into())
        .map(|slot| slot.charged);
    racks.reported(&WORKER_ID.into(), Some(report(116, "b1", Vec::new())), now);

    let end = AttemptEnd::NotStarted(NotStartedReason::NotDelivered);
    assert_eq!(phase_before, Some(IntentPhase::Sent));
    assert_eq!(charged, Some(Resources::new(6_000, 1_024, 0)));
    assert_eq!(
        racks.intent(&id("j-0", 1)).map(|i| i.phase),
        Some(IntentPhase::Ended(end))
    );
}

#[test]
fn a_successor_adopts_what_runs_and_never_starts_it() {
    let now = Instant::now();
    let mut former = racks(now);
    let effects = former.start(
        1,
        &group(RACK, 1),
        &group("jobs/0", 1),
        vec![start("j-0", 1, 1_000)],
        now,
    );
    let mut racks = claimed(2, &journaled_entries(&effects), now);

    let tasks = vec![running("j-0", 1, 1_000)];
    let mut effects = racks.reported(&WORKER_ID.into(), Some(report(110, "b1", tasks)), now);
    effects.extend(racks.start(
        1,
        &group(RACK, 2),
        &group("jobs/0", 1),
        vec![start("j-0", 1, 1_000)],
        now,
    ));

    assert_eq!((starts(&effects), renewals(&effects)), (0, 1));
    assert_eq!(answers(&effects), [(id("j-0", 1), AttemptState::Running)]);
}

#[test]
fn a_lost_answer_leaves_the_start_open() {
    let now = Instant::now();
    let mut racks = racks(now);
    run_start(&mut racks, start("j-0", 1, 1_000), true, now);
    let lost = Error::Unknown("start", "w".into(), "lost".into());

    racks.started(&WORKER_ID.into(), &id("j-0", 1), Err(lost), now);

    assert_eq!(
        racks.intent(&id("j-0", 1)).map(|i| i.phase),
        Some(IntentPhase::Sent)
    );
}

#[test]
fn a_cut_off_holder_neither_renews_nor_starts() {
    for (lease_state, renewed) in [
        (LeaseState::Confirmed, 1),
        (LeaseState::StoreDown, 1),
        (LeaseState::CutOff, 0),
        (LeaseState::Fenced, 0),
    ] {
        let now = Instant::now();
        let mut racks = racks(now);
        run_start(&mut racks, start("j-0", 1, 1_000), true, now);
        racks.started(
            &WORKER_ID.into(),
            &id("j-0", 1),
            Ok(StartOutcome::Started),
            now,
        );
        racks.set_lease_state(lease_state);

        let tasks = vec![running("j-0", 1, 1_000)];
        let report = report(110, "b1", tasks);
        let effects = racks.reported(&WORKER_ID.into(), Some(report), now);
        let other = run_start(&mut racks, start("k-0", 1, 1_000), true, now);

        assert_eq!(renewals(&effects), renewed, "{lease_state:?}");
        assert_eq!(
            starts(&other),
            usize::from(lease_state == LeaseState::Confirmed)
        );
    }
}

#[test]
fn a_holder_that_was_paused_renews_nothing_before_its_standing_can_come_through() {
    let now = Instant::now();
    let seconds = |count| now + Duration::from_secs(count);
    let mut racks = racks(now);
    run_start(&mut racks, start("j-0", 1, 1_000), true, now);
    racks.tick(now);
    let renewed_at = |racks: &mut RackGroups, at: Instant, clock_s| {
        let report = report(clock_s, "b1", vec![running("j-0", 1, 1_000)]);
        renewals(&racks.reported(&WORKER_ID.into(), Some(report), at))
    };

    let resumed = renewed_at(&mut racks, seconds(10), 110);
    racks.tick(seconds(10));
    let ticked = renewed_at(&mut racks, seconds(10), 110);
    racks.tick(seconds(10) + Duration::from_millis(900));
    racks.tick(seconds(11));
    let later = renewed_at(&mut racks, seconds(11), 111);

    assert_eq!((resumed, ticked, later), (0, 0, 1));
}

#[test]
fn a_restarted_worker_is_told_never_to_start_what_was_sent_before() {
    let now = Instant::now();
    let mut racks = racks(now);
    run_start(&mut racks, start("j-0", 1, 1_000), true, now);

    // The new clock is low, so the old start would still be in time.
    let effects = racks.reported(&WORKER_ID.into(), Some(report(1, "b2", Vec::new())), now);
    let phase = racks.intent(&id("j-0", 1)).map(|intent| intent.phase);
    racks.stopped(&WORKER_ID.into(), &id("j-0", 1), true, now);

    let stop = Effect::Worker {
        worker: WORKER_ID.into(),
        call: WorkerCall::Stop(id("j-0", 1)),
    };
    assert!(effects.contains(&stop));
    assert_eq!(phase, Some(IntentPhase::Stopping(true)));
    let end = racks.intent(&id("j-0", 1)).map(|intent| intent.phase);
    assert_eq!(end, Some(IntentPhase::Ended(AttemptEnd::Lost)));
}

#[test]
fn a_silent_worker_keeps_its_tasks_until_every_lease_has_lapsed() {
    let now = Instant::now();
    let settings = settings();
    let own = settings.lease + settings.clock_margin;
    let mut former = racks(now);
    let effects = former.start(
        1,
        &group(RACK, 1),
        &group("jobs/0", 1),
        vec![start("j-0", 1, 1_000)],
        now,
    );
    finish_append(&mut former, effects, true, now);
    let mut other = racks(now);
    let effects = other.start(
        1,
        &group(RACK, 1),
        &group("jobs/0", 1),
        vec![start("j-0", 1, 1_000)],
        now,
    );
    let mut successor = claimed(2, &journaled_entries(&effects), now);

    let cases = [
        (&mut former, own),
        (&mut successor, settings.holder_stop_max + own),
    ];

    for (racks, lapse) in cases {
        racks.tick(now + lapse - Duration::from_millis(1));
        assert_eq!(racks.open_intents(), 1);
        racks.tick(now + lapse + Duration::from_millis(1));
        assert_eq!(racks.open_intents(), 0);
    }
}

#[test]
fn a_workers_overuse_is_no_room() {
    let now = Instant::now();
    let mut racks = racks(now);
    run_start(&mut racks, start("j-0", 1, 1_000), true, now);
    let tasks = vec![running("j-0", 1, 7_500)];
    racks.reported(&WORKER_ID.into(), Some(report(101, "b1", tasks)), now);

    let effects = run_start(&mut racks, start("k-0", 1, 1_000), true, now);

    let state = AttemptState::Ended(AttemptEnd::NotStarted(NotStartedReason::NoRoom));
    assert_eq!(answers(&effects), [(id("k-0", 1), state)]);
}

#[test]
fn a_worker_whose_report_is_old_gets_nothing() {
    let now = Instant::now();
    let mut racks = racks(now);
    let later = now + settings().report_age_max + Duration::from_millis(1);
    racks.tick(later);

    let effects = run_start(&mut racks, start("j-0", 1, 1_000), true, later);

    assert_eq!(starts(&effects), 0);
}

#[test]
fn a_short_lease_is_reported_and_renewed_in_time() {
    let now = Instant::now();
    let lease = Duration::from_secs(1);
    let mut racks = racks(now);
    racks.set_settings(Arc::new(Settings {
        lease,
        ..Settings::default()
    }));
    run_start(&mut racks, start("j-0", 1, 1_000), true, now);
    let tasks = vec![running("j-0", 1, 1_000)];
    racks.reported(&WORKER_ID.into(), Some(report(100, "b1", tasks)), now);

    let early = racks.tick(now + lease / 20);
    let due = racks.tick(now + lease / 5);

    let report = Effect::Worker {
        worker: WORKER_ID.into(),
        call: WorkerCall::Report,
    };
    assert!(!early.contains(&report) && due.contains(&report));
}

#[test]
fn holds_are_whole_count_as_used_and_lapse() {
    let now = Instant::now();
    let mut racks = racks(now);
    let held = |reply: Reply| matches!(reply, Reply::Rack { held: true, .. });
    let rack = group(RACK, 1);

    let too_many = vec![start("g-0", 1, 5_000), start("g-1", 1, 5_000)];
    assert!(!held(racks.hold(&rack, &too_many, now).unwrap()));
    let charged = racks
        .fleet()
        .get(&WORKER_ID.into())
        .map(|slot| slot.charged);
    assert_eq!(charged, Some(Resources::ZERO));
    let first = [start("g-0", 1, 5_000)];
    assert!(held(racks.hold(&rack, &first, now).unwrap()));
    assert!(!held(
        racks.hold(&rack, &[start("h-0", 1, 5_000)], now).unwrap()
    ));
    racks.tick(now + settings().hold);

    assert!(held(
        racks.hold(&rack, &[start("h-0", 1, 5_000)], now).unwrap()
    ));
}
