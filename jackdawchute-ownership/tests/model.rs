//! The specification of the journal, explored breadth first to exhaustion.

use std::{cell::Cell, time::Instant};

use jackdawchute_ownership::model::{
    journal_spec::{Guards, JournalSpec, Kind},
    world::{Violation, World},
};
use pathfinding::prelude::bfs;

/// Takeover, lost answers, pauses, late and doubled delivery.
fn takeover_spec(kind: Kind, guards: Guards) -> JournalSpec {
    JournalSpec {
        kind,
        guards,
        ticks_max: 1,
        writes_max: [1, 4],
        attempts_max: 2,
        releases_max: 0,
        doubled_max: 1,
        loses_answers: true,
        tasks_end: false,
        wanted: None,
        start: Instant::now(),
    }
}

/// One handover instead of a second attempt.
fn handover_spec(guards: Guards) -> JournalSpec {
    JournalSpec {
        writes_max: [2, 3],
        attempts_max: 1,
        releases_max: 1,
        doubled_max: 0,
        ..takeover_spec(Kind::Task, guards)
    }
}

/// The group goes to and fro, and the task ends meanwhile.
fn to_and_fro_spec(guards: Guards) -> JournalSpec {
    JournalSpec {
        ticks_max: 0,
        writes_max: [5, 5],
        releases_max: 3,
        loses_answers: false,
        tasks_end: true,
        ..handover_spec(guards)
    }
}

/// The violation at the end of a shortest counterexample, if there is one.
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
    let (explored, taken) = (explored.get(), begun.elapsed());
    println!("{name}: {explored} states, {violation:?} after {steps} steps, {taken:?}");
    violation
}

#[test]
fn a_task_runs_in_one_place_under_takeover() {
    let spec = takeover_spec(Kind::Task, Guards::ALL);

    let violation = explore("task, takeover", &spec);

    assert_eq!(violation, None);
}

#[test]
fn a_request_runs_at_most_once_under_takeover() {
    let spec = takeover_spec(Kind::Request, Guards::ALL);

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
fn a_group_keeps_its_state_when_it_goes_to_and_fro() {
    let spec = to_and_fro_spec(Guards::ALL);

    let violation = explore("task, to and fro", &spec);

    assert_eq!(violation, None);
}

/// What the search finds with one guard off, if only `wanted` counts.
fn without(
    name: &str,
    spec: fn(Guards) -> JournalSpec,
    off: fn(&mut Guards),
    wanted: Violation,
) -> Option<Violation> {
    let mut guards = Guards::ALL;
    off(&mut guards);
    let wanted = Some(wanted);
    explore(
        name,
        &JournalSpec {
            wanted,
            ..spec(guards)
        },
    )
}

fn task(guards: Guards) -> JournalSpec {
    takeover_spec(Kind::Task, guards)
}

fn request(guards: Guards) -> JournalSpec {
    takeover_spec(Kind::Request, guards)
}

#[test]
fn without_the_intent_rule_a_task_runs_in_two_places() {
    let wanted = Violation::TwoPlaces;

    let found = without("no intent rule", task, |g| g.intent = false, wanted);

    assert_eq!(found, Some(wanted));
}

#[test]
fn without_the_intent_rule_a_request_runs_twice() {
    let wanted = Violation::RanTwice;

    let found = without("no intent rule", request, |g| g.intent = false, wanted);

    assert_eq!(found, Some(wanted));
}

#[test]
fn without_the_intent_rule_a_refused_request_has_run() {
    let wanted = Violation::RefusedAndRan;

    let found = without("no intent rule", request, |g| g.intent = false, wanted);

    assert_eq!(found, Some(wanted));
}

#[test]
fn without_the_fence_a_refused_entry_is_journaled() {
    let wanted = Violation::RefusedAndJournaled;

    let found = without("no fence", task, |g| g.fence = false, wanted);

    assert_eq!(found, Some(wanted));
}

#[test]
fn without_the_fence_a_request_runs_twice() {
    let wanted = Violation::RanTwice;

    let found = without("no fence", request, |g| g.fence = false, wanted);

    assert_eq!(found, Some(wanted));
}

#[test]
fn a_fence_of_a_row_that_moved_on_hides_a_commit() {
    let wanted = Violation::RefusedAndJournaled;

    let found = without("any version", request, |g| g.fence_version = false, wanted);

    assert_eq!(found, Some(wanted));
}

#[test]
fn a_lost_answer_taken_as_a_success_runs_a_request_twice() {
    let wanted = Violation::RanTwice;

    let found = without(
        "assumed success",
        request,
        |g| g.no_assumed_success = false,
        wanted,
    );

    assert_eq!(found, Some(wanted));
}

#[test]
fn a_lost_answer_taken_as_a_failure_refuses_what_is_journaled() {
    let wanted = Violation::RefusedAndJournaled;

    let found = without(
        "assumed failure",
        request,
        |g| g.no_assumed_failure = false,
        wanted,
    );

    assert_eq!(found, Some(wanted));
}

#[test]
fn without_the_instant_a_late_start_runs_a_task_in_two_places() {
    let wanted = Violation::TwoPlaces;

    let found = without("no instant", task, |g| g.not_after = false, wanted);

    assert_eq!(found, Some(wanted));
}

#[test]
fn an_open_request_that_is_sent_again_runs_twice() {
    let wanted = Violation::RanTwice;

    let found = without("sent again", request, |g| g.no_resend = false, wanted);

    assert_eq!(found, Some(wanted));
}

#[test]
fn entries_of_an_earlier_epoch_bring_back_what_has_ended() {
    let wanted = Violation::StateLost;

    let found = without(
        "any epoch",
        to_and_fro_spec,
        |g| g.source_epochs = false,
        wanted,
    );

    assert_eq!(found, Some(wanted));
}
