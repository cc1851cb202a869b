//! The specification of the authority of leaders, searched breadth first.
//!
//! L leads epoch 1 and has started a task on worker 0; P is a member and Q a newcomer. Any call may
//! fail, be lost or hang at any time, so that links need no state of their own; an instance that is
//! paused takes no step. The decisions are those of `jackdawchute_cell::authority`. The worlds are
//! kept small in these ways:
//! - Promises and the task are searched apart: the former show that nobody acts later than a
//!   successor allows for, the latter that this suffices for the task.
//! - Ticks have a different length in each scenario, so that its constants are few ticks; they round
//!   what is shorter. Members are not dropped for old heartbeats.
//! - A successor has authority from its first confirmation on, not from its claim.
//! - A leader has one order, one confirmation and one request to each member in the network.
//! - The rule for lapsed leases is the scheduler's, written down here: its functions are private.

mod claims;
#[path = "../search/mod.rs"]
mod search;
mod spec;
mod work;
mod world;

use std::time::{Duration, Instant};

use crate::{
    search::search,
    spec::{Guards, Spec, Violation},
};

/// The member P claims the epoch from L; promises extend L's authority.
fn promise_spec(guards: Guards) -> Spec {
    Spec {
        guards,
        invariant: Violation::ActsAfterItsEnd,
        tick: Duration::from_millis(500),
        now: 5,
        claims: [false, true, false],
        restarts: [false; 3],
        promises: true,
        has_member: true,
        heartbeats_from: u64::MAX,
        epoch_max: 2,
        tasks: false,
        start: Instant::now() + Duration::from_secs(60),
    }
}

/// P claims the epoch from L, without promises; both extend leases and start the task.
fn task_spec(guards: Guards) -> Spec {
    Spec {
        invariant: Violation::TwoPlaces,
        tick: Duration::from_millis(750),
        now: 4,
        promises: false,
        tasks: true,
        ..promise_spec(guards)
    }
}

/// The same with longer ticks.
fn short_task_spec(guards: Guards) -> Spec {
    Spec {
        tick: Duration::from_millis(1_500),
        now: 3,
        ..task_spec(guards)
    }
}

/// Q claims the epoch of a leader without members, and knows nothing of it.
fn newcomer_spec(guards: Guards) -> Spec {
    Spec {
        tick: Duration::from_millis(7_500),
        claims: [false, false, true],
        has_member: false,
        ..task_spec(guards)
    }
}

/// Q claims the epoch, P tells it what it knows, and may restart.
fn restart_spec(guards: Guards) -> Spec {
    Spec {
        claims: [false, false, true],
        restarts: [false, true, false],
        heartbeats_from: 2,
        ..promise_spec(guards)
    }
}

/// P and Q claim epochs up to 3, and tell each other what they know.
fn succession_spec(guards: Guards) -> Spec {
    Spec {
        claims: [false, true, true],
        heartbeats_from: 2,
        epoch_max: 3,
        ..promise_spec(guards)
    }
}

/// How many states a search visits at most.
const STATES_MAX: u64 = 1_000_000;
/// How many states the search of successions visits, which does not end within the time of CI.
const SUCCESSION_STATES: u64 = 100_000;

/// Returns how many steps lead to the violation, if there is one, from a search to exhaustion.
fn explore(name: &str, spec: &Spec) -> Option<usize> {
    let (explored, steps) = explore_up_to(STATES_MAX, name, spec);
    assert!(explored < STATES_MAX, "{name}: not exhausted");
    steps
}

/// Returns how many states were visited, and how many steps lead to the violation, if there is one.
fn explore_up_to(states_max: u64, name: &str, spec: &Spec) -> (u64, Option<usize>) {
    let found = search(
        states_max,
        name,
        &spec.initial(),
        |world| spec.next(world),
        |world| spec.is_violated(world),
    );
    (found.explored, found.steps())
}

#[test]
fn no_leader_acts_longer_than_a_member_allows_for() {
    let spec = promise_spec(Guards::ALL);

    let steps = explore("no leader acts longer than a member allows for", &spec);

    assert_eq!(steps, None);
}

#[test]
fn a_task_runs_in_one_place_across_the_claim_of_a_member() {
    let spec = task_spec(Guards::ALL);

    let steps = explore(
        "a task runs in one place across the claim of a member",
        &spec,
    );

    assert_eq!(steps, None);
}

