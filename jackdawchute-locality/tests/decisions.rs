//! Which waits are begun, and how long they last.

use std::time::Duration;

use jackdawchute_locality::{decide, Decision, NearRoom, Unit, WAIT_MAX};

fn ms(duration_ms: u64) -> Duration {
    Duration::from_millis(duration_ms)
}

/// A unit that takes 6 s near and twice as long far away.
fn long_unit() -> Unit {
    Unit {
        near_time: ms(6_000),
        far_time: ms(12_000),
        slack: Some(ms(10_000)),
        wait_max: WAIT_MAX,
    }
}

fn room(expected_ms: &[u64], needed: usize) -> NearRoom {
    NearRoom {
        expected: expected_ms.iter().map(|expected| ms(*expected)).collect(),
        needed,
    }
}

fn longest_wait(unit: &Unit, rooms: &[NearRoom]) -> Duration {
    match decide(unit, rooms) {
        Decision::StartHere => Duration::ZERO,
        Decision::Wait { at_most, .. } => at_most,
    }
}

#[test]
fn a_short_task_never_waits() {
    let lookup = Unit {
        near_time: ms(50),
        far_time: ms(75),
        ..long_unit()
    };

    let decision = decide(&lookup, &[room(&[5], 1)]);

    assert_eq!(decision, Decision::StartHere);
}

#[test]
fn a_unit_waits_for_room_that_comes_soon_and_not_for_room_that_comes_late() {
    let waits = [300, 1_000, 20_000]
        .map(|expected_ms| longest_wait(&long_unit(), &[room(&[expected_ms], 1)]) > ms(0));

    assert_eq!(waits, [true, true, false]);
}

#[test]
fn a_gang_waits_only_if_enough_room_comes_on_one_rack() {
    let soon = room(&[100, 200, 300, 400], 4);
    let too_little = room(&[100, 200, 300], 4);

    let waits = [soon, too_little].map(|room| longest_wait(&long_unit(), &[room]) > ms(0));

    assert_eq!(waits, [true, false]);
}

#[test]
fn several_near_racks_make_a_wait_more_likely_to_pay() {
    let one = [room(&[4_000], 1)];
    let four = [4_000; 4].map(|expected_ms| room(&[expected_ms], 1));

    let waits = [
        longest_wait(&long_unit(), &one),
        longest_wait(&long_unit(), &four),
    ];

    assert!(waits[0] < waits[1], "{waits:?}");
}

#[test]
fn a_unit_does_not_wait_for_a_slow_near_worker() {
    let slow_near = Unit {
        near_time: ms(11_900),
        ..long_unit()
    };

    let decision = decide(&slow_near, &[room(&[200], 1)]);

    assert_eq!(decision, Decision::StartHere);
}

#[test]
fn a_wait_leaves_time_to_start_far_away_and_end_in_time() {
    let urgent = Unit {
        slack: Some(ms(6_700)),
        ..long_unit()
    };

    assert!(longest_wait(&urgent, &[room(&[400], 1)]) <= ms(700));
}

#[test]
fn a_unit_that_ends_in_time_only_near_waits_up_to_its_slack() {
    let only_near = [1_000, 0].map(|slack_ms| Unit {
        slack: Some(ms(slack_ms)),
        ..long_unit()
    });

    let waits = only_near.map(|unit| longest_wait(&unit, &[room(&[300], 1)]));

    assert!(waits[0] > ms(0) && waits[0] <= ms(1_000), "{waits:?}");
    assert_eq!(waits[1], ms(0));
}

#[test]
fn a_wait_never_outlasts_its_gain_or_its_bound() {
    for lost_ms in [80, 200, 500, 1_500, 4_000, 30_000] {
        for expected_ms in [0, 10, 100, 400, 1_500, 5_000] {
            let unit = Unit {
                far_time: ms(6_000 + lost_ms),
                ..long_unit()
            };

            let wait = longest_wait(&unit, &[room(&[expected_ms], 1)]);

            assert!(wait <= ms(lost_ms).min(WAIT_MAX), "{lost_ms} {expected_ms}");
        }
    }
}
