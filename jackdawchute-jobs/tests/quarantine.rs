//! Which workers are quarantined.

use std::time::{Duration, Instant};

use jackdawchute_jobs::rack::{Health, HealthBounds};
use jackdawchute_types::WorkerId;
use smol_str::format_smolstr;

const FIRST: Duration = Duration::from_secs(30);

fn health() -> Health {
    Health::new(HealthBounds {
        max_percent: 20,
        jobs_min: 3,
        rate_factor: 3,
        first: FIRST,
    })
}

fn workers() -> Vec<WorkerId> {
    (0..10).map(|number| format_smolstr!("w{number}")).collect()
}

/// Each worker runs ten jobs; those from `sick` on fail them all.
fn note_jobs(health: &mut Health, sick: usize, now: Instant) {
    for (number, worker) in workers().iter().enumerate() {
        for job in 0..10 {
            health.record(worker, &format_smolstr!("j{job}"), number < sick, now);
        }
    }
    health.update_quarantine(workers().iter(), now);
}

#[test]
fn a_worker_that_fails_what_others_run_is_quarantined_and_probed_back() {
    let now = Instant::now();
    let mut health = health();
    let sick = WorkerId::new("w9");

    note_jobs(&mut health, 9, now);
    assert_eq!(health.quarantined(), ["w9"]);
    assert!(!health.accepts(&sick, true));

    health.update_quarantine(workers().iter(), now + FIRST);
    assert!(health.accepts(&sick, true) && !health.accepts(&sick, false));

    health.record(&sick, &"j10".into(), true, now + FIRST);
    assert_eq!(health.quarantined(), Vec::<WorkerId>::new());
}

#[test]
fn one_bad_job_quarantines_no_worker() {
    let now = Instant::now();
    let mut health = health();

    for worker in &workers()[..5] {
        for _ in 0..20 {
            health.record(worker, &"bad".into(), false, now);
        }
    }
    health.update_quarantine(workers().iter(), now);

    assert_eq!(health.quarantined(), Vec::<WorkerId>::new());
}

#[test]
fn one_bad_job_that_meets_one_worker_does_not_quarantine_it() {
    let now = Instant::now();
    let mut health = health();
    note_jobs(&mut health, 10, now);

    for _ in 0..20 {
        health.record(&"w0".into(), &"bad".into(), false, now);
    }
    health.update_quarantine(workers().iter(), now);

    assert_eq!(health.quarantined(), Vec::<WorkerId>::new());
}

#[test]
fn a_failing_fleet_is_not_quarantined_beyond_the_share() {
    let now = Instant::now();
    let mut health = health();

    // Three of ten stand out; a fifth of ten may go.
    note_jobs(&mut health, 7, now);
    let few = health.quarantined().len();
    let mut health = self::health();
    note_jobs(&mut health, 0, now);

    assert_eq!(few, 2);
    assert_eq!(health.quarantined(), Vec::<WorkerId>::new());
}
