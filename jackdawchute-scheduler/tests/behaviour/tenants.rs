//! Caps and shares of tenants: floods, lowered caps, gangs and takeovers.

use std::collections::BTreeMap;

use jackdawchute_scheduler::{
    EndReason, QueuePolicy, RowChange, StartAnswer, StartOrder, StepName, StepSpec, Submission,
    WorkerEntry,
};
use jackdawchute_tenants::TenantPolicy;
use jackdawchute_types::{JobId, Resources};

use crate::fixtures::*;

fn policy(tenant: &str, weight: f64, cap_cores: u64) -> TenantPolicy {
    TenantPolicy {
        tenant: tenant.into(),
        weight,
        cap: Resources::new(cap_cores * 1_000, 0, 0),
    }
}

/// Workers of four cores each.
fn workers(count: usize) -> Vec<WorkerEntry> {
    (0..count)
        .map(|number| entry(&format!("w{number:02}"), 4))
        .collect()
}

/// A cell of workers of four cores each, with these tenants.
fn cell_of(workers_count: usize, tenants: Vec<TenantPolicy>) -> Cell {
    let mut cell = ready_cell(1, &workers(workers_count));
    cell.scheduler.use_tenants(Some(tenants));
    cell
}

fn submit_for(
    cell: &mut Cell,
    tenant: &str,
    job: &str,
    steps: Vec<StepSpec>,
    queue: QueuePolicy,
) -> Submission {
    let id: JobId = job.into();
    let tenant = Some(tenant.into());
    cell.scheduler
        .submit_for(tenant, &id, graph(steps), queue, cell.now)
}

/// Submits a job of a tenant that is accepted.
fn accept_for(cell: &mut Cell, tenant: &str, job: &str, steps: Vec<StepSpec>) {
    let submission = submit_for(cell, tenant, job, steps, patient_queue(1));
    assert_eq!(submission, Submission::Pending, "{job}");
}

/// A queue whose jobs may wait for minutes.
fn patient_queue(priority: u32) -> QueuePolicy {
    QueuePolicy {
        target: ms(600_000),
        ..queue(priority)
    }
}

/// Commits and runs a scheduling round.
fn commit_and_run(cell: &mut Cell) {
    cell.commit();
    cell.run_round();
}

/// The number of starts by the first letters of their jobs, up to a dash.
fn starts_by_tenant(starts: &[StartOrder]) -> BTreeMap<String, usize> {
    let mut by_tenant = BTreeMap::new();
    for start in starts {
        let job = start.task.step.job.as_str();
        let tenant = job.split('-').next().unwrap_or_default();
        *by_tenant.entry(tenant.to_owned()).or_default() += 1;
    }
    by_tenant
}

/// Confirms the starts, ends all runs and answers the renewals of their workers.
fn end_runs(cell: &mut Cell, starts: &[StartOrder]) {
    cell.tick(2_000);
    let mut by_worker: BTreeMap<_, Vec<&StartOrder>> = BTreeMap::new();
    for start in starts {
        cell.confirm_start(start);
        by_worker.entry(&start.worker).or_default().push(start);
    }
    for (worker, starts) in by_worker {
        let renewal = cell.latest_renewal_of(worker);
        // Later calls report ends with higher numbers.
        let first_number = (cell.now - cell.began_at).as_millis() as u64;
        let ends = (first_number..).zip(starts);
        let ends = ends.map(|(number, start)| ended(number, start, EndReason::Succeeded));
        cell.answer_renewal(&renewal, Vec::new(), ends.collect());
    }
}

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

/// Accepts a backlog of jobs of one task of a core each.
fn accept_backlog(cell: &mut Cell, tenant: &str, jobs: usize) {
    for number in 0..jobs {
        accept_for(
            cell,
            tenant,
            &format!("{tenant}-{number:03}"),
            vec![step(1, 1)],
        );
    }
}

#[test]
fn a_flood_of_one_tenant_leaves_the_others_their_shares() {
    let mut cell = cell_of(5, vec![policy("a", 1.0, 0), policy("b", 1.0, 0)]);
    accept_backlog(&mut cell, "a", 200);
    accept_backlog(&mut cell, "b", 8);

    commit_and_run(&mut cell);

    let starts = starts_by_tenant(&cell.take_starts());
    assert_eq!(starts["b"], 8);
    assert_eq!(starts["a"], 12, "what others leave goes to the flood");
}

