//! The faults that the plans of the soak of `cell` draw.

use std::{collections::BTreeSet, time::Duration};

use jackdawchute_standins::{
    cell_soak::{CellFault, CellSoakPlan, Isolation},
    soak::Disturbance,
};

const FAULT_PERIOD: Duration = Duration::from_secs(12);

fn is_cut(fault: &CellFault) -> bool {
    matches!(
        fault,
        CellFault::Partition { .. } | CellFault::Isolate(_, _)
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
