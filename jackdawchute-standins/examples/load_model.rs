//! Simulates the loads of the users' cells on the real scheduler and prints the results.
//!
//! Run with `cargo run --release -p jackdawchute-standins --example load_model [SEEDS] [PLAN]`,
//! where PLAN is `today`, `grown`, `repair-desk` or `thousand`; without PLAN, all of them. `short`
//! in place of SEEDS simulates 5 s of `grown`.

use jackdawchute_standins::load_model::{run, ModelPlan};

fn main() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|it| it == "short") {
        let plan = ModelPlan {
            duration: std::time::Duration::from_secs(5),
            ..ModelPlan::grown(1)
        };
        println!("{}", run(&plan));
        return;
    }
    let seeds = arguments.first().and_then(|text| text.parse().ok());
    let wanted = arguments.get(1).map(String::as_str);
    for seed in 1..=seeds.unwrap_or(2) {
        let plans = [
            ("today", ModelPlan::today(seed)),
            ("grown", ModelPlan::grown(seed)),
            ("repair-desk", ModelPlan::repair_desk(seed)),
            ("thousand", ModelPlan::grown(seed).scaled(1_000.0 / 350.0)),
        ];
        for (name, plan) in plans {
            if wanted.is_some_and(|wanted| wanted != name) {
                continue;
            }
            println!("{name}, seed {seed}: {}", run(&plan));
            let bursts = plan.clone().with_bursts();
            println!("{name} with bursts, seed {seed}: {}", run(&bursts));
            println!(
                "{name} overloaded, seed {seed}: {}",
                run(&plan.overloaded())
            );
        }
    }
}
