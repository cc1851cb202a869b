//! Quarantine of workers with a high failure rate.

use std::time::{Duration, Instant};

use jackdawchute_jobs::rack::{Health, QuarantineSettings};
use jackdawchute_types::WorkerId;
use smol_str::format_smolstr;

const FIRST_QUARANTINE: Duration = Duration::from_secs(30);

fn health() -> Health {
    Health::new(QuarantineSettings {
        max_percent: 20,
        jobs_min: 3,
        rate_factor: 3,
        first_duration: FIRST_QUARANTINE,
    })
}

fn workers() -> Vec<WorkerId> {
    (0..10).map(|number| format_smolstr!("w{number}")).collect()
}

/// Records ten jobs on each worker; they all fail on the workers from number `first_failing` on.
fn record_jobs(health: &mut Health, first_failing: usize, now: Instant) {
    for (number, worker) in workers().iter().enumerate() {
        for job in 0..10 {
            health.record(
                worker,
                &format_smolstr!("j{job}"),
                number < first_failing,
                now,
            );
        }
    }
    health.update_quarantine(workers().iter(), now);
}

#[test]
fn a_worker_that_fails_jobs_which_succeed_elsewhere_is_quarantined_until_a_probe_succeeds() {
    let now = Instant::now();
    let mut health = health();
    let failing = WorkerId::new("w9");

    record_jobs(&mut health, 9, now);
    assert_eq!(health.quarantined(), ["w9"]);
    assert!(!health.accepts(&failing, true));

    health.update_quarantine(workers().iter(), now + FIRST_QUARANTINE);
    assert!(health.accepts(&failing, true) && !health.accepts(&failing, false));

    health.record(&failing, &"j10".into(), true, now + FIRST_QUARANTINE);
    assert_eq!(health.quarantined(), Vec::<WorkerId>::new());
}

#[test]
fn a_job_that_fails_on_many_workers_quarantines_none() {
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
fn a_job_that_fails_on_one_worker_does_not_quarantine_it() {
    let now = Instant::now();
    let mut health = health();
    record_jobs(&mut health, 10, now);

    for _ in 0..20 {
        health.record(&"w0".into(), &"bad".into(), false, now);
    }
    health.update_quarantine(workers().iter(), now);

    assert_eq!(health.quarantined(), Vec::<WorkerId>::new());
}

#[test]
fn quarantine_of_a_failing_fleet_is_limited_to_its_share() {
    let now = Instant::now();
    let mut health = health();

    // Three of the ten workers fail all jobs, but at most 20 per cent may be in quarantine.
    record_jobs(&mut health, 7, now);
    let few = health.quarantined().len();
    let mut health = self::health();
    record_jobs(&mut health, 0, now);

    assert_eq!(few, 2);
    assert_eq!(health.quarantined(), Vec::<WorkerId>::new());
}
