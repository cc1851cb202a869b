//! Shares of a full cell, and floods of some tenants.

use jackdawchute_scheduler::Submission;

use super::*;

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
