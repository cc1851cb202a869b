//! The faults that the plans of the soak of `cell` draw.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawchute_standins::{
    cell::OrderKind,
    cell_soak::{CellFault, CellSoakPlan, Isolation, LeaderFault},
    soak::Disturbance,
};

const FAULT_PERIOD: Duration = Duration::from_secs(12);

fn is_cut(fault: &CellFault) -> bool {
    matches!(
        fault,
        CellFault::Partition { .. } | CellFault::Isolate(_, _)
    )
}

fn is_restart(fault: &CellFault) -> bool {
    matches!(
        fault,
        CellFault::LateOrders { .. } | CellFault::RestartCutOff(_) | CellFault::WorkerRestart(_)
    )
}

/// Returns whether two partitions of the plan overlap and end at different times.
fn heals_in_part(disturbances: &[Disturbance<CellFault>]) -> bool {
    let mut partitions = Vec::new();
    for it in disturbances {
        if matches!(it.fault, CellFault::Partition { .. }) {
            partitions.push((it.at, it.at + it.duration));
        }
    }
    partitions
        .windows(2)
        .any(|pair| pair[1].0 < pair[0].1 && pair[1].1 != pair[0].1)
}

#[test]
fn plans_without_partitions_cut_no_parts_off() {
    for seed in 1..=20 {
        let disturbances = CellSoakPlan::new(seed, FAULT_PERIOD).disturbances();

        assert!(!disturbances.iter().any(|it| is_cut(&it.fault)));
    }
}

#[test]
fn plans_with_partitions_have_every_kind_of_cut() {
    let plans = (1..=50).map(|seed| CellSoakPlan::partitions(seed, FAULT_PERIOD));

    let faults: Vec<CellFault> = plans
        .flat_map(|plan| plan.disturbances())
        .map(|it| it.fault)
        .collect();

    let has = |fault: &CellFault| faults.contains(fault);
    for domain in 0..3 {
        for store in [false, true] {
            assert!(has(&CellFault::Partition { domain, store }));
        }
    }
    for instance in 0..4 {
        for isolation in [Isolation::Both, Isolation::ToPeers, Isolation::FromPeers] {
            assert!(has(&CellFault::Isolate(instance, isolation)));
        }
    }
}

#[test]
fn partitions_overlap_and_heal_one_after_the_other() {
    let plans = (1..=10).map(|seed| CellSoakPlan::partitions(seed, FAULT_PERIOD));

    let seeds: BTreeSet<u64> = plans
        .filter(|plan| heals_in_part(&plan.disturbances()))
        .map(|plan| plan.seed)
        .collect();

    assert!(seeds.len() >= 5, "{seeds:?}");
}

#[test]
fn restarts_come_beside_partitions_of_the_same_seed() {
    let mut cuts = 0;
    for seed in 1..=20 {
        let partitions = CellSoakPlan::partitions(seed, FAULT_PERIOD);
        let mut beside = CellSoakPlan::restarts(seed, FAULT_PERIOD).disturbances();

        beside.retain(|it| !is_restart(&it.fault));

        let drawn = partitions.disturbances();
        assert!(beside.iter().all(|it| drawn.contains(it)));
        cuts += usize::from(beside.iter().any(|it| is_cut(&it.fault)));
    }
    assert!(cuts >= 15, "{cuts}");
}

#[test]
fn workers_restart_cut_off_after_late_orders_and_at_most_once_in_20_s() {
    let mut restarted = BTreeSet::new();
    for seed in 1..=20 {
        let plan = CellSoakPlan::restarts(seed, Duration::from_secs(90));

        let mut late_until = BTreeMap::new();
        let mut restarted_at = BTreeMap::new();
        for it in plan.disturbances() {
            match it.fault {
                CellFault::LateOrders { worker, delay, .. } => {
                    assert!((2.0..=12.0).contains(&delay.as_secs_f64()), "{it}");
                    late_until.insert(worker, it.at + it.duration);
                }
                CellFault::RestartCutOff(worker) => {
                    let until = late_until.remove(&worker).expect("late orders come first");
                    assert!(until <= it.at, "{it}");
                    let earlier = restarted_at.insert(worker, it.at);
                    let distance = earlier.map(|earlier| it.at - earlier);
                    assert!(distance.is_none_or(|it| it >= Duration::from_secs(20)));
                }
                _ => assert!(!is_restart(&it.fault), "{it}"),
            }
        }
        restarted.extend(restarted_at.into_keys());
    }
    assert_eq!(restarted, (0..9).collect());
}

