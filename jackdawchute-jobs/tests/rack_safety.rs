//! Safety of the rack owner under failures, one decision at a time.

mod fixtures;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use fixtures::{
    rack::{
        answers, attempt_id, claimed, finish_append, group_epoch, journaled_entries, racks,
        renewals, report, request_start, running_task, sent_starts, task_start, RACK, WORKER_ID,
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

/// The state of an attempt that was closed before its start arrived.
const CLOSED: AttemptState = AttemptState::Ended(AttemptEnd::NotStarted(NotStartedReason::Closed));

/// A successor knows only journaled intents: a start sent without one could run beside another
/// attempt.
#[test]
fn a_start_is_sent_only_once_its_intent_is_journaled() {
    let now = Instant::now();
    let mut racks = racks(now);

    let before = racks.start(
        1,
        &group_epoch(RACK, 1),
        &group_epoch("jobs/0", 1),
        vec![task_start("j-0", 1, 1_000)],
        now,
    );
    let sent_before = sent_starts(&before);
    let after = finish_append(&mut racks, before, false, now);

    let state = AttemptState::Ended(AttemptEnd::NotStarted(NotStartedReason::StoreUnavailable));
    assert_eq!((sent_before, sent_starts(&after)), (0, 0));
    assert_eq!(answers(&after), [(attempt_id("j-0", 1), state)]);
    assert_eq!(racks.open_intents(), 0);
}

/// The successor may have ended the attempt already.
#[test]
fn no_start_is_sent_for_a_rack_lost_while_the_intent_is_journaled() {
    let now = Instant::now();
    let mut racks = racks(now);
    let effects = racks.start(
        1,
        &group_epoch(RACK, 1),
        &group_epoch("jobs/0", 1),
        vec![task_start("j-0", 1, 1_000)],
        now,
    );

    racks.lost(&RACK.into());
    let after = finish_append(&mut racks, effects, true, now);

    assert_eq!(sent_starts(&after), 0);
}

/// The home owner starts another attempt after a refusal, so a duplicate of the refused call must
/// not start this one.
#[test]
fn a_refused_attempt_stays_refused_when_it_is_delivered_again() {
    let now = Instant::now();
    let mut racks = racks(now);
    request_start(&mut racks, task_start("j-0", 1, 9_000), true, now);

    // A late duplicate of the call, now with a size that fits.
    let late = request_start(&mut racks, task_start("j-0", 1, 1_000), true, now);

    assert_eq!(answers(&late), [(attempt_id("j-0", 1), CLOSED)]);
    assert_eq!(sent_starts(&late), 0);
}

/// Calls may overtake each other: a start that arrives after its stop must be refused.
#[test]
fn an_attempt_stopped_before_its_start_arrives_never_starts() {
    let now = Instant::now();
    let mut racks = racks(now);
    let stop = vec![attempt_id("j-0", 1)];
    racks
        .stop(&group_epoch(RACK, 1), &group_epoch("jobs/0", 1), stop, now)
        .unwrap();

    let late = request_start(&mut racks, task_start("j-0", 1, 1_000), true, now);

    assert_eq!(answers(&late), [(attempt_id("j-0", 1), CLOSED)]);
}

/// A replaced home owner may not know the newer attempts of a task, and a call for another epoch
/// was meant for another owner of the rack.
#[test]
fn calls_of_a_replaced_home_owner_or_for_another_rack_epoch_are_refused() {
    let now = Instant::now();
    let mut racks = racks(now);
    racks
        .stop(
            &group_epoch(RACK, 1),
            &group_epoch("jobs/0", 2),
            Vec::new(),
            now,
        )
        .unwrap();

    let of_replaced_home_owner = racks.start(
        1,
        &group_epoch(RACK, 1),
        &group_epoch("jobs/0", 1),
        vec![task_start("j-0", 1, 1)],
        now,
    );
    let for_other_epoch = racks.start(
        2,
        &group_epoch(RACK, 3),
        &group_epoch("jobs/0", 2),
        vec![task_start("j-0", 1, 1)],
        now,
    );

    for effects in [of_replaced_home_owner, for_other_epoch] {
        assert!(matches!(
            effects[..],
            [Effect::Answer { result: Err(_), .. }]
        ));
    }
    assert_eq!(racks.open_intents(), 0);
}

/// A worker that does not list a journaled attempt may still receive its delayed start until the
/// lease lapses by its clock.
#[test]
fn a_successor_keeps_an_intent_open_until_the_workers_clock_has_passed_its_lease() {
    let now = Instant::now();
    let mut predecessor = racks(now);
    let effects = predecessor.start(
        1,
        &group_epoch(RACK, 1),
        &group_epoch("jobs/0", 1),
        vec![task_start("j-0", 1, 6_000)],
        now,
    );
    let mut racks = claimed(2, &journaled_entries(&effects), now);

    // The worker does not know the task; its start may arrive until the clock reads 115 s.
    racks.reported(&WORKER_ID.into(), Some(report(110, "b1", Vec::new())), now);
    let phase_before = racks
        .intent(&attempt_id("j-0", 1))
        .map(|intent| intent.phase);
    let charged = racks
        .fleet()
        .get(&WORKER_ID.into())
        .map(|worker| worker.charged);
    racks.reported(&WORKER_ID.into(), Some(report(116, "b1", Vec::new())), now);

    let end = AttemptEnd::NotStarted(NotStartedReason::NotDelivered);
    assert_eq!(phase_before, Some(IntentPhase::Sent));
    assert_eq!(charged, Some(Resources::new(6_000, 1_024, 0)));
    assert_eq!(
        racks.intent(&attempt_id("j-0", 1)).map(|i| i.phase),
        Some(IntentPhase::Ended(end))
    );
}

/// A successor finds a running task as an intent; a second start would be another run of the task.
#[test]
fn a_successor_renews_a_running_task_and_does_not_start_it_again() {
    let now = Instant::now();
    let mut predecessor = racks(now);
    let effects = predecessor.start(
        1,
        &group_epoch(RACK, 1),
        &group_epoch("jobs/0", 1),
        vec![task_start("j-0", 1, 1_000)],
        now,
    );
    let mut racks = claimed(2, &journaled_entries(&effects), now);

    let tasks = vec![running_task("j-0", 1, 1_000)];
    let mut effects = racks.reported(&WORKER_ID.into(), Some(report(110, "b1", tasks)), now);
    effects.extend(racks.start(
        1,
        &group_epoch(RACK, 2),
        &group_epoch("jobs/0", 1),
        vec![task_start("j-0", 1, 1_000)],
        now,
    ));

    assert_eq!((sent_starts(&effects), renewals(&effects)), (0, 1));
    assert_eq!(
        answers(&effects),
        [(attempt_id("j-0", 1), AttemptState::Running)]
    );
}

/// The worker may run the task although the answer to the start was lost.
#[test]
fn a_start_whose_answer_is_lost_stays_open() {
    let now = Instant::now();
    let mut racks = racks(now);
    request_start(&mut racks, task_start("j-0", 1, 1_000), true, now);
    let lost = Error::Unknown("start", "w".into(), "lost".into());

    racks.started(&WORKER_ID.into(), &attempt_id("j-0", 1), Err(lost), now);

    assert_eq!(
        racks.intent(&attempt_id("j-0", 1)).map(|i| i.phase),
        Some(IntentPhase::Sent)
    );
}

/// A rack owner that reaches neither table nor peers may have a successor, which counts on the
/// leases to lapse. While the store is down nobody can fence it, so it renews leases but starts
/// nothing.
#[test]
fn a_cut_off_or_fenced_rack_owner_neither_renews_nor_starts() {
    for (lease_state, renewed) in [
        (LeaseState::Confirmed, 1),
        (LeaseState::StoreDown, 1),
        (LeaseState::CutOff, 0),
        (LeaseState::Fenced, 0),
    ] {
        let now = Instant::now();
        let mut racks = racks(now);
        request_start(&mut racks, task_start("j-0", 1, 1_000), true, now);
        racks.started(
            &WORKER_ID.into(),
            &attempt_id("j-0", 1),
            Ok(StartOutcome::Started),
            now,
        );
        racks.set_lease_state(lease_state);

        let tasks = vec![running_task("j-0", 1, 1_000)];
        let report = report(110, "b1", tasks);
        let effects = racks.reported(&WORKER_ID.into(), Some(report), now);
        let other = request_start(&mut racks, task_start("k-0", 1, 1_000), true, now);

        assert_eq!(renewals(&effects), renewed, "{lease_state:?}");
        assert_eq!(
            sent_starts(&other),
            usize::from(lease_state == LeaseState::Confirmed)
        );
    }
}

/// A process that was stopped for longer than its owner lease may have been fenced meanwhile, while
/// its last known lease state still says that it may act.
#[test]
fn a_paused_rack_owner_renews_nothing_until_a_new_lease_state_can_have_arrived() {
    let now = Instant::now();
    let seconds = |count| now + Duration::from_secs(count);
    let mut racks = racks(now);
    request_start(&mut racks, task_start("j-0", 1, 1_000), true, now);
    racks.tick(now);
    let renewed_at = |racks: &mut RackGroups, at: Instant, clock_s| {
        let report = report(clock_s, "b1", vec![running_task("j-0", 1, 1_000)]);
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

/// The clock of a worker starts anew with it, so a delayed start could arrive within its lease by
/// the new clock.
#[test]
fn a_restarted_worker_is_asked_to_refuse_starts_sent_before_its_restart() {
    let now = Instant::now();
    let mut racks = racks(now);
    request_start(&mut racks, task_start("j-0", 1, 1_000), true, now);

    // The new clock is far below the end of the old start's lease, so the worker would accept it.
    let effects = racks.reported(&WORKER_ID.into(), Some(report(1, "b2", Vec::new())), now);
    let phase = racks
        .intent(&attempt_id("j-0", 1))
        .map(|intent| intent.phase);
    racks.stopped(&WORKER_ID.into(), &attempt_id("j-0", 1), true, now);

    let stop = Effect::Worker {
        worker: WORKER_ID.into(),
        call: WorkerCall::Stop(attempt_id("j-0", 1)),
    };
    assert!(effects.contains(&stop));
    assert_eq!(phase, Some(IntentPhase::Stopping(true)));
    let end = racks
        .intent(&attempt_id("j-0", 1))
        .map(|intent| intent.phase);
    assert_eq!(end, Some(IntentPhase::Ended(AttemptEnd::Lost)));
}

/// A worker that restarts between a report and an order would take the order by its new clock.
#[test]
fn starts_and_renewals_name_the_incarnation_that_reported_the_clock() {
    let now = Instant::now();
    let mut racks = racks(now);

    let mut effects = request_start(&mut racks, task_start("j-0", 1, 1_000), true, now);
    let tasks = vec![running_task("j-0", 1, 1_000)];
    effects.extend(racks.reported(&WORKER_ID.into(), Some(report(101, "b1", tasks)), now));

    let leases = effects.iter().filter_map(|effect| match effect {
        Effect::Worker { call, .. } => match call {
            WorkerCall::Start(start) => Some(&start.lease),
            WorkerCall::Renew(_, lease) => Some(lease),
            _ => None,
        },
        _ => None,
    });
    let boots: Vec<&str> = leases.map(|lease| lease.boot.as_str()).collect();
    assert_eq!(boots, ["b1", "b1"]);
}

/// A task may use more than it declares; free capacity must not count what it uses.
#[test]
fn reported_use_above_the_declared_size_counts_as_used() {
    let now = Instant::now();
    let mut racks = racks(now);
    request_start(&mut racks, task_start("j-0", 1, 1_000), true, now);
    let tasks = vec![running_task("j-0", 1, 7_500)];
    racks.reported(&WORKER_ID.into(), Some(report(101, "b1", tasks)), now);

    let effects = request_start(&mut racks, task_start("k-0", 1, 1_000), true, now);

    let state = AttemptState::Ended(AttemptEnd::NotStarted(NotStartedReason::NoRoom));
    assert_eq!(answers(&effects), [(attempt_id("k-0", 1), state)]);
}

/// Leases are granted by the worker clock in the last report; an old one would grant a lease that
/// has already lapsed in part.
#[test]
fn a_worker_whose_last_report_is_too_old_gets_no_tasks() {
    let now = Instant::now();
    let mut racks = racks(now);
    let later = now + settings().report_age_max + Duration::from_millis(1);
    racks.tick(later);

    let effects = request_start(&mut racks, task_start("j-0", 1, 1_000), true, later);

    assert_eq!(sent_starts(&effects), 0);
}

/// Renewals follow reports: at the usual period a short lease would lapse before its renewal.
#[test]
fn a_short_lease_shortens_the_time_between_reports() {
    let now = Instant::now();
    let lease = Duration::from_secs(1);
    let mut racks = racks(now);
    racks.set_settings(Arc::new(Settings {
        lease,
        ..Settings::default()
    }));
    request_start(&mut racks, task_start("j-0", 1, 1_000), true, now);
    let tasks = vec![running_task("j-0", 1, 1_000)];
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
fn holds_are_all_or_none_count_as_used_and_lapse() {
    let now = Instant::now();
    let mut racks = racks(now);
    let held = |reply: Reply| matches!(reply, Reply::Rack { held: true, .. });
    let rack = group_epoch(RACK, 1);

    let too_many = vec![task_start("g-0", 1, 5_000), task_start("g-1", 1, 5_000)];
    assert!(!held(racks.hold(&rack, &too_many, now).unwrap()));
    let charged = racks
        .fleet()
        .get(&WORKER_ID.into())
        .map(|worker| worker.charged);
    assert_eq!(charged, Some(Resources::ZERO));
    let first = [task_start("g-0", 1, 5_000)];
    assert!(held(racks.hold(&rack, &first, now).unwrap()));
    assert!(!held(
        racks
            .hold(&rack, &[task_start("h-0", 1, 5_000)], now)
            .unwrap()
    ));
    racks.tick(now + settings().hold);

    assert!(held(
        racks
            .hold(&rack, &[task_start("h-0", 1, 5_000)], now)
            .unwrap()
    ));
}
