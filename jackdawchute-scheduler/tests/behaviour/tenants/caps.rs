//! What tenants may have running: lowered caps, gangs and takeovers.

use std::collections::BTreeMap;

use jackdawchute_scheduler::{
    EndReason, QueuePolicy, RowChange, StartAnswer, StartOrder, StepName, Submission,
};

use super::*;

#[test]
fn tasks_start_up_to_the_cap_and_go_on_when_others_end() {
    let mut cell = cell_of(4, vec![policy("a", 1.0, 6)]);
    accept_for(&mut cell, "a", "a-1", vec![step(10, 2)]);

    commit_and_run(&mut cell);
    let first = cell.take_starts();
    cell.run_round();
    let while_full = cell.take_starts();
    end_runs(&mut cell, &first);
    cell.run_round();
    let after_ends = cell.take_starts();

    assert_eq!(first.len(), 3);
    assert!(while_full.is_empty());
    assert_eq!(after_ends.len(), 3);
}

#[test]
fn a_cap_lowered_below_what_runs_stops_nothing_and_lets_nothing_start() {
    let mut cell = cell_of(4, vec![policy("a", 1.0, 8)]);
    accept_for(&mut cell, "a", "a-1", vec![step(12, 1)]);
    commit_and_run(&mut cell);
    let first = cell.take_starts();

    cell.scheduler.use_tenants(Some(vec![policy("a", 1.0, 4)]));
    cell.run_round();
    let lowered = cell.take_starts();
    let renewed = first.iter().take(5).cloned().collect::<Vec<_>>();
    end_runs(&mut cell, &renewed);
    cell.run_round();
    let after_ends = cell.take_starts();

    assert_eq!(first.len(), 8);
    assert!(lowered.is_empty());
    assert!(cell.take_stops().is_empty());
    assert_eq!(after_ends.len(), 1);
}

#[test]
fn a_start_without_an_answer_counts_against_the_cap() {
    let mut cell = cell_of(4, vec![policy("a", 1.0, 4)]);
    accept_for(&mut cell, "a", "a-1", vec![step(2, 4)]);
    commit_and_run(&mut cell);
    let first = cell.take_starts();

    cell.answer_start(&first[0], StartAnswer::Unknown);
    cell.tick(50);

    let other = cell.take_starts();
    assert_eq!(first.len(), 1);
    assert!(other.iter().all(|start| start.task == first[0].task));
}

#[test]
fn the_runs_of_a_cancelled_job_count_until_their_ends_are_listed() {
    let mut cell = cell_of(4, vec![policy("a", 1.0, 4)]);
    accept_for(&mut cell, "a", "a-1", vec![step(1, 4)]);
    commit_and_run(&mut cell);
    let first = cell.take_starts();
    cell.confirm_start(&first[0]);
    accept_for(&mut cell, "a", "a-2", vec![step(1, 4)]);

    cell.scheduler.cancel(&"a-1".into());
    commit_and_run(&mut cell);
    let while_stopping = cell.take_starts();
    let renewal = cell.latest_renewal_of(&first[0].worker);
    let end = ended(1, &first[0], EndReason::Stopped);
    cell.answer_renewal(&renewal, Vec::new(), vec![end]);
    commit_and_run(&mut cell);

    assert!(while_stopping.is_empty());
    assert_eq!(cell.take_starts().len(), 1);
}

#[test]
fn a_gang_as_wide_as_half_a_cap_starts_though_small_tasks_of_its_tenant_keep_coming() {
    let mut cell = cell_of(8, vec![policy("a", 1.0, 8)]);
    accept_for(&mut cell, "a", "a-small-0", vec![step(8, 1)]);
    commit_and_run(&mut cell);
    let mut running = cell.take_starts();
    accept_for(&mut cell, "a", "a-gang", vec![gang(4, 1)]);
    cell.tick(2_000);

    let mut gang_starts = 0;
    for number in 1..6 {
        accept_for(
            &mut cell,
            "a",
            &format!("a-small-{number}"),
            vec![step(8, 1)],
        );
        commit_and_run(&mut cell);
        let rest = running.split_off(2);
        let two = std::mem::replace(&mut running, rest);
        end_runs(&mut cell, &two);
        cell.run_round();
        let started = cell.take_starts();
        let of_gang = |start: &&StartOrder| start.task.step.job == "a-gang";
        gang_starts += started.iter().filter(of_gang).count();
        running.extend(started);
    }

    assert_eq!(gang_starts, 4);
}

