//! A request with an idempotency key runs at most once, and its answer is stored for the retention
//! time.

mod fixtures;

use std::time::{Duration, Instant};

use fixtures::*;
use jackdawchute_ownership::GroupEvent;
use jackdawchute_requests::{
    Acquire, AppendOutcome, Call, GrantOutcome, JournaledState, Reply, RetentionSettings, Settings,
    State,
};
use jackdawchute_types::{Execution, GroupId, RefusalReason};

fn settings_with(retention: RetentionSettings) -> Settings {
    Settings {
        retention,
        ..settings()
    }
}

/// Grants a keyed request and reports its answer.
fn complete_keyed(state: &mut State, key: &str, body: &str, now: Instant) {
    let grant = granted_keyed(state, 900, OWNER, key, now);
    let effects = state.incoming(901, complete(&grant, OWNER, answered(body)), now);
    answer_appends(state, effects, AppendOutcome::Journaled, now);
}

fn claimed_group(group: &GroupId) -> GroupEvent {
    GroupEvent::Claimed {
        group: group.clone(),
        epoch: 1,
        entries: Default::default(),
        fenced_owner: None,
    }
}

fn call_again(state: &mut State, key: &str, now: Instant) -> Vec<jackdawchute_requests::Effect> {
    state.incoming(990, Call::Acquire(acquire_keyed(OWNER, key)), now)
}

#[test]
fn the_second_call_with_a_key_waits_for_the_answer_to_the_first() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let grant = granted_keyed(&mut state, 1, OWNER, "k", now);

    let waits = state.incoming(2, Call::Acquire(acquire_keyed(OWNER, "k")), now);
    let effects = state.incoming(3, complete(&grant, OWNER, answered("ticket 7")), now);

    assert_eq!(reply(&waits, 2), None);
    assert_eq!(
        reply(&effects, 2),
        Some(Ok(Reply::Answered(stored_answer("ticket 7"))))
    );
}

#[test]
fn an_outcome_is_acknowledged_only_after_it_is_journaled() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let grant = granted_keyed(&mut state, 1, OWNER, "k", now);

    let before = state.incoming(2, complete(&grant, OWNER, answered("done")), now);
    let after = answer_appends(&mut state, before.clone(), AppendOutcome::Journaled, now);

    assert_eq!(reply(&before, 2), None);
    assert_eq!(reply(&after, 2), Some(Ok(Reply::Completed)));
}

#[test]
fn a_key_is_accepted_only_by_its_rendezvous_group() {
    let now = Instant::now();
    let mut list = minions(1, SLOTS);
    let mut other_domain = minion(1, SLOTS, jackdawchute_ports::MemberState::Live);
    other_domain.failure_domain = "ala-2".into();
    list.members.push(other_domain);
    let groups = [group(), "service/repair-desk/ala-2".into()];
    let mut state = owner(settings(), &list, now);

    for call in 0..20 {
        let key = format!("k{call}");
        let effects = state.incoming(call, Call::Acquire(acquire_keyed(OWNER, &key)), now);

        let is_rendezvous_group =
            jackdawchute_requests::rendezvous_group(&key.into(), &groups) == group();
        let refusal = refused(&effects, call).map(|refusal| refusal.execution);
        assert_eq!(refusal, (!is_rendezvous_group).then_some(Execution::NotRun));
    }
}

#[test]
fn a_key_group_accepts_only_its_keys_and_needs_no_listed_minion() {
    let now = Instant::now();
    let service = "repair-desk".into();
    let key_group_id = jackdawchute_requests::key_groups(&service)[3].clone();
    let mut state = non_owner(settings(), &minions(0, SLOTS), now);
    claim(&mut state, claimed_group(&key_group_id), now);

    for call in 0..40 {
        let key = format!("k{call}");
        let acquire = Acquire {
            group: key_group_id.clone(),
            ..acquire_keyed(OWNER, &key)
        };
        let effects = state.incoming(call, Call::Acquire(acquire), now);
        let effects = answer_appends(&mut state, effects, AppendOutcome::Journaled, now);

        let is_own_key = jackdawchute_requests::key_group(&key.into(), &service) == key_group_id;
        let refusal = refused(&effects, call).map(|refusal| refusal.execution);
        assert_eq!(granted(&effects, call).is_some(), is_own_key);
        assert_eq!(refusal, (!is_own_key).then_some(Execution::NotRun));
    }
}

#[test]
fn a_different_request_with_the_same_key_is_refused() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    granted_keyed(&mut state, 1, OWNER, "k", now);
    let mut other = acquire_keyed(OWNER, "k");
    other.digest = 2;

    let effects = state.incoming(2, Call::Acquire(other), now);

    let refusal = refused(&effects, 2).expect("the digests differ");
    assert_eq!(refusal.reason, RefusalReason::KeyMismatch);
    assert_eq!(refusal.execution, Execution::NotRun);
}

