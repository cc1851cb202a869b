//! Slots are granted once each, and a non-idempotent request only after its intent is journaled.

mod fixtures;

use std::time::Instant;

use fixtures::*;
use jackdawchute_requests::{Acquire, AppendOutcome, Call, JournaledState, Reply};
use jackdawchute_types::{Execution, RefusalReason};

#[test]
fn no_minion_gets_more_than_its_slots() {
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
fn a_slot_given_back_goes_to_the_next_call() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, 1), now);
    let first = granted_plain(&mut state, 1, OWNER, now);
    let waits = state.incoming(2, Call::Acquire(acquire(OWNER)), now);

    let effects = state.incoming(3, complete(&first, OWNER, answered("done")), now);

    assert_eq!(reply(&waits, 2), None);
    assert_eq!(reply(&effects, 3), Some(Ok(Reply::Completed)));
    assert!(granted(&effects, 2).is_some());
}

#[test]
fn a_flood_at_its_holders_share_holds_up_no_other_class() {
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
    let mut held = granted(&effects, 0).unwrap();
    for call in 1..50 {
        state.incoming(call, Call::Acquire(quote.clone()), now);
    }
    state.incoming(50, Call::Acquire(acquire(OWNER)), now);

    let mut order = Vec::new();
    for call in 100..102 {
        let effects = state.incoming(call, complete(&held, OWNER, answered("done")), now);
        let next = (1..=50).find_map(|call| Some((call, granted(&effects, call)?)));
        let (call, grant) = next.unwrap();
        order.push(call);
        held = grant;
    }

    assert!(order.contains(&50), "granted {order:?}");
}

#[test]
fn an_order_is_granted_only_after_its_intent_is_journaled() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, 1), now);

    let before = state.incoming(1, Call::Acquire(order(OWNER, "k")), now);
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
    let mut state = bystander(settings(), &minions(1, 1), now);

    let effects = state.incoming(1, Call::Acquire(acquire(OWNER)), now);

    let refusal = refused(&effects, 1).expect("not the owner");
    assert_eq!(refusal.reason, RefusalReason::OwnerUnavailable);
    assert_eq!(refusal.execution, Execution::NotRun);
}
