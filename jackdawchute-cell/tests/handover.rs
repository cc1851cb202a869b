//! A leader offers its epoch where a takeover helps, and keeps it where the load is the cause.

use std::time::{Duration, Instant};

use jackdawchute_cell::{HandoverPolicy, LeaderFitness, OfferReason};

const TICK: Duration = Duration::from_millis(40);

fn fitness(processor_millicores: u64, lag_ms: u64) -> LeaderFitness {
    LeaderFitness {
        processor_millicores,
        lag: Duration::from_millis(lag_ms),
    }
}

/// Ticks a leader of a cell for `duration` beside an instance that does not lag; returns when it
/// first offers its epoch.
fn first_offer(
    policy: &mut HandoverPolicy,
    own: LeaderFitness,
    workers: usize,
    from: Instant,
    duration: Duration,
) -> Option<(Duration, OfferReason)> {
    let other = fitness(own.processor_millicores, 0);
    let mut elapsed = Duration::ZERO;
    while elapsed < duration {
        let now = from + elapsed;
        policy.record_lag(own.lag, workers, false, now);
        if let Some(reason) = policy.offer(&own, &other, workers, now) {
            return Some((elapsed, reason));
        }
        elapsed += TICK;
    }
    None
}

#[test]
fn a_burst_that_is_shorter_than_a_takeover_causes_no_offer() {
    let now = Instant::now();
    let mut policy = HandoverPolicy::new(0, now);

    let offer = first_offer(
        &mut policy,
        fitness(500, 60),
        1_100,
        now,
        Duration::from_secs(1),
    );

    assert_eq!(offer, None);
}

/// At 1,100 workers a takeover stops the cell for more than a second.
#[test]
fn a_lag_that_costs_less_than_a_takeover_causes_no_offer() {
    let now = Instant::now();
    let minute = Duration::from_secs(60);

    let offer_in_large_cell = first_offer(
        &mut HandoverPolicy::new(0, now),
        fitness(500, 60),
        1_100,
        now,
        minute,
    );
    let offer_in_small_cell = first_offer(
        &mut HandoverPolicy::new(0, now),
        fitness(500, 60),
        48,
        now,
        minute,
    );

    assert_eq!(offer_in_large_cell, None);
    assert!(offer_in_small_cell.is_some());
}

#[test]
fn a_leader_on_a_slow_machine_offers_its_epoch() {
    let now = Instant::now();
    let mut policy = HandoverPolicy::new(0, now);

    let offer = first_offer(
        &mut policy,
        fitness(250, 60),
        48,
        now,
        Duration::from_secs(5),
    );

    let (after, reason) = offer.expect("the other instance does not lag");
    assert!(after < Duration::from_secs(1), "{after:?}");
    assert_eq!(reason, OfferReason::LagsLess);
}

/// Under a load that is too high for any instance, each successor lags as well. The epoch moved
/// every 1.2 to 1.9 s then, and hardly any work was done.
#[test]
fn an_epoch_moves_rarely_under_a_load_that_is_too_high_for_every_instance() {
    let began_at = Instant::now();
    let minute = Duration::from_secs(60);
    let mut epochs = 1;
    let mut elapsed = Duration::ZERO;
    let mut policy = HandoverPolicy::new(0, began_at);

    while let Some((after, _)) = first_offer(
        &mut policy,
        fitness(500, 300),
        1_100,
        began_at + elapsed,
        minute.saturating_sub(elapsed),
    ) {
        elapsed += after;
        epochs += 1;
        policy = HandoverPolicy::new(policy.lag_takeovers() + 1, began_at + elapsed);
    }

    assert!(epochs <= 5, "{epochs} epochs in a minute");
}

#[test]
fn a_much_stronger_instance_is_offered_the_epoch_whatever_happened_before() {
    let now = Instant::now();
    let mut policy = HandoverPolicy::new(3, now);

    let offer = policy.offer(&fitness(120, 80), &fitness(500, 0), 1_100, now);

    assert_eq!(offer, Some(OfferReason::Stronger));
}

#[test]
fn a_weaker_instance_is_never_offered_the_epoch_for_lag() {
    let now = Instant::now();
    let mut policy = HandoverPolicy::new(0, now);
    let own = fitness(500, 300);

    policy.record_lag(own.lag, 48, false, now);
    let later = now + Duration::from_secs(100);
    let offer = policy.offer(&own, &fitness(250, 0), 48, later);

    assert_eq!(offer, None);
}

#[test]
fn lag_from_the_first_answers_of_workers_does_not_count() {
    let now = Instant::now();
    let mut policy = HandoverPolicy::new(0, now);
    let own = fitness(500, 300);

    policy.record_lag(own.lag, 48, true, now);
    let later = now + Duration::from_secs(2);
    policy.record_lag(own.lag, 48, false, later);
    let offer = policy.offer(&own, &fitness(500, 0), 48, later);

    assert_eq!(offer, None);
}
