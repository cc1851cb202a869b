//! An overloaded leader refuses new jobs, the least urgent first, and only while it lags.

use std::time::Duration;

use jackdawchute_cell::Overload;

const PRIORITIES: [u32; 3] = [0, 1, 2];

/// A leader that has handled many ticks this late.
fn lagging(lateness_ms: u64) -> Overload {
    let mut overload = Overload::default();
    record_ticks(&mut overload, lateness_ms, 100);
    overload
}

fn record_ticks(overload: &mut Overload, lateness_ms: u64, ticks: usize) {
    for _ in 0..ticks {
        overload.record_tick(Duration::from_millis(lateness_ms), false);
    }
}

fn refused(overload: &Overload) -> Vec<u32> {
    let is_refused = |priority: &u32| overload.refuses(*priority, PRIORITIES);
    PRIORITIES.into_iter().filter(is_refused).collect()
}

#[test]
fn the_least_urgent_queues_are_refused_first() {
    let by_lag: Vec<Vec<u32>> = [5, 30, 60, 120].map(|lag| refused(&lagging(lag))).to_vec();

    assert_eq!(by_lag, [vec![], vec![2], vec![1, 2], vec![0, 1, 2]]);
}

#[test]
fn nothing_is_refused_soon_after_the_lag_has_ended() {
    let mut overload = lagging(120);

    record_ticks(&mut overload, 0, 25);

    assert_eq!(refused(&overload), Vec::<u32>::new());
}

/// A process that was suspended handles one tick seconds late.
#[test]
fn a_pause_of_the_process_causes_no_refusal() {
    let mut overload = Overload::default();

    record_ticks(&mut overload, 4_000, 1);

    assert_eq!(refused(&overload), Vec::<u32>::new());
}

#[test]
fn the_lag_of_a_takeover_causes_no_refusal() {
    let mut overload = Overload::default();

    for _ in 0..100 {
        overload.record_tick(Duration::from_millis(200), true);
    }

    assert_eq!(refused(&overload), Vec::<u32>::new());
}

#[test]
fn a_cell_with_one_priority_refuses_its_jobs_at_the_lowest_lag() {
    let overload = lagging(30);

    assert!(overload.refuses(0, [0, 0]));
}
