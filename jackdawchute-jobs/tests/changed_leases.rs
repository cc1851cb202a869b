//! Leases whose length changes while tasks run, one decision at a time.

mod fixtures;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use fixtures::{
    rack::{
        attempt_id, finish_append, group_epoch, journaled_entries, racks, racks_with_task,
        renewals, report, reported_lost, running_task, task_start, RACK, WORKER_ID,
    },
    settings,
};
use jackdawchute_jobs::{rack::RackGroups, Settings};
use jackdawchute_ownership::LeaseState;

/// The lease before it is made shorter.
const LONG: Duration = Duration::from_secs(15);

fn shorter_lease() -> Arc<Settings> {
    Arc::new(Settings {
        lease: Duration::from_secs(1),
        ..settings()
    })
}

/// Ticks with an append that succeeds; returns whether an attempt is over after it.
fn is_given_up(racks: &mut RackGroups, at: Instant) -> bool {
    let effects = racks.tick(at);
    finish_append(racks, effects, true, at);
    racks.open_intents() == 0
}

#[test]
fn a_shorter_lease_does_not_end_the_longer_one_that_a_silent_worker_has() {
    let now = Instant::now();
    let mut racks = racks_with_task("j-0", now);
    racks.set_settings(shorter_lease());

    let lapse = now + LONG + settings().clock_margin;
    let before = is_given_up(&mut racks, lapse - Duration::from_millis(1));
    let after = is_given_up(&mut racks, lapse + Duration::from_millis(1));

    assert_eq!((before, after), (false, true));
}

#[test]
fn a_renewal_by_a_shorter_lease_does_not_end_the_longer_one() {
    let now = Instant::now();
    let renewed_at = now + Duration::from_secs(6);
    let mut racks = racks_with_task("j-0", now);
    let running = |clock_s| report(clock_s, "b1", vec![running_task("j-0", 1, 1_000)]);
    racks.reported(&WORKER_ID.into(), Some(running(100)), now);
    racks.set_settings(shorter_lease());
    racks.reported(&WORKER_ID.into(), Some(running(106)), renewed_at);

    let lapse = now + LONG + settings().clock_margin;
    let before = is_given_up(&mut racks, lapse - Duration::from_millis(1));
    let after = is_given_up(&mut racks, lapse + Duration::from_millis(1));

    assert_eq!((before, after), (false, true));
}

/// An instance that started after the change of the settings has never had the longer lease.
#[test]
fn a_successor_with_a_shorter_lease_waits_for_the_longer_one_of_its_predecessor() {
    let now = Instant::now();
    let mut predecessor = racks(now);
    let start = vec![task_start("j-0", 1, 1_000)];
    let (rack, home) = (group_epoch(RACK, 1), group_epoch("jobs/0", 1));
    let effects = predecessor.start(1, &rack, &home, start, now);
    let mut successor = RackGroups::new(shorter_lease());
    successor.set_lease_state(LeaseState::Confirmed);
    let list = fixtures::members(&["r1"], 1);
    successor.claimed(
        &RACK.into(),
        2,
        &journaled_entries(&effects),
        true,
        &list,
        now,
    );

    let lapse = now + settings().holder_stop_max + LONG + settings().clock_margin;
    let before = is_given_up(&mut successor, lapse - Duration::from_millis(1));
    let after = is_given_up(&mut successor, lapse + Duration::from_millis(1));

    assert_eq!((before, after), (false, true));
}

#[test]
fn a_task_whose_longer_lease_has_lapsed_is_lost_after_the_shorter_one() {
    let now = Instant::now();
    let renewed_at = now + LONG + Duration::from_secs(1);
    let mut racks = racks_with_task("j-0", now);
    racks.set_settings(shorter_lease());
    let tasks = vec![running_task("j-0", 1, 1_000)];
    racks.reported(
        &WORKER_ID.into(),
        Some(report(116, "b1", tasks)),
        renewed_at,
    );

    let lapse = renewed_at + shorter_lease().lease + settings().clock_margin;
    let at = lapse + Duration::from_millis(1);
    let effects = racks.tick(at);
    let effects = finish_append(&mut racks, effects, true, at);

    assert_eq!(reported_lost(&effects), [attempt_id("j-0", 1)]);
}

/// The length of a renewal is not journaled.
#[test]
fn a_successor_with_a_shorter_lease_waits_for_a_renewal_longer_than_the_start() {
    let now = Instant::now();
    let (rack, home) = (group_epoch(RACK, 1), group_epoch("jobs/0", 1));
    let start = vec![task_start("j-0", 1, 1_000)];
    let mut predecessor = racks(now);
    predecessor.set_settings(shorter_lease());
    let effects = predecessor.start(1, &rack, &home, start, now);
    let mut entries = journaled_entries(&effects);
    finish_append(&mut predecessor, effects, true, now);

    predecessor.set_settings(Arc::new(settings()));
    entries.extend(journaled_entries(&predecessor.tick(now)));
    let tasks = vec![running_task("j-0", 1, 1_000)];
    let effects = predecessor.reported(&WORKER_ID.into(), Some(report(100, "b1", tasks)), now);
    entries.extend(journaled_entries(&effects));
    let mut successor = RackGroups::new(shorter_lease());
    successor.set_lease_state(LeaseState::Confirmed);
    let list = fixtures::members(&["r1"], 1);
    successor.claimed(&RACK.into(), 2, &entries, true, &list, now);

    let lapse = now + settings().holder_stop_max + LONG + settings().clock_margin;
    assert_eq!(renewals(&effects), 1);
    assert!(!is_given_up(
        &mut successor,
        lapse - Duration::from_millis(1)
    ));
}
