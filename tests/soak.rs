//! Seeds of the soak: one that always runs, and each that ever failed, with its cause.

use std::{path::Path, time::Duration};

use jackdawchute_standins::soak::{run, SoakPlan};

/// How long faults begin.
const LASTS: Duration = Duration::from_secs(12);

async fn violations(seed: u64) -> Vec<String> {
    let program = Path::new(env!("CARGO_BIN_EXE_jackdawchute"));
    let report = run(program, &SoakPlan::new(seed, LASTS)).await.unwrap();
    println!("{report}");
    report.violations
}

#[tokio::test(flavor = "multi_thread")]
async fn overlapping_faults_break_no_promise() {
    assert_eq!(violations(1).await, Vec::<String>::new());
}
