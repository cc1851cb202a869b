//! Workers that are listed at another address under their id, one decision at a time.

mod fixtures;

use std::time::{Duration, Instant};

use fixtures::{
    members,
    rack::{
        attempt_id, claimed, finish_append, group_epoch, journaled_entries, racks, racks_with_task,
        report, request_start, running_task, task_start, RACK, WORKER_ID,
    },
    settings,
};
use jackdawchute_jobs::{
    rack::{IntentPhase, RackGroups},
    AttemptEnd,
};
use jackdawchute_ports::{MembershipList, StartOutcome, TaskReport};

const OTHER_ADDRESS: &str = "127.0.0.1:2";
const LOST: Option<IntentPhase> = Some(IntentPhase::Ended(AttemptEnd::Lost));

/// The time after a worker's last report at which the leases that count from it have lapsed.
fn silence_limit() -> Duration {
    settings().lease + settings().clock_margin
}

fn listed_at_another_address() -> MembershipList {
    let mut list = members(&["r1"], 1);
    list.members[0].address = OTHER_ADDRESS.parse().unwrap();
    list
}

/// Lets the process at the worker's address report another incarnation and confirm each stop; returns
/// the phase of the attempt after that.
fn answer_as_another_process(racks: &mut RackGroups, at: Instant) -> Option<IntentPhase> {
    let (worker, id) = (WORKER_ID.into(), attempt_id("j-0", 1));
    racks.tick(at);
    racks.reported(&worker, Some(report(1, "b2", Vec::new())), at);
    racks.stopped(&worker, &id, true, at);
    racks.intent(&id).map(|intent| intent.phase)
}

/// Returns a rack owner with a running task on the worker, which has reported it at `at`.
fn racks_with_running_task(at: Instant) -> RackGroups {
    let (worker, id) = (WORKER_ID.into(), attempt_id("j-0", 1));
    let mut racks = racks_with_task("j-0", at);
    racks.started(&worker, &id, Ok(StartOutcome::Started), at);
    let tasks: Vec<TaskReport> = vec![running_task("j-0", 1, 1_000)];
    racks.reported(&worker, Some(report(100, "b1", tasks)), at);
    racks
}

#[test]
fn a_task_does_not_start_again_while_its_process_at_a_former_address_has_a_lease() {
    let now = Instant::now();
    let mut racks = racks_with_running_task(now);
    racks.set_members(&listed_at_another_address(), now);

    let lapse = now + silence_limit();
    let before = answer_as_another_process(&mut racks, lapse - Duration::from_millis(1));
    let after = answer_as_another_process(&mut racks, lapse + Duration::from_millis(1));

    assert_eq!(before, Some(IntentPhase::Stopping(true)));
    assert_eq!(after, LOST);
}

#[test]
fn a_stop_confirmed_at_another_address_does_not_end_the_process_at_the_former_one() {
    let now = Instant::now();
    let id = attempt_id("j-0", 1);
    let mut racks = racks_with_running_task(now);
    racks.set_members(&listed_at_another_address(), now);

    let (rack, home) = (group_epoch(RACK, 1), group_epoch("jobs/0", 1));
    racks.stop(&rack, &home, vec![id.clone()], now).unwrap();
    racks.stopped(&WORKER_ID.into(), &id, true, now);

    let phase = racks.intent(&id).map(|intent| intent.phase);
    assert_eq!(phase, Some(IntentPhase::Stopping(false)));
}

#[test]
fn a_stop_confirmed_by_the_same_process_at_another_address_ends_with_its_next_report() {
    let now = Instant::now();
    let id = attempt_id("j-0", 1);
    let mut racks = racks_with_running_task(now);
    racks.set_members(&listed_at_another_address(), now);
    let (rack, home) = (group_epoch(RACK, 1), group_epoch("jobs/0", 1));
    racks.stop(&rack, &home, vec![id.clone()], now).unwrap();

    let mut ended = running_task("j-0", 1, 1_000);
    ended.end = Some(jackdawchute_ports::TaskEnd::Stopped);
    racks.reported(&WORKER_ID.into(), Some(report(101, "b1", vec![ended])), now);

    let phase = racks.intent(&id).map(|intent| intent.phase);
    assert_eq!(phase, Some(IntentPhase::Ended(AttemptEnd::Stopped)));
}

/// The predecessor may have renewed the lease of the process at the former address.
#[test]
fn a_successor_knows_the_address_of_the_process_that_got_a_start() {
    let now = Instant::now();
    let mut predecessor = racks(now);
    let start = vec![task_start("j-0", 1, 1_000)];
    let (rack, home) = (group_epoch(RACK, 1), group_epoch("jobs/0", 1));
    let effects = predecessor.start(1, &rack, &home, start, now);
    let entries = journaled_entries(&effects);
    finish_append(&mut predecessor, effects, true, now);
    let mut successor = claimed(2, &entries, now);
    let mut successor_elsewhere = RackGroups::new(std::sync::Arc::new(settings()));
    successor_elsewhere.set_lease_state(jackdawchute_ownership::LeaseState::Confirmed);
    let list = listed_at_another_address();
    successor_elsewhere.claimed(&RACK.into(), 2, &entries, true, &list, now);

    let lapse = now + settings().holder_stop_max + silence_limit();
    let restarted = answer_as_another_process(&mut successor, now);
    let before =
        answer_as_another_process(&mut successor_elsewhere, lapse - Duration::from_millis(1));
    let after =
        answer_as_another_process(&mut successor_elsewhere, lapse + Duration::from_millis(1));

    assert_eq!(restarted, LOST);
    assert_eq!(before, Some(IntentPhase::Stopping(true)));
    assert_eq!(after, LOST);
}

/// A list that moves the worker to a rack of another owner changes its address here too.
#[test]
fn a_worker_that_is_listed_at_another_address_in_another_rack_keeps_its_leases() {
    let now = Instant::now();
    let mut racks = racks_with_running_task(now);
    let mut list = members(&["r2"], 1);
    list.members[0].id = WORKER_ID.into();
    list.members[0].address = OTHER_ADDRESS.parse().unwrap();
    racks.set_members(&list, now);

    let phase = answer_as_another_process(&mut racks, now);

    assert_eq!(phase, Some(IntentPhase::Stopping(true)));
}

#[test]
fn a_worker_at_another_address_gets_tasks_before_the_former_leases_have_lapsed() {
    let now = Instant::now();
    let mut racks = racks_with_running_task(now);
    racks.set_members(&listed_at_another_address(), now);
    racks.reported(&WORKER_ID.into(), Some(report(1, "b2", Vec::new())), now);

    let effects = request_start(&mut racks, task_start("k-0", 1, 1_000), true, now);

    assert_eq!(fixtures::rack::sent_starts(&effects), 1);
}

#[test]
fn an_intent_of_an_earlier_version_names_no_address_and_is_recovered() {
    let now = Instant::now();
    let mut predecessor = racks(now);
    let start = vec![task_start("j-0", 1, 1_000)];
    let (rack, home) = (group_epoch(RACK, 1), group_epoch("jobs/0", 1));
    let effects = predecessor.start(1, &rack, &home, start, now);
    let (key, value) = journaled_entries(&effects).remove(0);
    let mut value: serde_json::Value = serde_json::from_str(&value).unwrap();
    let fields = value.as_object_mut().unwrap();
    fields.remove("address").unwrap();
    fields.remove("lease_ms");

    let mut successor = claimed(2, &[(key, value.to_string())], now);

    assert_eq!(answer_as_another_process(&mut successor, now), LOST);
}
