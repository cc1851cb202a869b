//! As many advisors are kept for short questions as these need.

use std::time::Duration;

use jackdawchute_cell::ShortRequestLoad;

const TICK: Duration = Duration::from_millis(40);
const ADVISORS: usize = 35;

/// Lets so many questions of 22 ms a second be asked for some time.
fn ask(load: &mut ShortRequestLoad, per_second: u32, lasts: Duration) {
    let mut passed = Duration::ZERO;
    while passed < lasts {
        load.record(Duration::from_millis(22) * per_second * TICK.as_millis() as u32 / 1_000);
        load.tick(TICK);
        passed += TICK;
    }
}

#[test]
fn a_burst_gets_advisors_within_a_second_and_gives_them_back() {
    let mut load = ShortRequestLoad::default();

    ask(&mut load, 90, Duration::from_secs(3));
    let before = load.reserved(ADVISORS);
    ask(&mut load, 180, Duration::from_secs(1));
    let burst = load.reserved(ADVISORS);
    ask(&mut load, 90, Duration::from_secs(2));
    let after = load.reserved(ADVISORS);

    // Two and four advisors are busy with them.
    assert!((3..=4).contains(&before), "{before}");
    assert!((7..=8).contains(&burst), "{burst}");
    assert_eq!(after, before);
}

#[test]
fn long_questions_keep_half_of_the_advisors() {
    let mut load = ShortRequestLoad::default();

    ask(&mut load, 5_000, Duration::from_secs(3));

    assert_eq!(load.reserved(ADVISORS), ADVISORS / 2);
}

#[test]
fn no_advisor_is_kept_without_short_questions() {
    let mut load = ShortRequestLoad::default();
    load.tick(Duration::ZERO);
    load.tick(TICK);

    assert_eq!(load.reserved(ADVISORS), 0);
}
