//! One key runs at most once, and its answer is kept as long as the retention states.

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

/// Runs an order to its answer.
fn answer_order(state: &mut State, key: &str, body: &str, now: Instant) {
    let grant = granted_order(state, 900, OWNER, key, now);
    let effects = state.incoming(901, complete(&grant, OWNER, answered(body)), now);
    journaled(state, effects, AppendOutcome::Journaled, now);
}

fn adopted_group(group: &GroupId) -> GroupEvent {
    GroupEvent::Claimed {
        group: group.clone(),
        epoch: 1,
        entries: Default::default(),
        fenced_owner: None,
    }
}

fn again(state: &mut State, key: &str, now: Instant) -> Vec<jackdawchute_requests::Effect> {
    state.incoming(990, Call::Acquire(order(OWNER, key)), now)
}

#[test]
fn the_second_call_with_a_key_waits_for_the_first_ones_answer() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let grant = granted_order(&mut state, 1, OWNER, "k", now);

    let waits = state.incoming(2, Call::Acquire(order(OWNER, "k")), now);
    let effects = state.incoming(3, complete(&grant, OWNER, answered("ticket 7")), now);

    assert_eq!(reply(&waits, 2), None);
    assert_eq!(
        reply(&effects, 2),
        Some(Ok(Reply::Answered(answer("ticket 7"))))
    );
}

#[test]
fn an_outcome_is_acknowledged_only_after_it_is_journaled() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let grant = granted_order(&mut state, 1, OWNER, "k", now);

    let before = state.incoming(2, complete(&grant, OWNER, answered("done")), now);
    let after = journaled(&mut state, before.clone(), AppendOutcome::Journaled, now);

    assert_eq!(reply(&before, 2), None);
    assert_eq!(reply(&after, 2), Some(Ok(Reply::Completed)));
}

#[test]
fn a_key_is_taken_only_by_its_home_among_the_listed_groups() {
    let now = Instant::now();
    let mut list = minions(1, SLOTS);
    let mut elsewhere = minion(1, SLOTS, jackdawchute_ports::MemberState::Live);
    elsewhere.failure_domain = "ala-2".into();
    list.members.push(elsewhere);
    let groups = [group(), "service/repair-desk/ala-2".into()];
    let mut state = owner(settings(), &list, now);

    for call in 0..20 {
        let key = format!("k{call}");
        let effects = state.incoming(call, Call::Acquire(order(OWNER, &key)), now);

        let is_home = jackdawchute_requests::rendezvous_group(&key.into(), &groups) == group();
        let refusal = refused(&effects, call).map(|refusal| refusal.execution);
        assert_eq!(refusal, (!is_home).then_some(Execution::NotRun));
    }
}

#[test]
fn a_key_group_takes_its_own_keys_whatever_minions_are_listed() {
    let now = Instant::now();
    let service = "repair-desk".into();
    let own = jackdawchute_requests::key_groups(&service)[3].clone();
    let mut state = bystander(settings(), &minions(0, SLOTS), now);
    adopt(&mut state, adopted_group(&own), now);

    for call in 0..40 {
        let key = format!("k{call}");
        let acquire = Acquire {
            group: own.clone(),
            ..order(OWNER, &key)
        };
        let effects = state.incoming(call, Call::Acquire(acquire), now);
        let effects = journaled(&mut state, effects, AppendOutcome::Journaled, now);

        let is_own = jackdawchute_requests::key_group(&key.into(), &service) == own;
        let refusal = refused(&effects, call).map(|refusal| refusal.execution);
        assert_eq!(granted(&effects, call).is_some(), is_own);
        assert_eq!(refusal, (!is_own).then_some(Execution::NotRun));
    }
}

#[test]
fn another_request_with_the_same_key_is_refused() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    granted_order(&mut state, 1, OWNER, "k", now);
    let mut other = order(OWNER, "k");
    other.digest = 2;

    let effects = state.incoming(2, Call::Acquire(other), now);

    let refusal = refused(&effects, 2).expect("another digest");
    assert_eq!(refusal.reason, RefusalReason::KeyMismatch);
    assert_eq!(refusal.execution, Execution::NotRun);
}

#[test]
fn a_lost_answer_is_never_run_again() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let grant = granted_order(&mut state, 1, OWNER, "k", now);
    let effects = state.incoming(2, complete(&grant, OWNER, GrantOutcome::AnswerLost), now);
    journaled(&mut state, effects, AppendOutcome::Journaled, now);

    let effects = again(&mut state, "k", now);

    assert!(appends(&effects).is_empty());
    let refusal = refused(&effects, 990).expect("an unknown outcome");
    assert_eq!(refusal.execution, Execution::Unknown);
}

