//! The number of advisors reserved for short requests follows the load of these.

use std::time::Duration;

use jackdawchute_cell::ShortRequestLoad;

const TICK: Duration = Duration::from_millis(40);
const ADVISORS: usize = 35;

/// Records `per_second` requests of 22 ms each second for `duration`.
fn record_requests(load: &mut ShortRequestLoad, per_second: u32, duration: Duration) {
    let mut passed = Duration::ZERO;
    while passed < duration {
        load.record(Duration::from_millis(22) * per_second * TICK.as_millis() as u32 / 1_000);
        load.tick(TICK);
        passed += TICK;
    }
}

#[test]
fn a_burst_reserves_advisors_within_a_second_and_releases_them_after() {
    let mut load = ShortRequestLoad::default();

    record_requests(&mut load, 90, Duration::from_secs(3));
    let before = load.reserved(ADVISORS);
    record_requests(&mut load, 180, Duration::from_secs(1));
    let burst = load.reserved(ADVISORS);
    record_requests(&mut load, 90, Duration::from_secs(2));
    let after = load.reserved(ADVISORS);

    // 90 and 180 requests of 22 ms each second keep two and four advisors busy.
    assert!((3..=4).contains(&before), "{before}");
    assert!((7..=8).contains(&burst), "{burst}");
    assert_eq!(after, before);
}

#[test]
fn at_most_half_of_the_advisors_are_reserved() {
    let mut load = ShortRequestLoad::default();

    record_requests(&mut load, 5_000, Duration::from_secs(3));

    assert_eq!(load.reserved(ADVISORS), ADVISORS / 2);
}

#[test]
fn no_advisor_is_reserved_without_short_requests() {
    let mut load = ShortRequestLoad::default();
    load.tick(Duration::ZERO);
    load.tick(TICK);

    assert_eq!(load.reserved(ADVISORS), 0);
}
