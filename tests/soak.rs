//! Soaks of `jackdawchute serve` under random faults: seed 1, and each seed that ever failed, with
//! the cause of its failure.

use std::{path::Path, time::Duration};

use jackdawchute_standins::soak::{run, SoakPlan};

/// The time during which new faults begin.
const FAULT_PERIOD: Duration = Duration::from_secs(12);

/// Runs the soak with a seed and returns the violations that it found.
async fn violations(seed: u64) -> Vec<String> {
    let program = Path::new(env!("CARGO_BIN_EXE_jackdawchute"));
    let report = run(program, &SoakPlan::new(seed, FAULT_PERIOD))
        .await
        .unwrap();
    println!("{report}");
    report.violations
}

#[tokio::test(flavor = "multi_thread")]
async fn overlapping_faults_cause_no_violation() {
    assert_eq!(violations(1).await, Vec::<String>::new());
}

/// Seed 25 failed once. Quotes were refused seconds after all faults were over: the owner still
/// counted the slots of a minion, the only one in its failure domain, as used by requests whose
/// responses were lost, while other instances picked its group as an idle one.
#[tokio::test(flavor = "multi_thread")]
async fn lost_responses_in_a_failure_domain_fail_no_later_request() {
    assert_eq!(violations(25).await, Vec::<String>::new());
}

/// Seed 50 failed once, from the same cause as seed 25.
#[tokio::test(flavor = "multi_thread")]
async fn lost_responses_after_a_table_outage_fail_no_later_request() {
    assert_eq!(violations(50).await, Vec::<String>::new());
}

/// Seed 48 failed once in three runs: a task ran on two workers. Not traced; see KNOWN-RED.txt.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_of_a_killed_owner_runs_in_one_place() {
    assert_eq!(violations(48).await, Vec::<String>::new());
}

/// Seed 32 failed once in two runs: quotes waited 10 s in their class and did not run. Not
/// traced; see KNOWN-RED.txt.
#[tokio::test(flavor = "multi_thread")]
async fn quotes_are_answered_after_stops_and_a_silent_table() {
    assert_eq!(violations(32).await, Vec::<String>::new());
}

/// Seed 49 failed once in two runs: orders waited 10 s in their class and did not run. Not
/// traced; see KNOWN-RED.txt.
#[tokio::test(flavor = "multi_thread")]
async fn orders_are_answered_after_kills_and_a_refusing_minion() {
    assert_eq!(violations(49).await, Vec::<String>::new());
}
