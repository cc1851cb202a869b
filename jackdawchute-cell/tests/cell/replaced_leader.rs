//! Callers' calls under way to a leader that is replaced and does not answer.

use std::time::{Duration, Instant};

use jackdawchute_cell::Answer;

use crate::fixtures::*;

const INSTANCES: usize = 3;
/// How long a leader has been silent when the call is made: its connections do not count as broken yet.
/// Others claim the epoch after 1.1 s.
const SILENT_FOR: Duration = Duration::from_millis(400);
/// How long a call to a leader at a peer may take.
const LEADER_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

#[tokio::test]
async fn a_submission_goes_to_the_new_leader_before_the_call_to_the_former_one_times_out() {
    let cell = cell_with(CellOptions {
        can_freeze: true,
        ..CellOptions::of_instances(INSTANCES)
    })
    .await;
    let leader = cell.leader().await;
    let other = (leader + 1) % INSTANCES;
    // Opens the connection to the leader.
    cell.submit_until_accepted(other, "before", 1).await;

    cell.instances[leader].freeze(WAIT_MAX);
    tokio::time::sleep(SILENT_FOR).await;
    let asked_at = Instant::now();
    let answer = cell.submit(other, "job", 1).await;

    let took = asked_at.elapsed();
    assert_eq!(answer, Answer::Accepted);
    assert!(took < LEADER_CALL_TIMEOUT, "{took:?}");
    assert_ne!(cell.leader().await, leader);
}
