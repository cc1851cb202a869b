//! Measures the outcomes and latencies of requests to a whole cell, without and with a flood.
//!
//! `cargo build --release && cargo run --release -p jackdawchute-standins --example cell_floods --
//! target/release/jackdawchute 15` runs three loads of 15 s against three instances and six minions
//! of eight slots: 60 % of the capacity, the same with a flood of ten times the capacity in the
//! least urgent class, and the same with that flood in the most urgent class. It prints a table and
//! JSON lines. The load is open-loop and seeded; latencies count from the intended time.

use std::{path::PathBuf, time::Duration};

use jackdawchute_standins::{
    harness::{Cell, CellOptions, ServicePlan},
    load::{summarize, ClassPlan, Plan, Summary},
};

/// The service time of every request.
const SERVICE_MS: u32 = 200;
/// The requests per second that six minions of eight slots can serve.
const CAPACITY_PER_SECOND: f64 = 6.0 * 8.0 * 1_000.0 / SERVICE_MS as f64;
const SEED: u64 = 20_261_204;
/// The maximum number of requests of each class.
const COUNT_MAX: usize = 100_000;

/// The class that is flooded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flood {
    None,
    LeastUrgent,
    MostUrgent,
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let program = PathBuf::from(
        arguments
            .next()
            .expect("the first argument is the path of the program"),
    );
    let seconds = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(15);
    println!("capacity {CAPACITY_PER_SECOND} requests/s");
    println!(
        "{:<12} {:<9} {:>7} {:>9} {:>8} {:>8} {:>8}  outcomes",
        "flood", "class", "sent", "answered", "p50 ms", "p99 ms", "max ms"
    );
    for flood in [Flood::None, Flood::LeastUrgent, Flood::MostUrgent] {
        measure(program.clone(), flood, Duration::from_secs(seconds)).await;
    }
}

async fn measure(program: PathBuf, flood: Flood, duration: Duration) {
    let mut options = CellOptions::new(program);
    options.entries = 3;
    options.services = vec![ServicePlan {
        service: "repair-desk".into(),
        minions: 6,
        slots: 8,
        connections: 64,
    }];
    options.configuration = with_floors(&options.configuration);
    let cell = Cell::start(options).await.expect("the cell starts");
    let load = cell
        .start_load(&plan(flood, duration))
        .expect("the load starts");
    let finished = load.finish().await;
    for summary in summarize(&finished) {
        print(flood, &summary);
    }
    let discrepancies = cell
        .discrepancies(&finished)
        .await
        .expect("the minions become idle and their tasks run");
    println!(
        "{:<12} discrepancies with the records: {}",
        format!("{flood:?}"),
        discrepancies.len()
    );
    for discrepancy in discrepancies.iter().take(3) {
        println!("  {discrepancy}");
    }
}

/// Raises the floors of both loaded classes above their normal load, 30 % of the capacity each.
fn with_floors(configuration: &str) -> String {
    let mut text = configuration.to_owned();
    for (class, percent) in [
        ("counter", 40),
        ("quote", 40),
        ("evening-forecast", 5),
        ("service", 5),
        ("batch", 5),
    ] {
        let lines = text.lines().map(|line| {
            if !line.trim_start().starts_with(&format!("{class}: {{")) {
                return line.to_owned();
            }
            let (before, after) = line
                .split_once("floor_percent: ")
                .expect("the line of a class has a floor");
            let rest = after.trim_start_matches(|digit: char| digit.is_ascii_digit());
            format!("{before}floor_percent: {percent}{rest}")
        });
        text = lines.collect::<Vec<_>>().join("\n");
    }
    text
}

fn plan(flood: Flood, duration: Duration) -> Plan {
    let share = |share: f64, flooded: bool| {
        CAPACITY_PER_SECOND * share
            + if flooded {
                CAPACITY_PER_SECOND * 10.0
            } else {
                0.0
            }
    };
    let path = |name: &str| format!("/repair-desk/{name}?service_ms={SERVICE_MS}");
    let counter = share(0.3, flood == Flood::MostUrgent);
    let quote = share(0.3, flood == Flood::LeastUrgent);
    Plan {
        seed: SEED,
        duration,
        count_max: COUNT_MAX,
        classes: vec![
            ClassPlan::new("counter", counter, "POST", &path("orders")).keyed(),
            ClassPlan::new("quote", quote, "GET", &path("quotes")),
        ],
    }
}

fn print(flood: Flood, summary: &Summary) {
    let answered = summary.outcomes.get("answered").copied().unwrap_or(0);
    let milliseconds = |microseconds: u64| microseconds as f64 / 1_000.0;
    println!(
        "{:<12} {:<9} {:>7} {:>9} {:>8.1} {:>8.1} {:>8.1}  {:?}",
        format!("{flood:?}"),
        summary.class,
        summary.sent,
        answered,
        milliseconds(summary.p50_us),
        milliseconds(summary.p99_us),
        milliseconds(summary.max_us),
        summary.outcomes,
    );
    println!("{}", serde_json::to_string(summary).unwrap_or_default());
}