#[test]
fn an_unsent_request_is_closed_in_the_journal_and_may_run_later() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let grant = granted_order(&mut state, 1, OWNER, "k", now);

    let closing = state.incoming(2, complete(&grant, OWNER, NOT_SENT), now);
    let records = appends(&closing).remove(0).1;
    journaled(&mut state, closing, AppendOutcome::Journaled, now);
    let second = granted_order(&mut state, 3, OWNER, "k", now);

    assert_eq!(records, [("k".into(), None)]);
    assert_ne!(second.id, grant.id);
}

#[test]
fn a_waiting_call_takes_the_place_of_one_that_never_ran() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);
    let grant = granted_order(&mut state, 1, OWNER, "k", now);
    state.incoming(2, Call::Acquire(order(OWNER, "k")), now);

    let effects = state.incoming(3, complete(&grant, OWNER, NOT_SENT), now);
    let effects = journaled(&mut state, effects, AppendOutcome::Journaled, now);

    assert!(granted(&effects, 2).is_some());
}

#[test]
fn an_answer_beyond_the_retention_time_is_not_run_again() {
    let start = Instant::now();
    let retention = RetentionSettings {
        answer_time: Duration::from_secs(10),
        key_time: Duration::from_secs(60),
        ..RetentionSettings::default()
    };
    let mut state = owner(settings_with(retention), &minions(1, SLOTS), start);
    answer_order(&mut state, "k", "done", start);

    let trimming = state.tick(start + Duration::from_secs(10));
    let effects = again(&mut state, "k", start + Duration::from_secs(10));

    let records = appends(&trimming).remove(0).1;
    let kept = records[0].1.as_ref().map(|record| record.state.clone());
    assert_eq!(kept, Some(JournaledState::Answered { answer: None }));
    let refusal = refused(&effects, 990).expect("no answer any more");
    assert_eq!(refusal.reason, RefusalReason::AnswerNotRetained);
}

#[test]
fn a_key_beyond_its_retention_leaves_memory_and_journal() {
    let start = Instant::now();
    let retention = RetentionSettings {
        key_time: Duration::from_secs(60),
        ..RetentionSettings::default()
    };
    let mut state = owner(settings_with(retention), &minions(1, SLOTS), start);
    answer_order(&mut state, "k", "done", start);

    let before = state.tick(start + Duration::from_secs(59));
    let after = state.tick(start + Duration::from_secs(60));

    assert!(appends(&before).is_empty());
    assert_eq!(appends(&after).remove(0).1, [("k".into(), None)]);
    assert_eq!(state.status(start).groups[0].keys, 0);
}

#[test]
fn answers_are_bounded_by_count_and_body_size() {
    let now = Instant::now();
    let retention = RetentionSettings {
        answers_max: 1,
        body_max_bytes: 4,
        ..RetentionSettings::default()
    };
    let mut state = owner(settings_with(retention), &minions(1, SLOTS), now);
    answer_order(&mut state, "first", "abcd", now);
    answer_order(&mut state, "second", "abcd", now);
    answer_order(&mut state, "large", "abcde", now);

    state.tick(now);
    let of_first = refused(&again(&mut state, "first", now), 990);
    let of_large = refused(&again(&mut state, "large", now), 990);

    let not_retained = Some(RefusalReason::AnswerNotRetained);
    assert_eq!(of_first.map(|refusal| refusal.reason), not_retained);
    assert_eq!(of_large.map(|refusal| refusal.reason), not_retained);
}

#[test]
fn no_key_is_forgotten_early_to_make_room() {
    let now = Instant::now();
    let retention = RetentionSettings {
        keys_max: 1,
        ..RetentionSettings::default()
    };
    let mut state = owner(settings_with(retention), &minions(1, SLOTS), now);
    answer_order(&mut state, "first", "done", now);

    let new = again(&mut state, "second", now);
    let known = again(&mut state, "first", now);

    let refusal = refused(&new, 990).expect("no room for a key");
    assert_eq!(refusal.execution, Execution::NotRun);
    assert_eq!(
        reply(&known, 990),
        Some(Ok(Reply::Answered(answer("done"))))
    );
}

#[test]
fn a_call_that_waits_for_a_key_too_long_is_told_that_it_may_have_run() {
    let start = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), start);
    granted_order(&mut state, 1, OWNER, "k", start);
    state.incoming(2, Call::Acquire(order(OWNER, "k")), start);

    let effects = state.tick(start + DEADLINE);

    let refusal = refused(&effects, 2).expect("its deadline passed");
    assert_eq!(refusal.reason, RefusalReason::KeyInProgress);
    assert_eq!(refusal.execution, Execution::Unknown);
}
