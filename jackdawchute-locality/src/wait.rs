//! Whether a unit starts far away or waits.

use std::time::Duration;

use crate::NearRoom;

/// The longest wait of a unit.
pub const WAIT_MAX: Duration = Duration::from_millis(2_000);
/// The number of ends of a wait that are compared.
const STEPS: u32 = 20;
/// The gain, as a share of what is lost far away, below which a wait is not worth its risk.
const GAIN_SHARE_MIN: f64 = 0.1;
/// The least gain for which a unit waits.
const GAIN_MIN: Duration = Duration::from_millis(50);

/// A task or a gang that could start far away now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unit {
    /// The expected run time at a near place.
    pub near_time: Duration,
    /// The expected run time at the place that has room now.
    pub far_time: Duration,
    /// How long the unit can wait and still end in time if it starts near; `None` if it is late
    /// anyway.
    pub slack: Option<Duration>,
    /// The longest wait that the rules leave, such as the time for which nothing of a job may run.
    pub wait_max: Duration,
}

/// What a unit without near room does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It starts at the place that has room.
    StartHere,
    /// It waits for near room.
    Wait {
        /// The longest wait.
        at_most: Duration,
        /// The run and waiting time that the wait is expected to save.
        gain: Duration,
    },
}

/// Decides whether a unit starts far away or waits, and for how long at most.
///
/// `rooms` are the near places, any of which will do. The wait that saves the most time on average
/// is chosen: one that is paid saves what is lost far away without the time waited, and one that is
/// not costs all of it.
///
/// ```
/// use std::time::Duration;
/// use jackdawchute_locality::{decide, Decision, NearRoom, Unit};
///
/// let unit = Unit {
///     near_time: Duration::from_secs(6),
///     far_time: Duration::from_secs(12),
///     slack: Some(Duration::from_secs(8)),
///     wait_max: Duration::from_secs(2),
/// };
/// let soon = NearRoom { expected: vec![Duration::from_millis(500)], needed: 1 };
///
/// assert!(matches!(decide(&unit, &[soon]), Decision::Wait { .. }));
/// assert_eq!(decide(&unit, &[]), Decision::StartHere);
/// ```
pub fn decide(unit: &Unit, rooms: &[NearRoom]) -> Decision {
    let lost_far = unit.far_time.saturating_sub(unit.near_time);
    let longest = lost_far
        .min(slack_for_wait(unit.slack, lost_far))
        .min(unit.wait_max)
        .min(WAIT_MAX);
    if rooms.is_empty() || longest.is_zero() {
        return Decision::StartHere;
    }
    let step = longest / STEPS;
    let lost_seconds = lost_far.as_secs_f64();
    let mut paid_before = 0.0;
    let mut gain_of_paid = 0.0;
    let mut best = (Duration::ZERO, 0.0);
    for end in (1..=STEPS).map(|steps| step * steps) {
        let paid = chance_of_any(rooms, end).max(paid_before);
        // Room that comes within a step is met at its end.
        let end_seconds = end.as_secs_f64();
        gain_of_paid += (paid - paid_before) * (lost_seconds - end_seconds);
        paid_before = paid;
        let gain = gain_of_paid - (1.0 - paid) * end_seconds;
        if gain > best.1 {
            best = (end, gain);
        }
    }
    let (at_most, gain) = best;
    let gain_min = GAIN_MIN.as_secs_f64().max(lost_seconds * GAIN_SHARE_MIN);
    if gain < gain_min {
        return Decision::StartHere;
    }
    Decision::Wait {
        at_most,
        gain: Duration::from_secs_f64(gain),
    }
}

/// Returns for how long a wait changes nothing about whether the unit ends in time, unless it is
/// paid: a unit that is only in time near has nothing to lose by a wait up to its slack.
fn slack_for_wait(slack: Option<Duration>, lost_far: Duration) -> Duration {
    match slack {
        Some(slack) if slack > lost_far => slack - lost_far,
        Some(slack) => slack,
        None => WAIT_MAX,
    }
}

fn chance_of_any(rooms: &[NearRoom], time: Duration) -> f64 {
    let none: f64 = rooms
        .iter()
        .map(|room| 1.0 - room.chance_within(time))
        .product();
    1.0 - none
}
