//! Floors, turns, quotas and early refusals of the fair policy.

mod fixtures;

use std::time::{Duration, Instant};

use fixtures::*;
use jackdawchute_admission::{AdmissionPolicy, FairShare, WorkItem};
use jackdawchute_types::{Execution, RefusalReason};

const CAPACITY_UNITS: u32 = 20;

fn offer_many(policy: &mut FairShare, ids: std::ops::Range<u64>, class: &str, now: Instant) {
    for id in ids {
        let team = TEAMS[id as usize % TEAMS.len()];
        policy
            .offer(ticket(id, class, team, now), now)
            .expect("room in the queue");
    }
}

fn count(running: &[WorkItem], class: &str) -> u32 {
    let of_class = running.iter().filter(|ticket| ticket.class == class);
    of_class.map(|ticket| ticket.cost).sum()
}

#[test]
fn classes_with_work_keep_their_floor_whoever_floods() {
    fn holds((urgent, normal, late): (u8, u8, u8), flood: u8, releases: Vec<u8>) -> bool {
        let floors = [urgent, normal, late].map(|percent| u32::from(percent) % 34);
        let now = Instant::now();
        let mut policy = fair_share(limits(floors), CAPACITY_UNITS);
        offer_many(&mut policy, 0..400, CLASSES[usize::from(flood) % 3], now);
        let mut running = start_all(&mut policy, now);
        for (index, class) in CLASSES.iter().enumerate() {
            let first = 1_000 * (index as u64 + 1);
            offer_many(&mut policy, first..first + 400, class, now);
        }

        for release in releases.iter().map(|r| usize::from(*r)).chain(0..100) {
            let done = running.swap_remove(release % running.len());
            policy.release(&done, Duration::from_millis(10));
            running.extend(start_all(&mut policy, now));
        }

        let queued = policy.queued();
        let floor_kept = |class: &str, percent: u32| {
            let floor = (CAPACITY_UNITS * percent / 100).max(1);
            !queued.contains_key(class) || count(&running, class) >= floor
        };
        running.len() == CAPACITY_UNITS as usize
            && CLASSES
                .iter()
                .zip(floors)
                .all(|(class, percent)| floor_kept(class, percent))
    }

    check().quickcheck(holds as fn((u8, u8, u8), u8, Vec<u8>) -> bool);
}

#[test]
fn no_class_starves_without_a_floor() {
    let now = Instant::now();
    let mut policy = fair_share(limits([100, 0, 0]), CAPACITY_UNITS);
    offer_many(&mut policy, 0..400, "urgent", now);
    let mut running = start_all(&mut policy, now);
    policy.offer(ticket(1_000, "late", "a", now), now).unwrap();

    for _ in 0..2 {
        let done = running.remove(0);
        policy.release(&done, Duration::from_millis(10));
        running.extend(start_all(&mut policy, now));
    }

    assert_eq!(count(&running, "late"), 1);
}

#[test]
fn what_a_class_leaves_unused_is_lent() {
    let now = Instant::now();
    let mut policy = fair_share(limits([50, 30, 20]), CAPACITY_UNITS);

    offer_many(&mut policy, 0..400, "late", now);
    let running = start_all(&mut policy, now);

    assert_eq!(running.len(), CAPACITY_UNITS as usize);
}

#[test]
fn headroom_is_left_for_a_more_urgent_class_below_its_floor() {
    let now = Instant::now();
    let mut policy = FairShare::with_headroom(10);
    policy.set_limits(limits([50, 30, 20]));
    policy.set_capacity(CAPACITY_UNITS);
    offer_many(&mut policy, 0..400, "late", now);
    let flood = start_all(&mut policy, now);

    policy
        .offer(ticket(1_000, "urgent", "a", now), now)
        .unwrap();
    let urgent = start_all(&mut policy, now);

    assert_eq!((flood.len(), urgent.len()), (18, 1));
}

#[test]
fn a_team_with_many_requests_does_not_delay_another() {
    let now = Instant::now();
    let mut policy = fair_share(limits([0, 0, 0]), 1);
    for id in 0..500 {
        policy.offer(ticket(id, "normal", "a", now), now).unwrap();
    }
    policy
        .offer(ticket(1_000, "normal", "b", now), now)
        .unwrap();

    let first = policy.next(now).expect("a free unit");
    policy.release(&first, Duration::from_millis(10));
    let second = policy.next(now).expect("a free unit");

    assert_eq!((first.team.as_str(), second.team.as_str()), ("a", "b"));
}