/// A tenant that used little of its cap had work stand still beside room for as long as its gang
/// waited.
#[test]
fn a_gang_that_waits_keeps_a_cap_of_which_little_is_used_for_seconds_only() {
    let mut cell = cell_of(8, vec![policy("a", 1.0, 8)]);
    accept_for(&mut cell, "a", "a-long", vec![step(3, 1)]);
    commit_and_run(&mut cell);
    let running = cell.take_starts().len();
    let gang_steps = vec![gang(6, 1)];
    submit_for(&mut cell, "a", "a-gang", gang_steps, patient_queue(0));
    accept_for(&mut cell, "a", "a-small", vec![step(2, 1)]);
    cell.commit();

    cell.run_round();
    let at_first = cell.take_starts().len();
    cell.tick(2_100);
    cell.run_round();
    let later = cell.take_starts();

    assert_eq!((running, at_first), (3, 0));
    assert_eq!(later.len(), 2);
    assert!(later.iter().all(|start| start.task.step.job == "a-small"));
}

#[test]
fn a_gang_or_task_larger_than_its_cap_is_refused_at_once() {
    let mut cell = cell_of(8, vec![policy("a", 1.0, 8), policy("b", 1.0, 0)]);

    let gang_too_wide = submit_for(&mut cell, "a", "a-1", vec![gang(3, 3)], queue(1));
    let task_too_large = submit_for(
        &mut cell,
        "a",
        "a-2",
        vec![step(1, 4), gang(9, 1)],
        queue(1),
    );
    let many_tasks = submit_for(&mut cell, "a", "a-3", vec![step(9, 1)], patient_queue(1));
    let without_cap = submit_for(&mut cell, "b", "b-1", vec![gang(3, 3)], queue(1));

    assert!(matches!(gang_too_wide, Submission::Refused { .. }));
    assert!(matches!(task_too_large, Submission::Refused { .. }));
    assert_eq!(many_tasks, Submission::Pending);
    assert_eq!(without_cap, Submission::Pending);
}

#[test]
fn a_gang_that_waits_for_its_cap_holds_no_capacity_of_others() {
    let mut cell = cell_of(1, vec![policy("a", 1.0, 4), policy("b", 1.0, 0)]);
    accept_for(&mut cell, "a", "a-1", vec![step(1, 2)]);
    commit_and_run(&mut cell);
    cell.take_starts();
    accept_for(&mut cell, "a", "a-gang", vec![gang(4, 1)]);
    accept_for(&mut cell, "b", "b-1", vec![step(2, 1)]);

    commit_and_run(&mut cell);

    let starts = starts_by_tenant(&cell.take_starts());
    assert_eq!(starts, BTreeMap::from([("b".to_owned(), 2)]));
}

#[test]
fn no_advice_is_requested_for_what_the_cap_forbids() {
    let mut cell = cell_of(4, vec![policy("a", 1.0, 4)]);
    accept_for(&mut cell, "a", "a-1", vec![step(4, 1)]);
    commit_and_run(&mut cell);
    cell.take_starts();

    let advised = QueuePolicy {
        target: ms(600_000),
        ..advised_queue(1)
    };
    submit_for(&mut cell, "a", "a-2", vec![step(4, 1)], advised);
    commit_and_run(&mut cell);

    assert!(cell.advice.is_empty());
}

#[test]
fn a_step_that_nothing_can_run_keeps_no_advice_from_those_behind_it() {
    let mut cell = cell_of(4, vec![policy("a", 1.0, 8)]);
    let advised = || QueuePolicy {
        target: ms(600_000),
        ..advised_queue(1)
    };
    submit_for(&mut cell, "a", "a-1", vec![step(20, 4)], advised());
    commit_and_run(&mut cell);
    cell.advice.clear();

    submit_for(&mut cell, "a", "a-2", vec![step(1, 1)], advised());
    commit_and_run(&mut cell);

    let of_second = |step: &StepName| step.job == "a-2";
    assert!(cell.advice.iter().any(|request| of_second(&request.step)));
}

