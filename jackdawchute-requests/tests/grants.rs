//! Each slot is granted to one request at a time, and a non-idempotent request is granted only
//! after its intent is journaled.

mod fixtures;

use std::time::Instant;

use fixtures::*;
use jackdawchute_requests::{Acquire, AppendOutcome, Call, JournaledState, Reply};
use jackdawchute_types::{Execution, RefusalReason};

#[test]
fn no_minion_is_granted_more_requests_than_it_has_slots() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(2, 3), now);

    let granted: Vec<_> = (0..10)
        .filter_map(|call| {
            let effects = state.incoming(call, Call::Acquire(acquire(OWNER)), now);
            granted(&effects, call)
        })
        .collect();

    let on_first = granted.iter().filter(|grant| grant.minion == "m0").count();
    assert_eq!((granted.len(), on_first), (6, 3));
}

#[test]
fn a_released_slot_is_granted_to_the_next_call() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, 1), now);
    let first = granted_idempotent(&mut state, 1, OWNER, now);
    let waits = state.incoming(2, Call::Acquire(acquire(OWNER)), now);

    let effects = state.incoming(3, complete(&first, OWNER, answered("done")), now);

    assert_eq!(reply(&waits, 2), None);
    assert_eq!(reply(&effects, 3), Some(Ok(Reply::Completed)));
    assert!(granted(&effects, 2).is_some());
}

#[test]
fn a_class_that_waits_for_its_holders_share_does_not_delay_other_classes() {
    let now = Instant::now();
    let mut settings = settings();
    settings.grants.hold_back_slots = 1;
    let limits = settings.limits.classes["counter"].clone();
    settings.limits.classes.insert("quote".into(), limits);
    let mut state = owner(settings, &minions(1, SLOTS), now);
    let quote = Acquire {
        class: "quote".into(),
        ..acquire(OWNER)
    };
    let effects = state.incoming(0, Call::Acquire(quote.clone()), now);
    let mut held_grant = granted(&effects, 0).unwrap();
    for call in 1..50 {
        state.incoming(call, Call::Acquire(quote.clone()), now);
    }
    state.incoming(50, Call::Acquire(acquire(OWNER)), now);

    let mut granted_calls = Vec::new();
    for call in 100..102 {
        let effects = state.incoming(call, complete(&held_grant, OWNER, answered("done")), now);
        let next = (1..=50).find_map(|call| Some((call, granted(&effects, call)?)));
        let (call, grant) = next.unwrap();
        granted_calls.push(call);
        held_grant = grant;
    }

    assert!(granted_calls.contains(&50), "granted {granted_calls:?}");
}

#[test]
fn a_keyed_request_is_granted_only_after_its_intent_is_journaled() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, 1), now);

    let before = state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    let (purpose, records) = appends(&before).remove(0);
    let after = state.appended(&purpose, AppendOutcome::Journaled, now);

    let intent = records[0].1.as_ref().map(|record| &record.state);
    assert!(matches!(intent, Some(JournaledState::Intent { .. })));
    assert_eq!(reply(&before, 1), None);
    assert!(granted(&after, 1).is_some());
}

#[test]
fn a_call_for_a_group_of_another_owner_is_refused_as_not_run() {
    let now = Instant::now();
    let mut state = non_owner(settings(), &minions(1, 1), now);

    let effects = state.incoming(1, Call::Acquire(acquire(OWNER)), now);

    let refusal = refused(&effects, 1).expect("this instance does not own the group");
    assert_eq!(refusal.reason, RefusalReason::OwnerUnavailable);
    assert_eq!(refusal.execution, Execution::NotRun);
}
