//! Invariants of every policy, checked in random runs.

mod fixtures;

use fixtures::*;

fn holds(steps: Vec<Step>) -> bool {
    let mut limits = limits([40, 30, 10]);
    limits.quotas.insert("a".into(), 3);
    every_policy(&limits).into_iter().all(|(name, policy)| {
        let mut driver = Driver::new(policy, &limits);
        driver.enforces_quotas = name == "fair-share";
        steps.iter().all(|step| driver.step(*step)) && driver.drain()
    })
}

/// The used units stay within capacity and quotas, items of one class and team start in order, and
/// each item leaves the queue exactly once.
#[test]
fn random_runs_stay_within_capacity_and_quotas_and_lose_no_item() {
    check().quickcheck(holds as fn(Vec<Step>) -> bool);
}
