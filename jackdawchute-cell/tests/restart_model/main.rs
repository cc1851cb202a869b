//! The specification of restarts of workers behind late orders, searched breadth first.
//!
//! A worker restarts under its id: its clock and its fencing token begin anew and nothing runs.
//! Orders to the former incarnation may reach the new one, which reads the ends of their leases on
//! its own clock and cuts them to the longest hold. A worker has a capacity of one task, and does not
//! refuse what exceeds it. The worlds are kept small in these ways:
//! - Worker 0 restarts once and may leave orders without an answer; the other one answers always. An
//!   order may be lost, answered, or carried out at any time up to its longest delay, so that links
//!   need no state of their own; an answer comes at once.
//! - A second leader claims the epoch once, at any time; the first one may act for a tick after that,
//!   and may stop at any time, as it may take no step. How that end is known, and that leases are
//!   extended by it alone, is the part of `authority_model`.
//! - The constants are few ticks, in the order of the real ones: the lease is shorter than the longest
//!   hold, and that shorter than the longest delay of an order.
//! - At most two orders without an answer are under way. The rules of the scheduler are written down
//!   here: its functions are private.
//!
//! Left out are clock rates, the time that a stop takes, stops without an answer, gangs, tickets, and
//! ends of runs other than by a stop, a lease or a restart. Excluded, as the rules do not prevent it,
//! is a start that is carried out by an incarnation that began unseen after a leader had concluded
//! from the answer of an earlier one that the run is not there: copies of a start that was stopped are
//! dropped, and a worker that has reported its runs to the successor does not restart while orders of
//! the earlier leader may reach it. [`Guards::LONGER_WAITS`] needs neither.

mod leader;
#[path = "../search/mod.rs"]
mod search;
mod spec;
mod world;

use crate::{
    search::search,
    spec::{Guards, Spec},
};

/// One task, two workers and two leaders; the longest hold outlasts the authority and a lease.
fn task_spec(guards: Guards) -> Spec {
    let (late_order_max, hold_max) = (4, 3);
    Spec {
        guards,
        workers: 2,
        tasks: 1,
        has_successor: true,
        first_clock: late_order_max + hold_max,
        is_cut_off: false,
        late_order_max,
        hold_max,
        orders_max: 2,
        begins_after_stop: false,
        restarts_after_report: false,
    }
}

/// The same with the new incarnation of worker 0 cut off.
fn cut_off_spec(guards: Guards) -> Spec {
    Spec {
        is_cut_off: true,
        ..task_spec(guards)
    }
}

/// One task, two workers and one leader.
fn leader_spec(guards: Guards) -> Spec {
    Spec {
        has_successor: false,
        ..task_spec(guards)
    }
}

/// Two tasks, one worker and one leader.
fn capacity_spec(guards: Guards) -> Spec {
    Spec {
        workers: 1,
        tasks: 2,
        ..leader_spec(guards)
    }
}

/// The scenario with the two sequences that are excluded elsewhere.
fn nothing_excluded(spec: Spec) -> Spec {
    Spec {
        begins_after_stop: true,
        restarts_after_report: true,
        ..spec
    }
}

/// How many states a search visits at most.
const STATES_MAX: u64 = 1_000_000;
/// How many states the search with longer waits and two leaders visits, which takes longer than the
/// time of CI.
const LONGER_WAITS_STATES: u64 = 100_000;

/// Returns how many steps lead to a violation, if there is one, from a search to exhaustion.
fn explore(name: &str, spec: &Spec) -> Option<usize> {
    let (explored, steps) = explore_up_to(STATES_MAX, name, spec);
    assert!(explored < STATES_MAX, "{name}: not exhausted");
    steps
}

/// Returns how many states were visited, and how many steps lead to a violation, if there is one.
fn explore_up_to(states_max: u64, name: &str, spec: &Spec) -> (u64, Option<usize>) {
    let found = search(
        states_max,
        name,
        &spec.initial(),
        |world| {
            spec.next(world)
                .into_iter()
                .map(|(_, later)| later)
                .collect()
        },
        |world| spec.runs_twice(world) || spec.exceeds_capacity(world),
    );
    for worlds in found.path.iter().flat_map(|path| path.windows(2)) {
        let steps = spec.next(&worlds[0]);
        let taken = steps.iter().find(|(_, later)| *later == worlds[1]);
        println!("  {:?}", taken.map(|(step, _)| step));
    }
    (found.explored, found.steps())
}

#[test]
fn a_task_runs_in_one_place_across_a_restart_and_a_claim() {
    let spec = task_spec(Guards::ALL);

    let steps = explore(
        "a task runs in one place across a restart and a claim",
        &spec,
    );

    assert_eq!(steps, None);
}

#[test]
fn a_worker_gets_no_more_than_its_capacity_across_a_restart_and_a_claim() {
    let spec = Spec {
        has_successor: true,
        ..capacity_spec(Guards::ALL)
    };

    let steps = explore(
        "a worker gets no more than its capacity across a restart and a claim",
        &spec,
    );

    assert_eq!(steps, None);
}