#[test]
fn a_team_cannot_fill_the_queue_of_its_class() {
    let now = Instant::now();
    let mut policy = fair_share(limits([0, 0, 0]), 1);

    let of_one = (0..2_000).filter(|id| policy.offer(ticket(*id, "normal", "a", now), now).is_ok());
    let taken = of_one.count();
    let other = policy.offer(ticket(5_000, "normal", "b", now), now);

    assert_eq!(taken, 800);
    assert_eq!(other, Ok(()));
}

#[test]
fn a_team_at_its_quota_waits_and_the_next_team_goes() {
    let now = Instant::now();
    let mut limits = limits([0, 0, 0]);
    limits.quotas.insert("a".into(), 2);
    let mut policy = fair_share(limits, 4);
    for id in 0..4 {
        policy.offer(ticket(id, "normal", "a", now), now).unwrap();
    }
    policy.offer(ticket(10, "normal", "b", now), now).unwrap();

    let running = start_all(&mut policy, now);
    policy.release(&running[0], Duration::from_millis(10));
    let after = start_all(&mut policy, now);

    let teams: Vec<_> = running.iter().map(|ticket| ticket.team.as_str()).collect();
    assert_eq!(teams, ["a", "b", "a"]);
    assert_eq!(after.len(), 1);
}

#[test]
fn what_cannot_meet_its_deadline_is_refused_at_once_with_the_time_to_wait() {
    let now = Instant::now();
    let mut policy = fair_share(limits([0, 100, 0]), 1);
    policy.offer(ticket(0, "normal", "a", now), now).unwrap();
    let first = policy.next(now).expect("a free unit");
    policy.release(&first, Duration::from_millis(100));
    offer_many(&mut policy, 1..101, "normal", now);
    let with_deadline = |id, deadline_ms| WorkItem {
        deadline: Some(now + Duration::from_millis(deadline_ms)),
        ..ticket(id, "normal", "a", now)
    };

    let late = policy.offer(with_deadline(200, 9_000), now).unwrap_err();
    let in_time = policy.offer(with_deadline(201, 11_000), now);

    assert_eq!(late.reason, RefusalReason::DeadlineUnreachable);
    assert_eq!(late.execution, Execution::NotRun);
    assert_eq!(late.retry_after, Duration::from_secs(1));
    assert_eq!(in_time, Ok(()));
}

#[test]
fn a_short_loss_of_capacity_refuses_nothing_early() {
    let now = Instant::now();
    let mut policy = fair_share(limits([10, 10, 0]), CAPACITY_UNITS);
    policy.offer(ticket(0, "normal", "a", now), now).unwrap();
    let first = policy.next(now).expect("a free unit");
    policy.release(&first, Duration::from_millis(500));
    policy.set_capacity(1);
    offer_many(&mut policy, 1..5, "urgent", now);
    offer_many(&mut policy, 5..35, "normal", now);
    let with_deadline = WorkItem {
        deadline: Some(now + Duration::from_secs(10)),
        ..ticket(100, "normal", "a", now)
    };

    let offered = policy.offer(with_deadline, now);

    assert_eq!(offered, Ok(()));
}

#[test]
fn a_full_queue_refuses_as_not_run() {
    let now = Instant::now();
    let mut limits = limits([0, 0, 0]);
    limits
        .classes
        .entry("normal".into())
        .and_modify(|class| class.queue_max = 3);
    let mut policy = fair_share(limits, 1);
    offer_many(&mut policy, 0..3, "normal", now);

    let refusal = policy
        .offer(ticket(9, "normal", "a", now), now)
        .unwrap_err();

    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    assert_eq!(refusal.execution, Execution::NotRun);
}

#[test]
fn tickets_of_a_class_that_is_no_longer_configured_still_come_out() {
    let now = Instant::now();
    let mut policy = fair_share(limits([0, 0, 0]), 1);
    policy.offer(ticket(1, "late", "a", now), now).unwrap();

    policy.set_limits(Default::default());
    let started = policy.next(now);
    let refused = policy.offer(ticket(2, "late", "a", now), now);

    assert_eq!(started.map(|ticket| ticket.id), Some(1));
    assert!(refused.is_err());
}
