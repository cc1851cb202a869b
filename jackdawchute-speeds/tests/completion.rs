//! The order of places for a task.

use std::time::Duration;

use jackdawchute_speeds::RunEstimate;

fn estimate() -> RunEstimate {
    RunEstimate {
        expected: Duration::from_secs(1),
        tail: Duration::from_secs(2),
    }
}

/// The far slowdown of a place on another rack.
const FAR: Option<f64> = Some(1.5);

#[test]
fn a_task_without_time_to_lose_goes_where_it_ends_first() {
    let rank = |slowness, far| estimate().rank(slowness, far, Some(Duration::from_millis(1_500)));

    assert!(rank(0.7, None) < rank(1.0, None));
    assert!(rank(1.0, None) < rank(1.7, None));
    assert!(
        rank(0.7, FAR) < rank(1.7, None),
        "far and fast ends before near and slow"
    );
    assert!(rank(1.0, None) < rank(1.0, FAR));
}

#[test]
fn a_late_task_goes_where_it_ends_first() {
    let rank = |slowness| estimate().rank(slowness, None, None);

    assert!(rank(0.7) < rank(1.7));
}

#[test]
fn a_patient_task_leaves_fast_places_free_and_stays_near_its_data() {
    let rank = |slowness, far| estimate().rank(slowness, far, Some(Duration::from_secs(10)));

    assert!(rank(1.7, None) < rank(0.7, None));
    assert!(rank(0.7, None) < rank(1.7, FAR));
}

#[test]
fn a_patient_task_prefers_any_place_in_time_to_one_that_is_too_slow() {
    let rank = |slowness| estimate().rank(slowness, None, Some(Duration::from_secs(4)));

    assert!(rank(1.7) < rank(1.0));
    assert!(rank(1.0) < rank(5.0));
}

#[test]
fn places_that_hardly_differ_rank_the_same() {
    let rank = |slowness, left| estimate().rank(slowness, None, Some(Duration::from_secs(left)));

    assert_eq!(rank(0.95, 1), rank(1.05, 1));
    assert_eq!(rank(0.95, 10), rank(1.05, 10));
}
