//! Scheduling rounds leave a leader time for its other messages, however long a round takes.

use std::time::{Duration, Instant};

use jackdawchute_cell::RoundPace;

const PERIOD: Duration = Duration::from_millis(6);
/// The time that a message takes without the round that may follow it.
const MESSAGE_TIME: Duration = Duration::from_micros(200);

/// Handles messages that all wait already for `duration`, each followed by a round if one is due;
/// returns the number of messages and the time that the rounds took.
fn busy_leader(round_time: Duration, duration: Duration) -> (u32, Duration) {
    let began_at = Instant::now();
    let mut pace = RoundPace::new(began_at);
    let (mut elapsed, mut messages, mut rounds_took) = (Duration::ZERO, 0, Duration::ZERO);
    while elapsed < duration {
        elapsed += MESSAGE_TIME;
        messages += 1;
        let now = began_at + elapsed;
        if now >= pace.due_at(PERIOD) {
            elapsed += round_time;
            rounds_took += round_time;
            pace.record(now, began_at + elapsed);
        }
    }
    (messages, rounds_took)
}

#[test]
fn short_rounds_begin_a_period_apart() {
    let began_at = Instant::now();
    let mut pace = RoundPace::new(began_at);

    pace.record(began_at, began_at + PERIOD / 3);

    assert_eq!(pace.due_at(PERIOD), began_at + PERIOD);
}

/// With a round after each message a leader handled fewer than 100 messages a second.
#[test]
fn rounds_longer_than_their_period_do_not_follow_each_message() {
    let second = Duration::from_secs(1);

    let (messages, rounds_took) = busy_leader(PERIOD * 2, second);

    assert!(
        rounds_took <= second * 6 / 10,
        "rounds took {rounds_took:?}"
    );
    assert!(messages >= 1_500, "{messages} messages handled");
}

#[test]
fn a_round_still_comes_where_rounds_take_long() {
    let began_at = Instant::now();
    let round_time = Duration::from_millis(100);
    let mut pace = RoundPace::new(began_at);

    pace.record(began_at, began_at + round_time);

    assert!(pace.due_at(PERIOD) <= began_at + round_time * 3);
}
