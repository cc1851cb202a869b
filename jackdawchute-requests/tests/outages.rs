//! Grants during store outages and after a loss of the owner lease, and the choice of minions that
//! are leaving or refuse connections.

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

/// Ticks every 50 ms as the timer does, from `from` to `until`, and answers all appends with
/// `outcome`; returns the effects.
fn run_ticks(
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
        effects.extend(answer_appends(state, new, outcome, now));
    }
    effects
}

#[test]
fn idempotent_requests_are_granted_while_the_store_is_down() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    state.set_lease_state(LeaseState::StoreDown, now);

    let waits = state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    let idempotent = state.incoming(2, Call::Acquire(acquire(OWNER)), now);

    assert_eq!(reply(&waits, 1), None);
    assert!(granted(&idempotent, 2).is_some());
}

#[test]
fn a_keyed_request_that_waits_for_the_store_until_its_deadline_is_refused_as_not_run() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let effects = state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    let at_once = answer_appends(&mut state, effects, STORE_DOWN, now);

    let effects = run_ticks(&mut state, now, now + DEADLINE, STORE_DOWN);

    assert_eq!(reply(&at_once, 1), None);
    let refusal = refused(&effects, 1).expect("the deadline of the call has passed");
    assert_eq!(refusal.reason, RefusalReason::StoreUnavailable);
    assert_eq!(refusal.execution, Execution::NotRun);
}

#[test]
fn a_keyed_request_is_granted_when_the_store_recovers() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let effects = state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    answer_appends(&mut state, effects, STORE_DOWN, now);

    let recovered_at = now + Duration::from_secs(1);
    let effects = run_ticks(&mut state, now, recovered_at, AppendOutcome::Journaled);

    assert!(granted(&effects, 1).is_some());
}

#[test]
fn an_intent_journaled_after_the_deadline_is_removed_and_not_granted() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let journaling = state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    let later = now + DEADLINE;

    let expired = state.tick(later);
    let appended = state.appended(&appends(&journaling)[0].0, AppendOutcome::Journaled, later);

    let refusal = refused(&expired, 1).expect("the deadline of the call has passed");
    assert_eq!(refusal.execution, Execution::NotRun);
    assert_eq!(granted(&appended, 1), None);
    assert_eq!(appends(&appended)[0].1, [("k".into(), None)]);
    assert_eq!(state.status(later).groups[0].minions["m0"].in_use_slots, 0);
}

#[test]
fn an_intent_with_an_unknown_append_outcome_is_neither_granted_nor_repeated() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let effects = state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);

    let effects = state.appended(&appends(&effects)[0].0, AppendOutcome::Unknown, now);
    let again = state.incoming(2, Call::Acquire(acquire_keyed(OWNER, "k")), now);

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
fn a_holder_that_could_not_be_journaled_is_registered_again() {
    let now = Instant::now();
    let mut state = non_owner(settings(), &minions(1, SLOTS), now);
    let effects = state.group_event(fixtures::claimed(1, Vec::new(), None), now);
    answer_appends(&mut state, effects, STORE_DOWN, now);

    let waits = state.incoming(1, Call::Acquire(acquire(OWNER)), now);
    let recovered_at = now + Duration::from_secs(1);
    let effects = run_ticks(&mut state, now, recovered_at, AppendOutcome::Journaled);

    assert_eq!(reply(&waits, 1), None);
    assert!(granted(&effects, 1).is_some());
}

#[test]
fn an_outcome_that_could_not_be_journaled_is_saved_again() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let grant = granted_keyed(&mut state, 1, OWNER, "k", now);
    let effects = state.incoming(2, complete(&grant, OWNER, answered("done")), now);
    let completing = answer_appends(&mut state, effects, STORE_DOWN, now);

    let recovered_at = now + Duration::from_secs(1);
    let effects = run_ticks(&mut state, now, recovered_at, AppendOutcome::Journaled);

    let refusal = refused(&completing, 2).expect("the outcome could not be journaled");
    assert_eq!(refusal.execution, Execution::Unknown);
    assert_eq!(appends(&effects)[0].1[0].0, "k");
    assert!(
        state
            .explain(&"k".into(), recovered_at)
            .expect("the group knows the key")
            .journaled
    );
}