#[test]
fn a_task_runs_in_one_place_across_the_claim_of_a_newcomer() {
    let spec = newcomer_spec(Guards::ALL);

    let steps = explore(
        "a task runs in one place across the claim of a newcomer",
        &spec,
    );

    assert_eq!(steps, None);
}

#[test]
fn no_leader_acts_longer_than_allowed_for_across_the_restart_of_a_member() {
    let spec = restart_spec(Guards::ALL);

    let steps = explore(
        "no leader acts longer than allowed for across the restart of a member",
        &spec,
    );

    assert_eq!(steps, None);
}

#[test]
fn no_leader_acts_longer_than_allowed_for_across_two_claims() {
    let spec = succession_spec(Guards::ALL);

    let (_, steps) = explore_up_to(SUCCESSION_STATES, "two claims", &spec);

    assert_eq!(steps, None);
}

#[test]
fn the_former_rules_run_a_task_twice() {
    let spec = task_spec(Guards::FORMER);

    let steps = explore("the former rules run a task twice", &spec);

    assert!(steps.is_some());
}

#[test]
fn orders_sent_without_authority_run_a_task_twice() {
    let spec = short_task_spec(Guards {
        checks_authority: false,
        ..Guards::ALL
    });

    let steps = explore("orders sent without authority run a task twice", &spec);

    assert!(steps.is_some());
}

#[test]
fn a_confirmation_counted_from_its_answer_runs_a_task_twice() {
    let spec = task_spec(Guards {
        counts_from_send: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a confirmation counted from its answer runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_conclusion_as_of_now_runs_a_task_twice() {
    let spec = task_spec(Guards {
        concludes_as_of_confirmation: false,
        ..Guards::ALL
    });

    let steps = explore("a conclusion as of now runs a task twice", &spec);

    assert!(steps.is_some());
}

#[test]
fn a_successor_that_does_not_wait_runs_a_task_twice() {
    let spec = task_spec(Guards {
        waits_for_earlier: false,
        ..Guards::ALL
    });

    let steps = explore("a successor that does not wait runs a task twice", &spec);

    assert!(steps.is_some());
}

#[test]
fn a_lease_from_a_late_clock_reading_runs_a_task_twice() {
    let spec = task_spec(Guards {
        earliest_clock: false,
        ..Guards::ALL
    });

    let steps = explore("a lease from a late clock reading runs a task twice", &spec);

    assert!(steps.is_some());
}

#[test]
fn a_newcomer_that_does_not_wait_for_the_maximum_runs_a_task_twice() {
    let spec = newcomer_spec(Guards {
        newcomer_allows_for_maximum: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a newcomer that does not wait for the maximum runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_leader_without_the_promises_of_all_members_acts_too_long() {
    let spec = promise_spec(Guards {
        needs_promises: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a leader without the promises of all members acts too long",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_promise_counted_from_its_answer_lets_a_leader_act_too_long() {
    let spec = promise_spec(Guards {
        promise_counts_from_request: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a promise counted from its answer lets a leader act too long",
        &spec,
    );

    assert!(steps.is_some());
}

/// A member tells the successor that it promises nothing, restarts, and promises again.
#[test]
fn a_promise_of_an_incarnation_that_has_not_read_the_epoch_lets_a_leader_act_too_long() {
    let spec = restart_spec(Guards {
        promises_what_it_read: false,
        ..Guards::ALL
    });

    let steps = explore("a promise without a read lets a leader act too long", &spec);

    assert!(steps.is_some());
}

#[test]
fn a_permission_that_stands_still_in_suspension_lasts_too_long() {
    let spec = promise_spec(Guards {
        boot_clock: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a permission that stands still in suspension lasts too long",
        &spec,
    );

    assert!(steps.is_some());
}

// The next two guards are not needed for the invariant, as a successor allows for `CONFIRMED_FOR` from
// its claim's answer, which is longer than a promise that it has made before.

#[test]
fn a_broken_promise_ends_before_the_successor_acts() {
    let spec = promise_spec(Guards {
        keeps_promise: false,
        ..Guards::ALL
    });

    let steps = explore("a broken promise ends before the successor acts", &spec);

    assert_eq!(steps, None);
}

#[test]
fn a_promise_during_a_claim_ends_before_the_successor_acts() {
    let spec = promise_spec(Guards {
        no_promise_while_claiming: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a promise during a claim ends before the successor acts",
        &spec,
    );

    assert_eq!(steps, None);
}