#[test]
fn a_task_runs_in_one_place_whatever_the_clock_of_the_former_incarnation() {
    let oldest = leader_spec(Guards::ALL).clock_max();
    let clocks = (0..oldest).step_by(2).chain([oldest]);
    let specs = clocks.map(|first_clock| Spec {
        first_clock,
        ..leader_spec(Guards::ALL)
    });

    let steps = specs.map(|spec| explore("former incarnation of some age", &spec));

    assert!(steps.into_iter().all(|steps| steps.is_none()));
}

#[test]
fn the_former_rules_run_a_task_twice() {
    let spec = leader_spec(Guards::FORMER);

    let steps = explore("the former rules run a task twice", &spec);

    assert!(steps.is_some());
}

#[test]
fn the_former_rules_run_a_task_twice_by_a_late_order_behind_a_cut() {
    let spec = Spec {
        is_cut_off: true,
        ..leader_spec(Guards::FORMER)
    };

    let steps = explore(
        "the former rules run a task twice by a late order behind a cut",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_leader_that_does_not_wait_for_the_delay_of_an_order_runs_a_task_twice() {
    let spec = cut_off_spec(Guards {
        waits_for_delay: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a leader that does not wait for the delay of an order runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_leader_that_does_not_wait_for_the_longest_hold_runs_a_task_twice() {
    let spec = cut_off_spec(Guards {
        waits_for_hold: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a leader that does not wait for the longest hold runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_start_that_is_repeated_at_a_silent_worker_runs_a_task_twice() {
    let spec = leader_spec(Guards {
        repeats_while_answered: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a start that is repeated at a silent worker runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_token_that_a_new_incarnation_does_not_raise_runs_a_task_twice() {
    let spec = leader_spec(Guards {
        raises_token: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a token that a new incarnation does not raise runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_token_that_a_new_incarnation_does_not_raise_exceeds_a_capacity() {
    let spec = capacity_spec(Guards {
        raises_token: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a token that a new incarnation does not raise exceeds a capacity",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_placement_before_the_list_of_a_new_incarnation_runs_a_task_twice() {
    let spec = leader_spec(Guards {
        lists_before_placement: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a placement before the list of a new incarnation runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_placement_before_the_list_of_a_new_incarnation_exceeds_a_capacity() {
    let spec = capacity_spec(Guards {
        lists_before_placement: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a placement before the list of a new incarnation exceeds a capacity",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn the_lease_of_a_new_incarnation_counted_from_its_renewals_runs_a_task_twice() {
    let spec = leader_spec(Guards {
        holds_from_list: false,
        ..Guards::ALL
    });

    let steps = explore(
        "the lease of a new incarnation counted from its renewals runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_successor_that_counts_leases_from_its_renewals_runs_a_task_twice() {
    let spec = task_spec(Guards {
        successor_holds_from_list: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a successor that counts leases from its renewals runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_start_answered_by_an_incarnation_not_heard_before_runs_a_task_twice() {
    let spec = leader_spec(Guards {
        counts_start_as_unanswered: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a start answered by an incarnation not heard before runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_name_that_is_saved_after_the_start_is_sent_runs_a_task_twice() {
    let spec = cut_off_spec(Guards {
        names_before_start: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a name that is saved after the start is sent runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_name_that_is_not_kept_for_the_longest_hold_runs_a_task_twice() {
    let spec = task_spec(Guards {
        keeps_names_for_hold: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a name that is not kept for the longest hold runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_successor_that_ignores_the_saved_names_runs_a_task_twice() {
    let spec = cut_off_spec(Guards {
        waits_for_named: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a successor that ignores the saved names runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_successor_that_waits_from_its_claim_runs_a_task_twice() {
    let spec = cut_off_spec(Guards {
        waits_from_end_of_authority: false,
        ..Guards::ALL
    });

    let steps = explore(
        "a successor that waits from its claim runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

// Without the longer waits, two sequences have to be excluded.

#[test]
fn a_start_that_a_later_incarnation_begins_after_its_stop_runs_a_task_twice() {
    let spec = Spec {
        begins_after_stop: true,
        ..leader_spec(Guards::ALL)
    };

    let steps = explore(
        "a start that a later incarnation begins after its stop runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn a_worker_that_restarts_after_its_report_runs_a_task_twice() {
    let spec = Spec {
        restarts_after_report: true,
        ..task_spec(Guards::ALL)
    };

    let steps = explore(
        "a worker that restarts after its report runs a task twice",
        &spec,
    );

    assert!(steps.is_some());
}

#[test]
fn with_longer_waits_a_task_runs_in_one_place_whatever_the_worker_answered() {
    let spec = nothing_excluded(leader_spec(Guards::LONGER_WAITS));

    let steps = explore("longer waits, one leader", &spec);

    assert_eq!(steps, None);
}

#[test]
fn with_longer_waits_a_worker_gets_no_more_than_its_capacity_whatever_it_answered() {
    let spec = nothing_excluded(capacity_spec(Guards::LONGER_WAITS));

    let steps = explore("longer waits, two tasks on one worker", &spec);

    assert_eq!(steps, None);
}

#[test]
fn with_longer_waits_a_task_runs_in_one_place_across_a_claim_whatever_the_worker_answered() {
    let spec = nothing_excluded(task_spec(Guards::LONGER_WAITS));

    let (_, steps) = explore_up_to(LONGER_WAITS_STATES, "longer waits, two leaders", &spec);

    assert_eq!(steps, None);
}
