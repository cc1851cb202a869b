//! The specification of the journal, searched exhaustively, breadth first.

use std::{cell::Cell, time::Instant};

use jackdawchute_ownership::model::{
    journal_spec::{EffectKind, Guards, JournalSpec},
    world::{Violation, World},
};
use pathfinding::prelude::bfs;

/// Takeover, lost answers, pauses, and late and duplicate delivery.
fn takeover_spec(kind: EffectKind, guards: Guards) -> JournalSpec {
    JournalSpec {
        kind,
        guards,
        ticks_max: 1,
        commits_max: [1, 4],
        attempts_max: 2,
        releases_max: 0,
        duplicates_max: 1,
        loses_answers: true,
        tasks_end: false,
        only_violation: None,
        start: Instant::now(),
    }
}

/// One handover, instead of a second attempt of a commit.
fn handover_spec(guards: Guards) -> JournalSpec {
    JournalSpec {
        commits_max: [2, 3],
        attempts_max: 1,
        releases_max: 1,
        duplicates_max: 0,
        ..takeover_spec(EffectKind::Task, guards)
    }
}

/// Several handovers, between which the task may end.
fn repeated_handover_spec(guards: Guards) -> JournalSpec {
    JournalSpec {
        ticks_max: 0,
        commits_max: [5, 5],
        releases_max: 3,
        loses_answers: false,
        tasks_end: true,
        ..handover_spec(guards)
    }
}

/// Returns the violation at the end of a shortest counterexample, if there is one.
fn explore(name: &str, spec: &JournalSpec) -> Option<Violation> {
    let explored = Cell::new(0_u64);
    let begun = Instant::now();
    let next = |world: &World| {
        explored.set(explored.get() + 1);
        spec.next(world)
    };
    let path = bfs(&World::new(), next, |world| world.violation.is_some());
    let steps = path.as_ref().map_or(0, |path| path.len() - 1);
    let violation = path.and_then(|path| path.last()?.violation);
    let (explored, elapsed) = (explored.get(), begun.elapsed());
    println!("{name}: {explored} states, {violation:?} after {steps} steps, {elapsed:?}");
    violation
}

#[test]
fn a_task_runs_in_one_place_under_takeover() {
    let spec = takeover_spec(EffectKind::Task, Guards::ALL);

    let violation = explore("task, takeover", &spec);

    assert_eq!(violation, None);
}

#[test]
fn a_request_runs_at_most_once_under_takeover() {
    let spec = takeover_spec(EffectKind::Request, Guards::ALL);

    let violation = explore("request, takeover", &spec);

    assert_eq!(violation, None);
}

#[test]
fn a_task_runs_in_one_place_across_a_handover() {
    let spec = handover_spec(Guards::ALL);

    let violation = explore("task, handover", &spec);

    assert_eq!(violation, None);
}

#[test]
fn a_group_keeps_its_state_when_it_is_handed_over_repeatedly() {
    let spec = repeated_handover_spec(Guards::ALL);

    let violation = explore("task, repeated handover", &spec);

    assert_eq!(violation, None);
}

/// Returns what the search finds with one guard switched off, if only `only_violation` counts.
fn explore_without_guard(
    name: &str,
    spec: fn(Guards) -> JournalSpec,
    switch_off: fn(&mut Guards),
    only_violation: Violation,
) -> Option<Violation> {
    let mut guards = Guards::ALL;
    switch_off(&mut guards);
    let only_violation = Some(only_violation);
    explore(
        name,
        &JournalSpec {
            only_violation,
            ..spec(guards)
        },
    )
}

fn task_takeover_spec(guards: Guards) -> JournalSpec {
    takeover_spec(EffectKind::Task, guards)
}

fn request_takeover_spec(guards: Guards) -> JournalSpec {
    takeover_spec(EffectKind::Request, guards)
}

#[test]
fn without_the_intent_rule_a_task_runs_in_two_places() {
    let only_violation = Violation::TwoPlaces;

    let found = explore_without_guard(
        "no intent rule",
        task_takeover_spec,
        |g| g.intent_first = false,
        only_violation,
    );

    assert_eq!(found, Some(only_violation));
}

#[test]
fn without_the_intent_rule_a_request_runs_twice() {
    let only_violation = Violation::RanTwice;

    let found = explore_without_guard(
        "no intent rule",
        request_takeover_spec,
        |g| g.intent_first = false,
        only_violation,
    );

    assert_eq!(found, Some(only_violation));
}

#[test]
fn without_the_intent_rule_a_refused_request_has_run() {
    let only_violation = Violation::RefusedAndRan;

    let found = explore_without_guard(
        "no intent rule",
        request_takeover_spec,
        |g| g.intent_first = false,
        only_violation,
    );

    assert_eq!(found, Some(only_violation));
}

#[test]
fn without_the_own_version_condition_a_refused_entry_is_journaled() {
    let only_violation = Violation::RefusedAndJournaled;

    let found = explore_without_guard(
        "no own version condition",
        task_takeover_spec,
        |g| g.own_version_condition = false,
        only_violation,
    );

    assert_eq!(found, Some(only_violation));
}

#[test]
fn without_the_own_version_condition_a_request_runs_twice() {
    let only_violation = Violation::RanTwice;

    let found = explore_without_guard(
        "no own version condition",
        request_takeover_spec,
        |g| g.own_version_condition = false,
        only_violation,
    );

    assert_eq!(found, Some(only_violation));
}

#[test]
fn a_fence_without_its_version_condition_refuses_what_is_journaled() {
    let only_violation = Violation::RefusedAndJournaled;

    let found = explore_without_guard(
        "any version",
        request_takeover_spec,
        |g| g.fence_version_condition = false,
        only_violation,
    );

    assert_eq!(found, Some(only_violation));
}

#[test]
fn a_lost_answer_taken_as_a_success_runs_a_request_twice() {
    let only_violation = Violation::RanTwice;

    let found = explore_without_guard(
        "assumed success",
        request_takeover_spec,
        |g| g.no_assumed_success = false,
        only_violation,
    );

    assert_eq!(found, Some(only_violation));
}

#[test]
fn a_lost_answer_taken_as_a_failure_refuses_what_is_journaled() {
    let only_violation = Violation::RefusedAndJournaled;

    let found = explore_without_guard(
        "assumed failure",
        request_takeover_spec,
        |g| g.no_assumed_failure = false,
        only_violation,
    );

    assert_eq!(found, Some(only_violation));
}

#[test]
fn without_the_start_deadline_a_late_start_runs_a_task_in_two_places() {
    let only_violation = Violation::TwoPlaces;

    let found = explore_without_guard(
        "no start deadline",
        task_takeover_spec,
        |g| g.start_deadline = false,
        only_violation,
    );

    assert_eq!(found, Some(only_violation));
}

#[test]
fn an_open_request_that_is_sent_again_runs_twice() {
    let only_violation = Violation::RanTwice;

    let found = explore_without_guard(
        "sent again",
        request_takeover_spec,
        |g| g.no_resend = false,
        only_violation,
    );

    assert_eq!(found, Some(only_violation));
}

#[test]
fn replaying_entries_of_an_earlier_epoch_restores_an_ended_task() {
    let only_violation = Violation::StateLost;

    let found = explore_without_guard(
        "any epoch",
        repeated_handover_spec,
        |g| g.source_epochs = false,
        only_violation,
    );

    assert_eq!(found, Some(only_violation));
}