#[test]
fn no_other_fault_begins_between_late_orders_and_a_restart() {
    for seed in 1..=20 {
        let disturbances = CellSoakPlan::restarts(seed, FAULT_PERIOD).disturbances();
        let begins_at = |restarts: bool| {
            let of_kind = disturbances
                .iter()
                .filter(move |it| is_restart(&it.fault) == restarts);
            of_kind.map(|it| it.at)
        };

        let last_restart_at = begins_at(true).max();
        assert!(begins_at(false).all(|at| Some(at) > last_restart_at));
    }
}

#[test]
fn every_seed_restarts_workers_in_a_short_soak() {
    for seed in 1..=20 {
        let plan = CellSoakPlan::restarts(seed, FAULT_PERIOD);

        let disturbances = plan.disturbances();

        assert!(disturbances.iter().any(|it| is_restart(&it.fault)));
    }
}

#[test]
fn workers_are_cut_off_after_late_extensions_beside_faults_of_processes() {
    let (mut cut_off, mut of_processes) = (BTreeSet::new(), 0);
    for seed in 1..=20 {
        let plan = CellSoakPlan::late_extensions(seed, FAULT_PERIOD);

        let mut late_until = BTreeMap::new();
        for it in plan.disturbances() {
            match it.fault {
                CellFault::LateExtensions { worker, delay } => {
                    assert!((2.0..=12.0).contains(&delay.as_secs_f64()), "{it}");
                    late_until.insert(worker, it.at + it.duration);
                }
                CellFault::CutOff(worker) => {
                    let until = late_until.remove(&worker);
                    assert!(until.is_some_and(|until| until <= it.at), "{it}");
                    cut_off.insert(worker);
                }
                CellFault::Kill(_) | CellFault::Terminate(_) | CellFault::Pause(_) => {
                    of_processes += 1;
                }
                fault => panic!("{fault:?}"),
            }
        }
    }
    assert_eq!(cut_off, (0..6).collect());
    assert!(of_processes >= 20, "{of_processes}");
}

/// Returns the time between the ends of the crashes of a plan and the leader's fault that follows.
fn leader_faults_after_crashes(disturbances: &[Disturbance<CellFault>]) -> Vec<Duration> {
    let is_crash = |fault| matches!(fault, CellFault::WorkerCrash(_));
    let crashes = disturbances.iter().filter(|it| is_crash(it.fault));
    let back_at = crashes.map(|it| it.at + it.duration).max();
    let is_of_leader = |fault| matches!(fault, CellFault::Leader(_));
    let mut of_leader = disturbances.iter().filter(|it| is_of_leader(it.fault));
    let first_at = of_leader.next().map(|it| it.at);
    back_at
        .zip(first_at)
        .map(|(back, at)| at - back)
        .into_iter()
        .collect()
}

#[test]
fn workers_are_back_at_once_before_the_leader_ends_and_some_are_cut_off() {
    let (mut crashed, mut kinds) = (BTreeSet::new(), BTreeSet::new());
    let (mut of_leader, mut twice, mut after) = (Vec::new(), 0, Vec::new());
    for seed in 1..=20 {
        let disturbances = CellSoakPlan::restarted_leases(seed, FAULT_PERIOD).disturbances();

        let mut back_at = BTreeMap::new();
        let mut held_until = BTreeMap::new();
        for it in &disturbances {
            let ends_at = it.at + it.duration;
            match it.fault {
                CellFault::HeldOrders(worker, kind) => {
                    kinds.insert(kind);
                    held_until.insert(worker, ends_at);
                }
                CellFault::WorkerCrash(worker) => {
                    assert!((0.2..=0.8).contains(&it.duration.as_secs_f64()), "{it}");
                    let held = held_until.remove(&worker);
                    assert!(held.is_none_or(|until| until == it.at), "{it}");
                    let earlier = back_at.insert(worker, ends_at);
                    assert!(earlier.is_none_or(|earlier| earlier < it.at), "{it}");
                    twice += usize::from(earlier.is_some());
                    crashed.insert(worker);
                }
                CellFault::Leader(fault) => of_leader.push(fault),
                CellFault::CutOff(worker) => {
                    assert!(back_at[&worker] < it.at, "{it}");
                    assert!(it.duration <= Duration::from_secs(12), "{it}");
                }
                fault => panic!("{fault:?}"),
            }
        }
        assert!(held_until.is_empty(), "{held_until:?}");
        after.extend(leader_faults_after_crashes(&disturbances));
    }
    assert_eq!(crashed, (0..12).collect());
    assert!(twice >= 5, "{twice}");
    let held = [OrderKind::Start, OrderKind::Renewal, OrderKind::Extension];
    assert_eq!(kinds, held.into());
    for fault in [
        LeaderFault::Kill,
        LeaderFault::Terminate,
        LeaderFault::Pause,
    ] {
        assert!(of_leader.contains(&fault), "{of_leader:?}");
    }
    assert!(after.iter().all(|it| *it < Duration::from_secs(2)));
}