#[test]
fn floods_of_three_tenants_divide_what_the_others_leave_by_weight() {
    let tenants = vec![
        policy("a", 1.0, 0),
        policy("b", 2.0, 0),
        policy("c", 3.0, 0),
        policy("d", 4.0, 0),
    ];
    let mut cell = cell_of(10, tenants);
    for flood in ["a", "b", "c"] {
        accept_backlog(&mut cell, flood, 100);
    }
    accept_backlog(&mut cell, "d", 4);

    let mut starts = Vec::new();
    for _ in 0..8 {
        commit_and_run(&mut cell);
        let started = cell.take_starts();
        started.iter().for_each(|start| cell.confirm_start(start));
        starts.extend(started);
    }

    let by_tenant = starts_by_tenant(&starts);
    assert_eq!(starts.len(), 40);
    assert_eq!(by_tenant["d"], 4);
    assert!((5..=8).contains(&by_tenant["a"]), "{by_tenant:?}");
    assert!((10..=14).contains(&by_tenant["b"]), "{by_tenant:?}");
    assert!((15..=20).contains(&by_tenant["c"]), "{by_tenant:?}");
}

#[test]
fn on_a_full_cell_none_of_twenty_tenants_of_skewed_weight_starves() {
    let names: Vec<String> = (0..20).map(|number| format!("t{number:02}")).collect();
    let weight = |number: usize| 20.0 / (number as f64 + 1.0).powf(1.2);
    let tenants = names.iter().enumerate();
    let tenants = tenants.map(|(number, name)| policy(name, weight(number), 0));
    let mut cell = cell_of(15, tenants.collect());
    for name in &names {
        accept_backlog(&mut cell, name, 60);
    }

    let mut starts = Vec::new();
    for _ in 0..10 {
        commit_and_run(&mut cell);
        let started = cell.take_starts();
        started.iter().for_each(|start| cell.confirm_start(start));
        starts.extend(started);
    }

    let by_tenant = starts_by_tenant(&starts);
    assert_eq!(by_tenant.len(), 20, "{by_tenant:?}");
    assert!(by_tenant["t00"] > by_tenant["t01"], "{by_tenant:?}");
    assert!(by_tenant["t01"] > by_tenant["t10"], "{by_tenant:?}");
}

#[test]
fn an_unused_share_goes_to_others_and_comes_back_as_runs_end() {
    let mut cell = cell_of(2, vec![policy("a", 1.0, 0), policy("b", 1.0, 0)]);
    accept_backlog(&mut cell, "a", 40);
    commit_and_run(&mut cell);
    let alone = cell.take_starts();
    accept_backlog(&mut cell, "b", 40);
    cell.commit();

    end_runs(&mut cell, &alone);
    cell.run_round();

    let after = starts_by_tenant(&cell.take_starts());
    assert_eq!(alone.len(), 8);
    assert!(after["b"] >= 3, "{after:?}");
}

#[test]
fn a_flood_is_refused_from_its_own_backlog_and_others_are_accepted() {
    let mut cell = cell_of(5, vec![policy("a", 1.0, 0), policy("b", 1.0, 0)]);
    let flood = |cell: &mut Cell, number: usize| {
        let job = format!("a-{number}");
        submit_for(cell, "a", &job, vec![step(4, 1)], queue(1))
    };

    let flooded: Vec<Submission> = (0..60).map(|number| flood(&mut cell, number)).collect();
    let of_other = submit_for(&mut cell, "b", "b-1", vec![step(4, 1)], queue(1));
    commit_and_run(&mut cell);

    let refused = |submission: &&Submission| matches!(submission, Submission::Refused { .. });
    assert_eq!(flooded[0], Submission::Pending);
    assert!(flooded.iter().filter(refused).count() > 10);
    assert_eq!(of_other, Submission::Pending);
    let starts = cell.take_starts();
    assert!(starts.iter().any(|start| start.task.step.job == "b-1"));
}

#[test]
fn the_loads_of_many_tenants_are_summed_beyond_those_named() {
    let tenants = ["a", "b", "c"].map(|tenant| policy(tenant, 1.0, 4));
    let mut cell = cell_of(4, tenants.to_vec());
    for (tenant, tasks) in [("a", 3), ("b", 2), ("c", 1)] {
        accept_for(
            &mut cell,
            tenant,
            &format!("{tenant}-1"),
            vec![step(tasks, 1)],
        );
    }
    commit_and_run(&mut cell);

    let loads = cell.scheduler.tenant_loads(1);

    let running = |index: usize| loads[index].running.processor_millicores;
    assert_eq!(loads.len(), 2);
    assert_eq!((loads[0].tenant.as_str(), running(0)), ("a", 3_000));
    assert_eq!((loads[1].tenant.as_str(), running(1)), ("others", 3_000));
}
