//! Plays random faults on cells of real processes and says what was violated.
//!
//! Run with `cargo run --release -p jackdawchute-standins --example soak -- PROGRAM [SEEDS] [FIRST]
//! [SECONDS] [LOGS]`: so many seeds from the first one on, each with faults for so many seconds; the
//! instances' logs of a seed that is red are kept in the folder LOGS.

use std::{path::PathBuf, time::Duration};

use jackdawchute_standins::{
    program::wait_for_end,
    soak::{run, SoakPlan},
    Result,
};

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

/// Plays the seeds; whether any is red.
async fn play() -> bool {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some(program) = arguments.first().map(PathBuf::from) else {
        eprintln!("usage: soak PROGRAM [SEEDS] [FIRST] [SECONDS] [LOGS]");
        std::process::exit(2);
    };
    let number = |index: usize, default: u64| {
        let text = arguments.get(index);
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (seeds, first, seconds) = (number(1, 5), number(2, 1), number(3, 12));
    let mut red = 0;
    for seed in first..first + seeds {
        let plan = SoakPlan {
            logs: arguments.get(4).map(PathBuf::from),
            ..SoakPlan::new(seed, Duration::from_secs(seconds))
        };
        match run(&program, &plan).await {
            Ok(report) => {
                red += usize::from(!report.violations.is_empty());
                print!("{report}");
            }
            Err(error) => {
                red += 1;
                println!("seed {seed}: {error}");
            }
        }
    }
    println!("{red} of {seeds} seeds red");
    red > 0
}