#[test]
fn a_tenant_of_hardly_any_weight_is_answered_beside_one_that_uses_the_cell() {
    let mut cell = cell_of(4, vec![policy("a", 1e-300, 0), policy("b", 1e300, 0)]);
    for number in 0..8 {
        accept_for(&mut cell, "b", &format!("b-{number}"), vec![step(4, 1)]);
    }
    commit_and_run(&mut cell);

    let first = submit_for(&mut cell, "a", "a-1", vec![step(1, 1)], patient_queue(1));
    let second = submit_for(&mut cell, "a", "a-2", vec![step(1, 1)], queue(1));

    assert_eq!(first, Submission::Pending);
    assert!(matches!(
        second,
        Submission::Refused { .. } | Submission::Pending
    ));
}

/// Runs a leader with a tenant whose job uses the whole cap; returns the rows and the starts.
fn rows_and_starts_of_predecessor() -> (Vec<RowChange>, Vec<StartOrder>) {
    let mut cell = cell_of(3, vec![policy("a", 1.0, 4)]);
    accept_for(&mut cell, "a", "a-1", vec![step(4, 1)]);
    commit_and_run(&mut cell);
    let starts = cell.take_starts();
    (cell.saved, starts)
}

#[test]
fn a_successor_counts_what_may_run_unlisted_against_the_cap() {
    let (rows, starts) = rows_and_starts_of_predecessor();
    let mut cell = successor(2, &rows, &["w00", "w01", "w02"]);
    cell.scheduler.use_tenants(Some(vec![policy("a", 1.0, 4)]));
    let silent = starts[0].worker.clone();
    for renewal in std::mem::take(&mut cell.renewals) {
        if renewal.worker != silent {
            let on_worker = starts.iter().filter(|start| start.worker == renewal.worker);
            cell.answer_renewal(&renewal, on_worker.map(running).collect(), Vec::new());
        }
    }
    cell.tick(1);
    cell.commit();

    accept_for(&mut cell, "a", "a-new", vec![step(2, 1)]);
    commit_and_run(&mut cell);

    assert_eq!(starts.len(), 4);
    assert!(cell.take_starts().is_empty());
}

/// What the job ran was forgotten with it, while its worker went on.
#[test]
fn a_job_that_is_cancelled_before_its_runs_are_listed_counts_against_the_cap() {
    let (rows, starts) = rows_and_starts_of_predecessor();
    let mut cell = successor(2, &rows, &["w00", "w01", "w02"]);
    cell.scheduler.use_tenants(Some(vec![policy("a", 1.0, 4)]));
    let silent = starts[0].worker.clone();
    for renewal in std::mem::take(&mut cell.renewals) {
        if renewal.worker != silent {
            cell.answer_renewal(&renewal, Vec::new(), Vec::new());
        }
    }
    cell.scheduler.cancel(&"a-1".into());
    cell.tick(1);
    cell.commit();

    accept_for(&mut cell, "a", "a-new", vec![step(2, 1)]);
    commit_and_run(&mut cell);

    assert!(starts.iter().all(|start| start.worker == silent));
    assert!(cell.take_starts().is_empty());
}

/// The predecessor ended before the stops that follow the cancellation were carried out.
#[test]
fn a_job_that_a_predecessor_cancelled_counts_until_all_workers_have_listed_their_runs() {
    let mut cell = cell_of(3, vec![policy("a", 1.0, 4)]);
    accept_for(&mut cell, "a", "a-1", vec![step(4, 1)]);
    commit_and_run(&mut cell);
    let starts = cell.take_starts();
    cell.scheduler.cancel(&"a-1".into());
    cell.commit();
    let mut cell = successor(2, &cell.saved, &["w00", "w01", "w02"]);
    cell.scheduler.use_tenants(Some(vec![policy("a", 1.0, 4)]));
    for renewal in std::mem::take(&mut cell.renewals) {
        if renewal.worker != starts[0].worker {
            cell.answer_renewal(&renewal, Vec::new(), Vec::new());
        }
    }
    cell.tick(1);
    cell.commit();

    accept_for(&mut cell, "a", "a-new", vec![step(2, 1)]);
    commit_and_run(&mut cell);

    assert!(cell.take_starts().is_empty());
}
