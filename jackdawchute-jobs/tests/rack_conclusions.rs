//! What a rack owner that may have been replaced says about attempts, one decision at a time.

mod fixtures;

use std::time::{Duration, Instant};

use fixtures::rack::{
    answers, attempt_id, finish_append, group_epoch, racks, request_start, task_start, RACK,
};
use jackdawchute_jobs::{
    effect::Effect, rack::RackGroups, AttemptEnd, AttemptState, NotStartedReason, Reply, TaskAnswer,
};
use jackdawchute_ownership::LeaseState;

fn not_started(reason: NotStartedReason) -> AttemptState {
    AttemptState::Ended(AttemptEnd::NotStarted(reason))
}

/// Returns the answers to a stop of an attempt that the rack owner does not know.
fn stop_unknown(racks: &mut RackGroups, at: Instant) -> Vec<TaskAnswer> {
    let (rack, home) = (group_epoch(RACK, 1), group_epoch("jobs/0", 1));
    let stopped = racks.stop(&rack, &home, vec![attempt_id("k-0", 1)], at);
    match stopped.unwrap().0 {
        Reply::Rack { answers, .. } => answers,
        other => panic!("expected Reply::Rack, got {other:?}"),
    }
}

/// Requests the start of a task that is too large for the worker.
fn start_too_large(racks: &mut RackGroups, at: Instant) -> Vec<Effect> {
    request_start(racks, task_start("j-0", 1, 9_000), true, at)
}

/// A home owner that took over does not know which rack owners its predecessor called.
#[test]
fn a_rack_owner_that_may_have_a_successor_does_not_say_that_an_attempt_never_started() {
    for lease_state in [LeaseState::CutOff, LeaseState::Fenced] {
        let now = Instant::now();
        let mut racks = racks(now);
        racks.set_lease_state(lease_state);

        let started = start_too_large(&mut racks, now);
        let stopped = stop_unknown(&mut racks, now);

        assert_eq!(answers(&started), [], "{lease_state:?}");
        assert_eq!(stopped, [], "{lease_state:?}");
    }
}

/// The lease state that it knows may be that of before the pause.
#[test]
fn a_paused_rack_owner_does_not_say_that_an_attempt_never_started() {
    let now = Instant::now();
    let resumed = now + Duration::from_secs(6);
    let mut racks = racks(now);
    racks.tick(now);

    let started = start_too_large(&mut racks, resumed);
    let stopped = stop_unknown(&mut racks, resumed);

    assert_eq!((answers(&started), stopped), (vec![], vec![]));
}

/// The append of a fenced owner fails, and its successor may have started the attempt.
#[test]
fn a_rack_owner_fenced_while_it_journals_an_intent_does_not_say_that_the_attempt_never_started() {
    let now = Instant::now();
    let mut racks = racks(now);
    let start = vec![task_start("j-0", 1, 1_000)];
    let (rack, home) = (group_epoch(RACK, 1), group_epoch("jobs/0", 1));
    let effects = racks.start(1, &rack, &home, start, now);

    racks.set_lease_state(LeaseState::Fenced);
    let effects = finish_append(&mut racks, effects, false, now);

    assert_eq!(answers(&effects), []);
}

#[test]
fn a_rack_owner_that_nobody_can_replace_says_that_an_attempt_never_started() {
    for (lease_state, reason) in [
        (LeaseState::Confirmed, NotStartedReason::NoRoom),
        (LeaseState::StoreDown, NotStartedReason::StoreUnavailable),
    ] {
        let now = Instant::now();
        let mut racks = racks(now);
        racks.set_lease_state(lease_state);

        let started = start_too_large(&mut racks, now);
        let stopped = stop_unknown(&mut racks, now);

        assert_eq!(
            answers(&started),
            [(attempt_id("j-0", 1), not_started(reason))]
        );
        assert_eq!(stopped[0].state, not_started(NotStartedReason::Closed));
    }
}
