//! Calls whose intent is being journaled when their group is lost to another owner.

mod fixtures;

use std::time::Instant;

use fixtures::*;
use jackdawchute_ownership::GroupEvent;
use jackdawchute_ports::{MemberState, MembershipList};
use jackdawchute_requests::{AppendOutcome, AppendPurpose, Call, CallId, State};
use jackdawchute_types::{Execution, RefusalReason};

const CALL: CallId = 1;

/// Returns a state that lost its group while the intent of [`CALL`] was being journaled, and the
/// purpose of that append.
fn lost_while_journaling(now: Instant) -> (State, AppendPurpose) {
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let effects = state.incoming(CALL, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    let (purpose, _) = appends(&effects).remove(0);
    state.group_event(GroupEvent::Lost { group: group() }, now);
    (state, purpose)
}

fn leaving_minion() -> MembershipList {
    MembershipList {
        version: 2,
        members: vec![minion(0, SLOTS, MemberState::Leaving)],
    }
}

#[test]
fn an_intent_that_a_lost_group_cannot_journal_is_refused_at_once() {
    let now = Instant::now();
    let (mut state, purpose) = lost_while_journaling(now);

    let effects = state.appended(&purpose, STORE_DOWN, now);

    let refusal = refused(&effects, CALL).expect("nobody answers the call later");
    assert_eq!(refusal.reason, RefusalReason::OwnerUnavailable);
    assert_eq!(refusal.execution, Execution::NotRun);
}

#[test]
fn an_intent_of_a_lost_group_without_a_live_minion_is_refused_at_once() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let effects = state.incoming(CALL, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    let (purpose, _) = appends(&effects).remove(0);
    state.set_membership(&leaving_minion(), now);
    state.group_event(GroupEvent::Lost { group: group() }, now);

    let effects = state.appended(&purpose, AppendOutcome::Journaled, now);

    let refusal = refused(&effects, CALL).expect("nobody answers the call later");
    assert_eq!(refusal.reason, RefusalReason::OwnerUnavailable);
    assert_eq!(refusal.execution, Execution::NotRun);
}

#[test]
fn an_intent_of_a_lost_group_that_is_not_journaled_in_time_is_refused_at_its_deadline() {
    let now = Instant::now();
    let (mut state, _) = lost_while_journaling(now);

    let effects = state.tick(now + DEADLINE);

    let refusal = refused(&effects, CALL).expect("the deadline of the call has passed");
    assert_eq!(refusal.reason, RefusalReason::StoreUnavailable);
    assert_eq!(refusal.execution, Execution::NotRun);
}
