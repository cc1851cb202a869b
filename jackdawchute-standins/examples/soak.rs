//! Plays random faults on cells of real processes and says what was violated.
//!
//! Run with `cargo run --release -p jackdawchute-standins --example soak -- PROGRAM serve|cell
//! [SEEDS] [FIRST] [SECONDS] [LOGS]`: so many seeds from the first one on, each with faults for so
//! many seconds; the instances' logs of a seed that is red are kept in the folder LOGS.

use std::{fmt::Display, path::PathBuf, time::Duration};

use jackdawchute_standins::{cell_soak, program::wait_for_end, soak, Result};

#[tokio::main]
async fn main() -> Result<()> {
    // A soak that is told to end drops its cell, which ends the cell's processes.
    let red = tokio::select! {
        red = play() => red,
        told = wait_for_end() => {
            told?;
            println!("told to end");
            true
        }
    };
    std::process::exit(i32::from(red));
}

/// What is asked for on the command line.
struct Options {
    program: PathBuf,
    command: String,
    seeds: u64,
    first: u64,
    lasts: Duration,
    logs: Option<PathBuf>,
}

impl Options {
    fn read() -> Option<Self> {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let number = |index: usize, default: u64| {
            let text = arguments.get(index);
            text.and_then(|text| text.parse().ok()).unwrap_or(default)
        };
        let command = arguments.get(1)?;
        ["serve", "cell"].contains(&command.as_str()).then(|| Self {
            program: PathBuf::from(&arguments[0]),
            command: command.clone(),
            seeds: number(2, 5),
            first: number(3, 1),
            lasts: Duration::from_secs(number(4, 12)),
            logs: arguments.get(5).map(PathBuf::from),
        })
    }
}

/// Plays the seeds; whether any is red.
async fn play() -> bool {
    let Some(options) = Options::read() else {
        eprintln!("usage: soak PROGRAM serve|cell [SEEDS] [FIRST] [SECONDS] [LOGS]");
        std::process::exit(2);
    };
    let mut red = 0;
    for seed in options.first..options.first + options.seeds {
        let green = if options.command == "serve" {
            let plan = soak::SoakPlan {
                logs: options.logs.clone(),
                ..soak::SoakPlan::new(seed, options.lasts)
            };
            let report = soak::run(&options.program, &plan).await;
            tell(seed, report.map(|it| (it.violations.is_empty(), it)))
        } else {
            let plan = cell_soak::CellSoakPlan {
                logs: options.logs.clone(),
                ..cell_soak::CellSoakPlan::new(seed, options.lasts)
            };
            let report = cell_soak::run(&options.program, &plan).await;
            tell(seed, report.map(|it| (it.violations.is_empty(), it)))
        };
        red += u64::from(!green);
    }
    println!("{red} of {} seeds red", options.seeds);
    red > 0
}

/// Prints a report and returns whether it is green.
fn tell(seed: u64, report: Result<(bool, impl Display)>) -> bool {
    match report {
        Ok((green, report)) => {
            print!("{report}");
            green
        }
        Err(error) => {
            println!("seed {seed}: {error}");
            false
        }
    }
}
