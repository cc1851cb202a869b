//! Simulates floods under each admission policy in virtual time and measures the time per decision.
//!
//! `cargo run --release -p jackdawchute-admission --example floods` prints a table and then the
//! same figures as JSON lines. Arrivals are an open loop: a request that waits does not
//! delay other arrivals, and its wait counts from its arrival. `-- --seed N` sets the seed,
//! `-- --extra` adds the variants of the fair policy.

mod cost;
mod report;
mod scenario;
mod simulation;

use std::process::ExitCode;

use scenario::{policies, users, Flood, Scenario, User, MINIONS};

const SEED_DEFAULT: u64 = 20_260_101;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let extra = arguments.iter().any(|argument| argument == "--extra");
    let after_seed = arguments
        .iter()
        .skip_while(|argument| *argument != "--seed")
        .nth(1);
    let seed = after_seed
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(SEED_DEFAULT);
    let mut missed = 0;
    for user in users() {
        for name in policies(extra) {
            missed += measure(&user, name, MINIONS, &Flood::ALL, seed);
            // With half of the minions the normal load alone exceeds the capacity.
            measure(&user, name, MINIONS / 2, &[Flood::LeastUrgent], seed);
        }
    }
    cost::print_all();
    println!("targets missed by fair-share: {missed}");
    ExitCode::SUCCESS
}

/// Runs a policy without and with floods; returns how many targets the fair policy missed.
fn measure(user: &User, policy: &str, minions: u32, floods: &[Flood], seed: u64) -> u32 {
    let scenario = |flood| Scenario::new(user, minions, flood);
    let without = simulation::run(&scenario(Flood::None), policy, seed);
    report::print(&scenario(Flood::None), policy, &without, &without);
    let mut missed = 0;
    for flood in floods {
        let with = simulation::run(&scenario(*flood), policy, seed);
        report::print(&scenario(*flood), policy, &with, &without);
        missed += report::print_targets(&scenario(*flood), policy, &with, &without);
    }
    missed
}