#[test]
fn a_request_with_a_lost_answer_is_not_run_again() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let grant = granted_keyed(&mut state, 1, OWNER, "k", now);
    let effects = state.incoming(2, complete(&grant, OWNER, GrantOutcome::AnswerLost), now);
    answer_appends(&mut state, effects, AppendOutcome::Journaled, now);

    let effects = call_again(&mut state, "k", now);

    assert!(appends(&effects).is_empty());
    let refusal = refused(&effects, 990).expect("the outcome of the key is unknown");
    assert_eq!(refusal.execution, Execution::Unknown);
}

#[test]
fn the_intent_of_an_unsent_request_is_removed_and_its_key_may_run_later() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let grant = granted_keyed(&mut state, 1, OWNER, "k", now);

    let removing = state.incoming(2, complete(&grant, OWNER, NOT_SENT), now);
    let records = appends(&removing).remove(0).1;
    answer_appends(&mut state, removing, AppendOutcome::Journaled, now);
    let second = granted_keyed(&mut state, 3, OWNER, "k", now);

    assert_eq!(records, [("k".into(), None)]);
    assert_ne!(second.id, grant.id);
}

#[test]
fn a_waiting_call_replaces_one_with_the_same_key_that_never_ran() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let grant = granted_keyed(&mut state, 1, OWNER, "k", now);
    state.incoming(2, Call::Acquire(acquire_keyed(OWNER, "k")), now);

    let effects = state.incoming(3, complete(&grant, OWNER, NOT_SENT), now);
    let effects = answer_appends(&mut state, effects, AppendOutcome::Journaled, now);

    assert!(granted(&effects, 2).is_some());
}

#[test]
fn a_request_is_not_run_again_after_its_stored_answer_expired() {
    let start = Instant::now();
    let retention = RetentionSettings {
        answer_time: Duration::from_secs(10),
        key_time: Duration::from_secs(60),
        ..RetentionSettings::default()
    };
    let mut state = owner(settings_with(retention), &minions(1, SLOTS), start);
    complete_keyed(&mut state, "k", "done", start);

    let trimming = state.tick(start + Duration::from_secs(10));
    let effects = call_again(&mut state, "k", start + Duration::from_secs(10));

    let records = appends(&trimming).remove(0).1;
    let remaining = records[0].1.as_ref().map(|record| record.state.clone());
    assert_eq!(remaining, Some(JournaledState::Answered { answer: None }));
    let refusal = refused(&effects, 990).expect("the stored answer has expired");
    assert_eq!(refusal.reason, RefusalReason::AnswerNotRetained);
}

#[test]
fn an_expired_key_is_removed_from_memory_and_journal() {
    let start = Instant::now();
    let retention = RetentionSettings {
        key_time: Duration::from_secs(60),
        ..RetentionSettings::default()
    };
    let mut state = owner(settings_with(retention), &minions(1, SLOTS), start);
    complete_keyed(&mut state, "k", "done", start);

    let before = state.tick(start + Duration::from_secs(59));
    let after = state.tick(start + Duration::from_secs(60));

    assert!(appends(&before).is_empty());
    assert_eq!(appends(&after).remove(0).1, [("k".into(), None)]);
    assert_eq!(state.status(start).groups[0].keys, 0);
}

#[test]
fn stored_answers_are_limited_by_count_and_body_size() {
    let now = Instant::now();
    let retention = RetentionSettings {
        answers_max: 1,
        body_max_bytes: 4,
        ..RetentionSettings::default()
    };
    let mut state = owner(settings_with(retention), &minions(1, SLOTS), now);
    complete_keyed(&mut state, "first", "abcd", now);
    complete_keyed(&mut state, "second", "abcd", now);
    complete_keyed(&mut state, "large", "abcde", now);

    state.tick(now);
    let of_first = refused(&call_again(&mut state, "first", now), 990);
    let of_large = refused(&call_again(&mut state, "large", now), 990);

    let not_retained = Some(RefusalReason::AnswerNotRetained);
    assert_eq!(of_first.map(|refusal| refusal.reason), not_retained);
    assert_eq!(of_large.map(|refusal| refusal.reason), not_retained);
}

#[test]
fn no_key_is_removed_early_when_the_limit_is_reached() {
    let now = Instant::now();
    let retention = RetentionSettings {
        keys_max: 1,
        ..RetentionSettings::default()
    };
    let mut state = owner(settings_with(retention), &minions(1, SLOTS), now);
    complete_keyed(&mut state, "first", "done", now);

    let new = call_again(&mut state, "second", now);
    let known = call_again(&mut state, "first", now);

    let refusal = refused(&new, 990).expect("the group knows as many keys as allowed");
    assert_eq!(refusal.execution, Execution::NotRun);
    assert_eq!(
        reply(&known, 990),
        Some(Ok(Reply::Answered(stored_answer("done"))))
    );
}

#[test]
fn a_call_that_waits_too_long_for_a_key_is_refused_with_unknown_execution() {
    let start = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), start);
    granted_keyed(&mut state, 1, OWNER, "k", start);
    state.incoming(2, Call::Acquire(acquire_keyed(OWNER, "k")), start);

    let effects = state.tick(start + DEADLINE);

    let refusal = refused(&effects, 2).expect("the deadline of the call has passed");
    assert_eq!(refusal.reason, RefusalReason::KeyInProgress);
    assert_eq!(refusal.execution, Execution::Unknown);
}
