//! Retries: their budget and limits, and the minions and slots that they may use.

mod fixtures;

use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use fixtures::*;
use jackdawchute_ports::MemberState;
use jackdawchute_requests::{
    Acquire, Call, FailedAttempt, Grant, GrantOutcome, RetryBudget, RetrySettings, State,
};
use jackdawchute_types::{ClassId, Execution, NoRecorder, Recorder, RefusalReason, RetryReason};

const RANDOM: u32 = u32::MAX / 2;

fn failed(idempotent: bool, sent: bool) -> FailedAttempt {
    FailedAttempt {
        class: "counter".into(),
        idempotent,
        sent,
        attempts: 1,
        reason: RetryReason::ConnectFailed,
        remaining: Duration::from_secs(2),
    }
}

fn budget() -> RetryBudget {
    RetryBudget::new(RetrySettings {
        budget_percent: 10,
        budget_max: 5,
        ..RetrySettings::default()
    })
}

#[derive(Default)]
struct Counts {
    retried: AtomicU32,
    refused: AtomicU32,
}

impl Recorder for Counts {
    fn refused(&self, _: &ClassId, _: RefusalReason) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }
    fn retried(&self, _: &ClassId, _: RetryReason) {
        self.retried.fetch_add(1, Ordering::Relaxed);
    }
    fn placed(&self, _: &ClassId, _: Duration) {}
}

#[test]
fn retries_stop_with_the_budget_and_resume_after_successes() {
    let mut budget = budget();
    let counts = Counts::default();

    let initially = (0..20).filter(|_| budget.retry(&failed(true, true), RANDOM, &counts).is_ok());
    let initially = initially.count();
    (0..20).for_each(|_| budget.succeeded(&"counter".into()));
    let afterwards = (0..20).filter(|_| budget.retry(&failed(true, true), RANDOM, &counts).is_ok());

    assert_eq!((initially, afterwards.count()), (5, 2));
    assert_eq!(counts.retried.into_inner(), 7);
    assert_eq!(counts.refused.into_inner(), 33);
}

#[test]
fn an_exhausted_class_does_not_use_the_budget_of_another() {
    let mut budget = budget();
    let other = FailedAttempt {
        class: "overnight".into(),
        ..failed(true, false)
    };

    while budget.retry(&other, RANDOM, &NoRecorder).is_ok() {}
    let result = budget.retry(&failed(true, false), RANDOM, &NoRecorder);

    assert!(result.is_ok());
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_nothing_was_sent() {
    let mut budget = budget();

    let unsent = budget.retry(&failed(false, false), RANDOM, &NoRecorder);
    let sent = budget.retry(&failed(false, true), RANDOM, &NoRecorder);

    assert!(unsent.is_ok());
    let refusal = sent.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::AnswerLost);
    assert_eq!(refusal.execution, Execution::Unknown);
}

#[test]
fn retries_are_limited_by_attempts_and_remaining_time() {
    let mut budget = budget();
    let third = FailedAttempt {
        attempts: 3,
        ..failed(true, false)
    };
    let late = FailedAttempt {
        remaining: Duration::ZERO,
        ..failed(true, false)
    };

    let after_third = budget.retry(&third, RANDOM, &NoRecorder).unwrap_err();
    let too_late = budget.retry(&late, RANDOM, &NoRecorder).unwrap_err();

    assert_eq!(after_third.reason, RefusalReason::ConnectFailed);
    assert_eq!(after_third.execution, Execution::NotRun);
    assert_eq!(too_late.reason, RefusalReason::DeadlineExpired);
}

fn retry(failed_on: &[&str]) -> Call {
    Call::Acquire(Acquire {
        failed_on: failed_on.iter().map(|id| (*id).into()).collect(),
        ..acquire(OWNER)
    })
}

#[test]
fn a_retry_is_granted_another_minion_than_the_one_that_lost_the_answer() {
    let now = Instant::now();
    let mut list = minions(1, SLOTS);
    list.members.push(minion(1, 2, MemberState::Live));
    let mut state = owner(settings(), &list, now);
    let first = granted_idempotent(&mut state, 1, OWNER, now);
    state.incoming(2, complete(&first, OWNER, GrantOutcome::AnswerLost), now);

    let effects = state.incoming(3, retry(&["m0"]), now);

    let second = granted(&effects, 3).expect("m1 has free slots");
    assert_eq!((&*first.minion, &*second.minion), ("m0", "m1"));
}

#[test]
fn a_retry_is_granted_the_failed_minion_if_there_is_no_other() {
    let now = Instant::now();
    let mut state = owner(settings(), &minions(1, SLOTS), now);

    let effects = state.incoming(1, retry(&["m0"]), now);

    assert!(granted(&effects, 1).is_some());
}

/// Returns an owner that grants an instance at most two slots at a time, with both grants in use.
fn owner_with_share_in_use(now: Instant) -> (State, [Grant; 2]) {
    let mut settings = settings();
    settings.grants.hold_back_slots = 2;
    let mut state = owner(settings, &minions(1, SLOTS), now);
    let grants = [1, 2].map(|call| granted_idempotent(&mut state, call, OWNER, now));
    (state, grants)
}

#[test]
fn a_call_is_refused_if_lost_answers_use_its_holders_whole_share() {
    let now = Instant::now();
    let (mut state, grants) = owner_with_share_in_use(now);
    state.incoming(3, Call::Acquire(acquire(OWNER)), now);

    state.incoming(
        4,
        complete(&grants[0], OWNER, GrantOutcome::AnswerLost),
        now,
    );
    let effects = state.incoming(
        5,
        complete(&grants[1], OWNER, GrantOutcome::AnswerLost),
        now,
    );
    let later = state.incoming(6, Call::Acquire(acquire(OWNER)), now);

    let refusal = refused(&effects, 3).expect("the call waited for a slot of its holder");
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    assert_eq!(refusal.execution, Execution::NotRun);
    assert!(refused(&later, 6).is_some());
}

#[test]
fn a_call_waits_for_a_slot_that_will_be_released() {
    let now = Instant::now();
    let (mut state, grants) = owner_with_share_in_use(now);
    state.incoming(3, Call::Acquire(acquire(OWNER)), now);
    state.incoming(
        4,
        complete(&grants[0], OWNER, GrantOutcome::AnswerLost),
        now,
    );

    let effects = state.incoming(5, complete(&grants[1], OWNER, answered("done")), now);

    assert!(granted(&effects, 3).is_some());
}