#[test]
fn pending_intents_leave_slots_for_idempotent_requests() {
    let now = Instant::now();
    let mut settings = settings();
    settings.grants.intents_max_percent = 50;
    let mut state = owner(settings, &minions(1, SLOTS), now);
    for call in 0..20 {
        let key = format!("k{call}");
        state.incoming(call, Call::Acquire(acquire_keyed(OWNER, &key)), now);
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
fn nothing_is_granted_right_after_the_process_was_paused() {
    let start = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), start);
    state.tick(start);
    let resumed = start + Duration::from_secs(20);

    let at_once = state.incoming(1, Call::Acquire(acquire(OWNER)), resumed);
    let resumed_later = run_ticks(
        &mut state,
        resumed,
        resumed + Duration::from_secs(1),
        STORE_DOWN,
    );

    assert_eq!(reply(&at_once, 1), None);
    assert!(granted(&resumed_later, 1).is_some());
}

#[test]
fn a_fenced_instance_refuses_waiting_calls_as_not_run() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, 1), now);
    granted_idempotent(&mut state, 1, OWNER, now);
    state.incoming(2, Call::Acquire(acquire(OWNER)), now);

    let effects = state.set_lease_state(LeaseState::Fenced, now);

    assert_eq!(
        refused(&effects, 2).map(|r| r.execution),
        Some(Execution::NotRun)
    );
}

#[test]
fn a_leaving_minion_is_granted_no_further_requests() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(2, SLOTS), now);
    let list = MembershipList {
        version: 2,
        members: vec![
            minion(0, SLOTS, MemberState::Leaving),
            minion(1, SLOTS, MemberState::Live),
        ],
    };
    state.set_membership(&list, now);

    let minions: Vec<_> = (0..SLOTS.into())
        .map(|call| granted_idempotent(&mut state, call, OWNER, now).minion)
        .collect();

    assert!(minions.iter().all(|minion| minion == "m1"));
}

#[test]
fn an_intent_for_a_leaving_minion_is_replaced_by_one_for_another_minion() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let effects = state.incoming(1, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    let list = MembershipList {
        version: 2,
        members: vec![
            minion(0, SLOTS, MemberState::Leaving),
            minion(1, SLOTS, MemberState::Live),
        ],
    };
    state.set_membership(&list, now);

    let effects = answer_appends(&mut state, effects, AppendOutcome::Journaled, now);

    assert_eq!(
        granted(&effects, 1).map(|grant| grant.minion),
        Some("m1".into())
    );
}

#[test]
fn a_minion_that_refuses_connections_is_ejected_and_then_probed_by_one_request() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(2, 2), now);
    let grant = granted_idempotent(&mut state, 1, OWNER, now);
    state.incoming(2, complete(&grant, OWNER, REFUSED), now);

    for call in 10..15 {
        state.incoming(call, Call::Acquire(acquire(OWNER)), now);
    }
    let slots_in_use =
        |state: &State| state.status(now).groups[0].minions[&grant.minion].in_use_slots;
    let initially = slots_in_use(&state);
    state.tick(now + settings().ejection.base);
    let probing = slots_in_use(&state);

    assert_eq!((initially, probing), (0, 1));
}

#[test]
fn at_most_the_configured_share_of_minions_is_ejected() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(2, 2), now);

    for call in 0..4 {
        let grant = granted_idempotent(&mut state, call, OWNER, now);
        state.incoming(100 + call, complete(&grant, OWNER, REFUSED), now);
    }

    let status = state.status(now).groups[0].clone();
    let ejected = status.minions.values().filter(|minion| minion.ejected);
    assert_eq!(ejected.count(), 1);
}
