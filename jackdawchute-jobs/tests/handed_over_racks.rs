//! Racks that are handed over soon after they were taken over from a fenced owner.

mod fixtures;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use fixtures::{
    members,
    rack::{claimed, finish_append, group_epoch, journaled_entries, racks, task_start, RACK},
    settings,
};
use jackdawchute_jobs::{
    effect::{AfterAppend, Effect},
    rack::RackGroups,
};
use jackdawchute_ownership::{EntryKey, LeaseState};

const LITTLE: Duration = Duration::from_millis(1);

/// The time in which a fenced owner may renew leases and in which they lapse then.
fn fenced_limit() -> Duration {
    settings().holder_stop_max + settings().lease + settings().clock_margin
}

/// Returns the entries of an owner that has journaled the start of a task.
fn started(at: Instant) -> Vec<(EntryKey, String)> {
    let start = vec![task_start("j-0", 1, 1_000)];
    let (rack, home) = (group_epoch(RACK, 1), group_epoch("jobs/0", 1));
    journaled_entries(&racks(at).start(1, &rack, &home, start, at))
}

/// Returns an owner to which another one has handed the rack over, with its journal.
fn handed_over(entries: &[(EntryKey, String)], at: Instant) -> RackGroups {
    let mut racks = RackGroups::new(Arc::new(settings()));
    racks.set_lease_state(LeaseState::Confirmed);
    let list = members(&["r1"], 1);
    let errors = racks.claimed(&RACK.into(), 3, entries, false, &list, at);
    assert_eq!(errors, []);
    racks
}

/// Returns the keys that an owner journals, each with whether it is set.
fn journaled_keys(effects: &[Effect]) -> Vec<(EntryKey, bool)> {
    let appends = effects.iter().filter_map(|effect| match effect {
        Effect::Append { entries, .. } => Some(entries),
        _ => None,
    });
    let entries = appends.flatten();
    entries
        .map(|entry| (entry.key.clone(), entry.value.is_some()))
        .collect()
}

fn is_given_up(racks: &mut RackGroups, at: Instant) -> bool {
    let effects = racks.tick(at);
    finish_append(racks, effects, true, at);
    racks.open_intents() == 0
}

#[test]
fn an_owner_by_handover_waits_for_the_owner_that_was_fenced_before() {
    let now = Instant::now();
    let handed_over_at = now + Duration::from_secs(1);
    let mut entries = started(now);
    let mut second = claimed(2, &entries, now);
    entries.extend(journaled_entries(&second.tick(now)));

    let mut third = handed_over(&entries, handed_over_at);
    let before = is_given_up(&mut third, now + fenced_limit() - LITTLE);
    let after = is_given_up(&mut third, handed_over_at + fenced_limit() + LITTLE);

    assert_eq!((before, after), (false, true));
}

#[test]
fn an_owner_by_handover_waits_no_longer_once_the_fenced_owner_can_renew_nothing() {
    let now = Instant::now();
    let over_at = now + settings().holder_stop_max + LITTLE;
    let mut second = claimed(2, &[], now);
    let noted = journaled_keys(&second.tick(now));
    second.predecessor_noted(&RACK.into(), true);

    let removed = journaled_keys(&second.tick(over_at));

    let key = noted[0].0.clone();
    assert_eq!(noted, [(key.clone(), true)]);
    assert_eq!(removed, [(key, false)]);
}

#[test]
fn a_failed_append_that_notes_a_fenced_owner_is_repeated() {
    let now = Instant::now();
    let mut second = claimed(2, &[], now);
    let first = second.tick(now);

    let in_flight = second.tick(now);
    second.predecessor_noted(&RACK.into(), false);
    let repeated = second.tick(now);

    assert_eq!(journaled_keys(&in_flight), []);
    assert_eq!(journaled_keys(&repeated), journaled_keys(&first));
    assert!(matches!(
        &first[0],
        Effect::Append { after: AfterAppend::PredecessorNoted(group), .. } if group == RACK
    ));
}

#[test]
fn an_owner_by_handover_without_a_fenced_one_waits_for_one_lease() {
    let now = Instant::now();
    let mut entries = started(now);
    let mut first = claimed(1, &[], now);
    entries.extend(journaled_entries(&first.tick(now)));

    let mut second = handed_over(&entries, now);
    let lapse = settings().lease + settings().clock_margin;

    assert!(is_given_up(&mut second, now + lapse + LITTLE));
}
