//! Floors, round robin, quotas and early refusals of the fair policy.

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
            .offer(item(id, class, team, now), now)
            .expect("the queue is not full");
    }
}

fn count(running: &[WorkItem], class: &str) -> u32 {
    let of_class = running.iter().filter(|item| item.class == class);
    of_class.map(|item| item.cost).sum()
}

#[test]
fn classes_with_queued_work_keep_their_floor_whichever_class_floods() {
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
        let has_floor = |class: &str, percent: u32| {
            let floor = (CAPACITY_UNITS * percent / 100).max(1);
            !queued.contains_key(class) || count(&running, class) >= floor
        };
        running.len() == CAPACITY_UNITS as usize
            && CLASSES
                .iter()
                .zip(floors)
                .all(|(class, percent)| has_floor(class, percent))
    }

    check().quickcheck(holds as fn((u8, u8, u8), u8, Vec<u8>) -> bool);
}

#[test]
fn a_class_with_no_floor_does_not_starve() {
    let now = Instant::now();
    let mut policy = fair_share(limits([100, 0, 0]), CAPACITY_UNITS);
    offer_many(&mut policy, 0..400, "urgent", now);
    let mut running = start_all(&mut policy, now);
    policy.offer(item(1_000, "late", "a", now), now).unwrap();

    for _ in 0..2 {
        let done = running.remove(0);
        policy.release(&done, Duration::from_millis(10));
        running.extend(start_all(&mut policy, now));
    }

    assert_eq!(count(&running, "late"), 1);
}

#[test]
fn capacity_that_a_class_leaves_unused_serves_the_others() {
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

    policy.offer(item(1_000, "urgent", "a", now), now).unwrap();
    let urgent = start_all(&mut policy, now);

    assert_eq!((flood.len(), urgent.len()), (18, 1));
}

#[test]
fn a_team_with_many_requests_does_not_delay_another() {
    let now = Instant::now();
    let mut policy = fair_share(limits([0, 0, 0]), 1);
    for id in 0..500 {
        policy.offer(item(id, "normal", "a", now), now).unwrap();
    }
    policy.offer(item(1_000, "normal", "b", now), now).unwrap();

    let first = policy.next(now).expect("a free unit");
    policy.release(&first, Duration::from_millis(10));
    let second = policy.next(now).expect("a free unit");

    assert_eq!((first.team.as_str(), second.team.as_str()), ("a", "b"));
}

#[test]
fn a_team_cannot_fill_the_queue_of_its_class() {
    let now = Instant::now();
    let mut policy = fair_share(limits([0, 0, 0]), 1);

    let accepted = (0..2_000).filter(|id| policy.offer(item(*id, "normal", "a", now), now).is_ok());
    let accepted_count = accepted.count();
    let other = policy.offer(item(5_000, "normal", "b", now), now);

    assert_eq!(accepted_count, 800);
    assert_eq!(other, Ok(()));
}

#[test]
fn a_team_at_its_quota_waits_while_the_next_team_is_served() {
    let now = Instant::now();
    let mut limits = limits([0, 0, 0]);
    limits.quotas.insert("a".into(), 2);
    let mut policy = fair_share(limits, 4);
    for id in 0..4 {
        policy.offer(item(id, "normal", "a", now), now).unwrap();
    }
    policy.offer(item(10, "normal", "b", now), now).unwrap();

    let running = start_all(&mut policy, now);
    policy.release(&running[0], Duration::from_millis(10));
    let after = start_all(&mut policy, now);

    let teams: Vec<_> = running.iter().map(|item| item.team.as_str()).collect();
    assert_eq!(teams, ["a", "b", "a"]);
    assert_eq!(after.len(), 1);
}

#[test]
fn an_item_that_cannot_meet_its_deadline_is_refused_at_once_with_a_retry_time() {
    let now = Instant::now();
    let mut policy = fair_share(limits([0, 100, 0]), 1);
    policy.offer(item(0, "normal", "a", now), now).unwrap();
    let first = policy.next(now).expect("a free unit");
    policy.release(&first, Duration::from_millis(100));
    offer_many(&mut policy, 1..101, "normal", now);
    let with_deadline = |id, deadline_ms| WorkItem {
        deadline: Some(now + Duration::from_millis(deadline_ms)),
        ..item(id, "normal", "a", now)
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
    policy.offer(item(0, "normal", "a", now), now).unwrap();
    let first = policy.next(now).expect("a free unit");
    policy.release(&first, Duration::from_millis(500));
    policy.set_capacity(1);
    offer_many(&mut policy, 1..5, "urgent", now);
    offer_many(&mut policy, 5..35, "normal", now);
    let with_deadline = WorkItem {
        deadline: Some(now + Duration::from_secs(10)),
        ..item(100, "normal", "a", now)
    };

    let offered = policy.offer(with_deadline, now);

    assert_eq!(offered, Ok(()));
}

#[test]
fn a_refusal_by_a_full_queue_says_that_the_item_did_not_run() {
    let now = Instant::now();
    let mut limits = limits([0, 0, 0]);
    limits
        .classes
        .entry("normal".into())
        .and_modify(|class| class.queue_max = 3);
    let mut policy = fair_share(limits, 1);
    offer_many(&mut policy, 0..3, "normal", now);

    let refusal = policy.offer(item(9, "normal", "a", now), now).unwrap_err();

    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    assert_eq!(refusal.execution, Execution::NotRun);
}

#[test]
fn queued_items_of_a_class_that_is_no_longer_configured_still_start() {
    let now = Instant::now();
    let mut policy = fair_share(limits([0, 0, 0]), 1);
    policy.offer(item(1, "late", "a", now), now).unwrap();

    policy.set_limits(Default::default());
    let started = policy.next(now);
    let refused = policy.offer(item(2, "late", "a", now), now);

    assert_eq!(started.map(|item| item.id), Some(1));
    assert!(refused.is_err());
}
