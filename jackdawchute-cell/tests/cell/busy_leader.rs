//! A leader whose runtime has more work than it can do.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};

use jackdawchute_cell::Metrics;

use crate::fixtures::*;

/// The tasks that keep the runtime busy, and how long each turn of one takes.
const BUSY_TASKS: u32 = 50;
const BUSY_TURN: Duration = Duration::from_millis(2);
/// The time that the store takes for a transaction.
const STORE_TIME: Duration = Duration::from_millis(4);
/// The tasks of a job that changes its progress for seconds.
const TASKS: u32 = 400;

/// Keeps the current runtime busy until the flag is set: each of its tasks waits for its turn behind
/// all others.
fn keep_busy(stop: &Arc<AtomicBool>) {
    for _ in 0..BUSY_TASKS {
        let stop = stop.clone();
        tokio::spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                std::thread::sleep(BUSY_TURN);
                tokio::task::yield_now().await;
            }
        });
    }
}

/// Returns the number of commits that the store has answered and the time that they took in all.
fn commits(metrics: &Metrics) -> (f64, Duration) {
    let text = metrics.text();
    let value = |name: &str| -> f64 {
        let prefix = format!("jackdawchute_cell_latency_seconds_{name}{{call=\"commit\"}} ");
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
        line.and_then(|value| value.parse().ok()).unwrap_or(0.0)
    };
    (value("count"), Duration::from_secs_f64(value("sum")))
}

/// A commit took several turns of a runtime with thousands of calls, so that acceptances came too
/// late and run ends were listed again and again.
#[tokio::test]
async fn a_commit_does_not_wait_for_the_calls_of_a_busy_leader() {
    let cell = cell(1).await;
    cell.instances[0].store.slow_down(STORE_TIME);
    cell.submit_until_accepted(0, "job", TASKS).await;
    let (count_before, took_before) = commits(&cell.instances[0].metrics);
    let stop = Arc::new(AtomicBool::new(false));

    keep_busy(&stop);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (count, took) = commits(&cell.instances[0].metrics);
    stop.store(true, Ordering::Relaxed);

    let commits = count - count_before;
    let mean = (took - took_before).div_f64(commits);
    assert!(commits >= 3.0, "{commits} commits");
    assert!(mean < BUSY_TURN * BUSY_TASKS / 2, "a commit takes {mean:?}");
}
