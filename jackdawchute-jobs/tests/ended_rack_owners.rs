//! Starts for racks whose owner's process has ended: nothing listens at its address.

mod fixtures;

use std::{sync::Arc, time::Duration};

use fixtures::{
    home::{at, finish_appends, homes, now, owner_calls, racks_at, requested_starts},
    job, members,
    rack::attempt_id,
    settings,
};
use jackdawchute_jobs::{
    effect::{Effect, Now},
    home::HomeGroups,
    Call, RackView, Reply, TaskAttempt, WorkerView,
};
use jackdawchute_types::{CallError, Epoch, GroupId, JobKind, Resources};

/// More than the delay before the next attempt, and far less than a takeover.
const SOON: Duration = Duration::from_millis(100);

const RACKS: [&str; 2] = ["r1", "r2"];

fn refused() -> CallError {
    CallError::ConnectionRefused("call", "peer".into())
}

/// Returns the attempts that are requested once the appends among the effects have succeeded.
fn starts(homes: &mut HomeGroups, effects: Vec<Effect>, now: Now) -> Vec<(GroupId, TaskAttempt)> {
    requested_starts(finish_appends(homes, effects, true, now))
}

/// Returns a home owner of a cell with these racks whose first start, on the first of them, found
/// that nothing listens there.
fn homes_after_refused_start(racks: &[&str], now: Now) -> HomeGroups {
    let mut homes = homes(now);
    homes.set_members(Arc::new(members(racks, 1)));
    let effects = homes.submit(1, &"j".into(), job(JobKind::Batch, 1), now);
    let id = attempt_id("j-0", 1);
    let called = starts(&mut homes, effects, now);
    assert_eq!(called, [("rack/r1".into(), id.clone())]);
    homes.rack_answered(1, &[id], Err(refused()), now);
    homes
}

#[test]
fn a_start_that_finds_no_owner_of_its_rack_goes_to_another_rack() {
    let now = now();
    let mut homes = homes_after_refused_start(&RACKS, now);

    let soon = at(now.instant, SOON);
    let effects = homes.tick(soon);
    let next = starts(&mut homes, effects, soon);

    assert_eq!(next, [("rack/r2".into(), attempt_id("j-0", 2))]);
}

#[test]
fn a_rack_gets_tasks_again_once_an_owner_has_answered() {
    let now = now();
    let mut homes = homes_after_refused_start(&RACKS, now);
    let view = RackView {
        group: "rack/r1".into(),
        teams: Default::default(),
        workers: vec![WorkerView {
            worker: "r1-w0".into(),
            charged: Resources::ZERO,
            accepting: true,
        }],
    };
    let answered = Reply::Rack {
        answers: Vec::new(),
        held: false,
        view,
    };

    homes.rack_answered(0, &[], Ok(Ok(answered)), now);
    let soon = at(now.instant, SOON);
    let effects = homes.tick(soon);
    let next = starts(&mut homes, effects, soon);

    assert_eq!(next, [("rack/r1".into(), attempt_id("j-0", 2))]);
}

/// Returns the epochs of the rack owners whose views are requested.
fn requested_views(effects: Vec<Effect>) -> Vec<Epoch> {
    let calls = owner_calls(effects).into_iter();
    let epoch = |(call, _)| match call {
        Call::View { rack } => Some(rack.epoch),
        _ => None,
    };
    calls.filter_map(epoch).collect()
}

#[test]
fn the_successor_of_a_rack_owner_is_asked_for_its_view_at_once() {
    let now = now();
    let mut homes = homes_after_refused_start(&["r1"], now);
    let before = requested_views(homes.tick(at(now.instant, SOON)));

    homes.set_directory(racks_at(2));
    let after = requested_views(homes.tick(at(now.instant, SOON + SOON / 2)));

    assert!(SOON / 2 < settings().resend);
    assert_eq!((before, after), (vec![1], vec![2]));
}
