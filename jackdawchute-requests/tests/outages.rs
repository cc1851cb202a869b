//! What goes on while the store is down or this instance is cut off, and which minions get work.

mod fixtures;

use std::time::{Duration, Instant};

use fixtures::*;
use jackdawchute_ownership::LeaseState;
use jackdawchute_ports::{MemberState, MembershipList};
use jackdawchute_requests::{AppendOutcome, Call, GrantOutcome, State};
use jackdawchute_types::{Execution, RefusalReason};

const REFUSED: GrantOutcome = GrantOutcome::NotSent {
    connection_refused: true,
};

/// Ticks as the timer sends them, up to `until`; returns what they brought.
fn ticks(
    state: &mut State,
    from: Instant,
    until: Instant,
    outcome: AppendOutcome,
) -> Vec<jackdawchute_requests::Effect> {
    let mut effects = Vec::new();
    let mut now = from;
    while now < until {
        now += Duration::from_millis(50);
        let new = state.tick(now);
        effects.extend(journaled(state, new, outcome, now));
    }
    effects
}

#[test]
fn idempotent_requests_go_on_while_the_store_is_down() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    state.set_lease_state(LeaseState::StoreDown, now);

    let waits = state.incoming(1, Call::Acquire(order(OWNER, "k")), now);
    let plain = state.incoming(2, Call::Acquire(acquire(OWNER)), now);

    assert_eq!(reply(&waits, 1), None);
    assert!(granted(&plain, 2).is_some());
}

#[test]
fn an_order_waits_for_the_store_until_its_deadline_and_did_not_run() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let effects = state.incoming(1, Call::Acquire(order(OWNER, "k")), now);
    let at_once = journaled(&mut state, effects, DOWN, now);

    let effects = ticks(&mut state, now, now + DEADLINE, DOWN);

    assert_eq!(reply(&at_once, 1), None);
    let refusal = refused(&effects, 1).expect("its deadline passed");
    assert_eq!(refusal.reason, RefusalReason::StoreUnavailable);
    assert_eq!(refusal.execution, Execution::NotRun);
}

#[test]
fn an_order_is_granted_when_the_store_is_back() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let effects = state.incoming(1, Call::Acquire(order(OWNER, "k")), now);
    journaled(&mut state, effects, DOWN, now);

    let back = now + Duration::from_secs(1);
    let effects = ticks(&mut state, now, back, AppendOutcome::Journaled);

    assert!(granted(&effects, 1).is_some());
}

#[test]
fn an_intent_that_lands_after_the_deadline_is_closed_and_never_given() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let late = state.incoming(1, Call::Acquire(order(OWNER, "k")), now);
    let later = now + DEADLINE;

    let expired = state.tick(later);
    let landed = state.appended(&appends(&late)[0].0, AppendOutcome::Journaled, later);

    let refusal = refused(&expired, 1).expect("its deadline passed");
    assert_eq!(refusal.execution, Execution::NotRun);
    assert_eq!(granted(&landed, 1), None);
    assert_eq!(appends(&landed)[0].1, [("k".into(), None)]);
    assert_eq!(state.status(later).groups[0].minions["m0"].in_use_slots, 0);
}

#[test]
fn an_intent_without_an_answer_from_the_journal_is_never_given_or_repeated() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let effects = state.incoming(1, Call::Acquire(order(OWNER, "k")), now);

    let effects = state.appended(&appends(&effects)[0].0, AppendOutcome::Unknown, now);
    let again = state.incoming(2, Call::Acquire(order(OWNER, "k")), now);

    assert_eq!(
        refused(&effects, 1).map(|r| r.execution),
        Some(Execution::NotRun)
    );
    assert_eq!(
        refused(&again, 2).map(|r| r.execution),
        Some(Execution::Unknown)
    );
}

#[test]
fn a_holder_that_the_store_missed_is_registered_again() {
    let now = Instant::now();
    let mut state = bystander(settings(), &minions(1, SLOTS), now);
    let effects = state.group_event(fixtures::adopted(1, Vec::new(), None), now);
    journaled(&mut state, effects, DOWN, now);

    let waits = state.incoming(1, Call::Acquire(acquire(OWNER)), now);
    let back = now + Duration::from_secs(1);
    let effects = ticks(&mut state, now, back, AppendOutcome::Journaled);

    assert_eq!(reply(&waits, 1), None);
    assert!(granted(&effects, 1).is_some());
}

#[test]
fn an_outcome_that_the_store_missed_is_saved_again() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let grant = granted_order(&mut state, 1, OWNER, "k", now);
    let effects = state.incoming(2, complete(&grant, OWNER, answered("done")), now);
    let refused_once = journaled(&mut state, effects, DOWN, now);

    let back = now + Duration::from_secs(1);
    let effects = ticks(&mut state, now, back, AppendOutcome::Journaled);

    let refusal = refused(&refused_once, 2).expect("the store is down");
    assert_eq!(refusal.execution, Execution::Unknown);
    assert_eq!(appends(&effects)[0].1[0].0, "k");
    assert!(state.explain(&"k".into(), back).expect("known").journaled);
}

