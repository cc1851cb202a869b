//! Injects random faults into cells of real processes and prints the violations.
//!
//! Run with `cargo run --release -p jackdawchute-standins --example soak -- PROGRAM COMMAND [SEEDS]
//! [FIRST] [SECONDS] [LOGS]`; COMMAND is `serve`, `cell`, or `cell-partitions` for cells with
//! partitions by failure domain, `cell-partitions-long` for those under long tasks,
//! `cell-restarts` for those with workers that restart while they are cut off and late orders to
//! them, `cell-late-extensions` for those with workers that are cut off after late extensions of
//! their leases, `cell-restarted-leases` for those with workers that restart at once and are cut off
//! when the leader has ended soon after, or `cell-tenants` for tenants with caps whose keys are replaced. It runs SEEDS seeds from FIRST on, each with faults for SECONDS; the instances' logs of a
//! failed seed are copied to the folder LOGS. It exits with 1 if a seed failed or a signal ended the
//! run.

use std::{fmt::Display, path::PathBuf, time::Duration};

use jackdawchute_standins::{cell_soak, program::wait_for_end_signal, soak, Result};

#[tokio::main]
async fn main() -> Result<()> {
    // On a signal the soak is dropped, which ends the processes of its cell.
    let failed = tokio::select! {
        failed = run_seeds() => failed,
        signal = wait_for_end_signal() => {
            signal?;
            println!("ended by a signal");
            true
        }
    };
    std::process::exit(i32::from(failed));
}

/// What can be soaked.
const COMMANDS: [&str; 8] = [
    "serve",
    "cell",
    "cell-partitions",
    "cell-partitions-long",
    "cell-restarts",
    "cell-late-extensions",
    "cell-restarted-leases",
    "cell-tenants",
];

/// The arguments of the command line.
struct Options {
    program: PathBuf,
    command: String,
    seeds: u64,
    first: u64,
    duration: Duration,
    logs: Option<PathBuf>,
}

impl Options {
    /// Parses the command line; `None` if it is invalid.
    fn parse() -> Option<Self> {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let number = |index: usize, default: u64| {
            let text = arguments.get(index);
            text.and_then(|text| text.parse().ok()).unwrap_or(default)
        };
        let command = arguments.get(1)?;
        COMMANDS.contains(&command.as_str()).then(|| Self {
            program: PathBuf::from(&arguments[0]),
            command: command.clone(),
            seeds: number(2, 5),
            first: number(3, 1),
            duration: Duration::from_secs(number(4, 12)),
            logs: arguments.get(5).map(PathBuf::from),
        })
    }
}

/// Runs the seeds; returns whether any failed.
async fn run_seeds() -> bool {
    let Some(options) = Options::parse() else {
        let commands = COMMANDS.join("|");
        eprintln!("usage: soak PROGRAM {commands} [SEEDS] [FIRST] [SECONDS] [LOGS]");
        std::process::exit(2);
    };
    let mut failed = 0;
    for seed in options.first..options.first + options.seeds {
        let passed = if options.command == "serve" {
            let plan = soak::SoakPlan {
                logs: options.logs.clone(),
                ..soak::SoakPlan::new(seed, options.duration)
            };
            let report = soak::run(&options.program, &plan).await;
            print_report(seed, report.map(|it| (it.violations.is_empty(), it)))
        } else {
            let plan = match options.command.as_str() {
                "cell" => cell_soak::CellSoakPlan::new(seed, options.duration),
                "cell-tenants" => cell_soak::CellSoakPlan::with_tenants(seed, options.duration),
                "cell-partitions" => cell_soak::CellSoakPlan::partitions(seed, options.duration),
                "cell-restarts" => cell_soak::CellSoakPlan::restarts(seed, options.duration),
                "cell-late-extensions" => {
                    cell_soak::CellSoakPlan::late_extensions(seed, options.duration)
                }
                "cell-restarted-leases" => {
                    cell_soak::CellSoakPlan::restarted_leases(seed, options.duration)
                }
                _ => cell_soak::CellSoakPlan::partitions_under_long_tasks(seed, options.duration),
            };
            let plan = cell_soak::CellSoakPlan {
                logs: options.logs.clone(),
                ..plan
            };
            let report = cell_soak::run(&options.program, &plan).await;
            print_report(seed, report.map(|it| (it.violations.is_empty(), it)))
        };
        failed += u64::from(!passed);
    }
    println!("{failed} of {} seeds failed", options.seeds);
    failed > 0
}

/// Prints a report and returns whether the seed passed.
fn print_report(seed: u64, report: Result<(bool, impl Display)>) -> bool {
    match report {
        Ok((passed, report)) => {
            print!("{report}");
            passed
        }
        Err(error) => {
            println!("seed {seed}: {error}");
            false
        }
    }
}
