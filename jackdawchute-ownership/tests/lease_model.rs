//! The specification of leases and promises, searched exhaustively, breadth first.

use std::{cell::Cell, time::Instant};

use jackdawchute_ownership::model::lease_spec::{Guards, LeaseSpec, LeaseWorld, Violation};
use pathfinding::prelude::bfs;

fn lease_state_spec(guards: Guards) -> LeaseSpec {
    LeaseSpec {
        guards,
        promises: true,
        tasks: false,
        requests: false,
        start: Instant::now(),
    }
}

fn task_spec(guards: Guards) -> LeaseSpec {
    LeaseSpec {
        promises: false,
        tasks: true,
        ..lease_state_spec(guards)
    }
}

fn request_spec(guards: Guards) -> LeaseSpec {
    LeaseSpec {
        promises: false,
        requests: true,
        ..lease_state_spec(guards)
    }
}

/// Returns the violation at the end of a shortest counterexample, if there is one.
fn explore(name: &str, spec: &LeaseSpec) -> Option<Violation> {
    let explored = Cell::new(0_u64);
    let begun = Instant::now();
    let next = |world: &LeaseWorld| {
        explored.set(explored.get() + 1);
        spec.next(world)
    };
    let path = bfs(&spec.initial(), next, |world| {
        spec.violation(world).is_some()
    });
    let steps = path.as_ref().map_or(0, |path| path.len() - 1);
    let violation = path.and_then(|path| spec.violation(path.last()?));
    let (explored, elapsed) = (explored.get(), begun.elapsed());
    println!("{name}: {explored} states, {violation:?} after {steps} steps, {elapsed:?}");
    violation
}

/// Returns what the search finds with one guard switched off.
fn explore_without_guard(
    name: &str,
    spec: fn(Guards) -> LeaseSpec,
    switch_off: fn(&mut Guards),
) -> Option<Violation> {
    let mut guards = Guards::ALL;
    switch_off(&mut guards);
    explore(name, &spec(guards))
}

#[test]
fn a_holder_acts_only_while_nobody_has_fenced_it() {
    let spec = lease_state_spec(Guards::ALL);

    let violation = explore("lease state", &spec);

    assert_eq!(violation, None);
}

#[test]
fn a_task_runs_in_one_place_across_a_takeover() {
    let spec = task_spec(Guards::ALL);

    let violation = explore("task lease", &spec);

    assert_eq!(violation, None);
}

#[test]
fn a_minion_is_not_overloaded_across_a_takeover() {
    let spec = request_spec(Guards::ALL);

    let violation = explore("slots", &spec);

    assert_eq!(violation, None);
}

#[test]
fn a_lease_longer_than_the_takeover_breaks_an_invariant() {
    let violation =
        explore_without_guard("long lease", lease_state_spec, |g| g.short_lease = false);

    assert_eq!(violation, Some(Violation::ActsWhileFenced));
}

#[test]
fn a_renewal_counted_from_its_answer_breaks_an_invariant() {
    let violation = explore_without_guard("from answer", lease_state_spec, |g| {
        g.counts_from_send = false
    });

    assert_eq!(violation, Some(Violation::ActsWhileFenced));
}

#[test]
fn acting_without_a_promise_breaks_an_invariant() {
    let violation =
        explore_without_guard("no promise", lease_state_spec, |g| g.needs_promise = false);

    assert_eq!(violation, Some(Violation::ActsWhileFenced));
}

#[test]
fn a_promise_counted_from_its_answer_breaks_an_invariant() {
    let violation = explore_without_guard("from reply", lease_state_spec, |g| {
        g.counts_from_request = false
    });

    assert_eq!(violation, Some(Violation::ActsWhileFenced));
}

#[test]
fn a_broken_promise_breaks_an_invariant() {
    let violation = explore_without_guard("broken promise", lease_state_spec, |g| {
        g.keeps_promise = false
    });

    assert_eq!(violation, Some(Violation::ActsWhileFenced));
}

#[test]
fn a_promise_while_a_fence_is_in_flight_breaks_an_invariant() {
    let violation = explore_without_guard("fence in flight", lease_state_spec, |g| {
        g.no_promise_while_fencing = false;
    });

    assert_eq!(violation, Some(Violation::ActsWhileFenced));
}

#[test]
fn a_task_renewal_for_a_time_from_receipt_breaks_an_invariant() {
    let violation =
        explore_without_guard("from receipt", task_spec, |g| g.absolute_renewal = false);

    assert_eq!(violation, Some(Violation::TwoPlaces));
}

#[test]
fn a_holder_that_does_not_check_its_lease_state_breaks_an_invariant() {
    let violation = explore_without_guard("no check", task_spec, |g| g.checks_lease_state = false);

    assert!(violation.is_some());
}

#[test]
fn a_successor_that_reserves_no_slot_breaks_an_invariant() {
    let violation = explore_without_guard("no slot reserved", request_spec, |g| {
        g.reserves_slots = false
    });

    assert_eq!(violation, Some(Violation::Overloaded));
}

#[test]
fn a_successor_that_does_not_wait_for_requests_to_end_breaks_an_invariant() {
    let violation = explore_without_guard("no wait", request_spec, |g| g.waits_for_end = false);

    assert!(violation.is_some());
}
