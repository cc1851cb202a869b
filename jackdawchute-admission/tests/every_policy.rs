//! What holds for each policy in random runs.

mod fixtures;

use fixtures::*;

fn holds(steps: Vec<Step>) -> bool {
    let mut limits = limits([40, 30, 10]);
    limits.quotas.insert("a".into(), 3);
    every_policy(&limits).into_iter().all(|(name, policy)| {
        let mut driver = Driver::new(policy, &limits);
        driver.has_quotas = name == "fair-share";
        steps.iter().all(|step| driver.step(*step)) && driver.drain()
    })
}

/// Never over capacity or a quota, equal requests in order, each ticket out exactly once.
#[test]
fn random_runs_keep_capacity_quotas_and_order_and_lose_no_ticket() {
    check().quickcheck(holds as fn(Vec<Step>) -> bool);
}