#[test]
fn intents_on_their_way_leave_slots_to_idempotent_requests() {
    let now = Instant::now();
    let mut settings = settings();
    settings.grants.intents_max_percent = 50;
    let mut state = owner(settings, &minions(1, SLOTS), now);
    for call in 0..20 {
        let key = format!("k{call}");
        state.incoming(call, Call::Acquire(order(OWNER, &key)), now);
    }

    let effects = state.incoming(100, Call::Acquire(acquire(OWNER)), now);

    assert!(granted(&effects, 100).is_some());
    assert_eq!(state.status(now).groups[0].waiting_for_journal, 16);
}

#[test]
fn an_instance_that_is_cut_off_grants_nothing_until_it_is_confirmed() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    state.set_lease_state(LeaseState::CutOff, now);

    let while_cut_off = state.incoming(1, Call::Acquire(acquire(OWNER)), now);
    state.set_lease_state(LeaseState::Confirmed, now);
    let afterwards = state.tick(now);

    assert_eq!(reply(&while_cut_off, 1), None);
    assert!(granted(&afterwards, 1).is_some());
}

#[test]
fn nothing_is_granted_after_the_end_of_the_lease() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    state.set_lease_expiry(now + Duration::from_millis(300));

    let before = state.incoming(1, Call::Acquire(acquire(OWNER)), now);
    let end = now + Duration::from_millis(300);
    let after = state.incoming(2, Call::Acquire(acquire(OWNER)), end);
    state.set_lease_expiry(end + Duration::from_secs(1));
    let renewed = state.tick(end);

    assert!(granted(&before, 1).is_some());
    assert_eq!(reply(&after, 2), None);
    assert!(granted(&renewed, 2).is_some());
}

#[test]
fn nothing_is_granted_right_after_the_process_stood_still() {
    let start = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), start);
    state.tick(start);
    let resumed = start + Duration::from_secs(20);

    let at_once = state.incoming(1, Call::Acquire(acquire(OWNER)), resumed);
    let settled = ticks(&mut state, resumed, resumed + Duration::from_secs(1), DOWN);

    assert_eq!(reply(&at_once, 1), None);
    assert!(granted(&settled, 1).is_some());
}

#[test]
fn a_fenced_instance_refuses_everything_as_not_run() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, 1), now);
    granted_plain(&mut state, 1, OWNER, now);
    state.incoming(2, Call::Acquire(acquire(OWNER)), now);

    let effects = state.set_lease_state(LeaseState::Fenced, now);

    assert_eq!(
        refused(&effects, 2).map(|r| r.execution),
        Some(Execution::NotRun)
    );
}

#[test]
fn a_leaving_minion_gets_nothing_new() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(2, SLOTS), now);
    let list = MembershipList {
        version: 2,
        members: vec![
            minion(0, SLOTS, MemberState::Leaving),
            minion(1, SLOTS, MemberState::Live),
        ],
    };
    state.membership(&list, now);

    let minions: Vec<_> = (0..SLOTS.into())
        .map(|call| granted_plain(&mut state, call, OWNER, now).minion)
        .collect();

    assert!(minions.iter().all(|minion| minion == "m1"));
}

#[test]
fn an_intent_for_a_minion_that_left_meanwhile_is_made_anew_for_another() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let effects = state.incoming(1, Call::Acquire(order(OWNER, "k")), now);
    let list = MembershipList {
        version: 2,
        members: vec![
            minion(0, SLOTS, MemberState::Leaving),
            minion(1, SLOTS, MemberState::Live),
        ],
    };
    state.membership(&list, now);

    let effects = journaled(&mut state, effects, AppendOutcome::Journaled, now);

    assert_eq!(
        granted(&effects, 1).map(|grant| grant.minion),
        Some("m1".into())
    );
}

#[test]
fn a_minion_that_refuses_connections_is_left_alone_and_probed_by_one_request() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(2, 2), now);
    let grant = granted_plain(&mut state, 1, OWNER, now);
    state.incoming(2, complete(&grant, OWNER, REFUSED), now);

    for call in 10..15 {
        state.incoming(call, Call::Acquire(acquire(OWNER)), now);
    }
    let slots_in_use =
        |state: &State| state.status(now).groups[0].minions[&grant.minion].in_use_slots;
    let at_first = slots_in_use(&state);
    state.tick(now + settings().ejection.base);
    let probing = slots_in_use(&state);

    assert_eq!((at_first, probing), (0, 1));
}

#[test]
fn no_more_than_the_stated_share_of_minions_is_left_alone() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(2, 2), now);

    for call in 0..4 {
        let grant = granted_plain(&mut state, call, OWNER, now);
        state.incoming(100 + call, complete(&grant, OWNER, REFUSED), now);
    }

    let status = state.status(now).groups[0].clone();
    let ejected = status.minions.values().filter(|minion| minion.ejected);
    assert_eq!(ejected.count(), 1);
}
