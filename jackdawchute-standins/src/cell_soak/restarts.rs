//! Workers that restart while they are cut off, after orders that they carry out late.

use std::time::Duration;

use rand::{rngs::StdRng, Rng};

use super::{
    rounds::{draw_ms, Rounds},
    CellFault,
};
use crate::soak::Disturbance;

/// Distinguishes the random stream of the restarts from that of a seed's other faults.
const STREAM: u64 = 0x7265_7374_6172_7473;
/// The distance between two rounds of restarts: each worker restarts once in a round at most, and no
/// order of a round is under way in the next.
const ROUND: Duration = Duration::from_secs(30);
/// The share of workers that restart in a round.
const RESTARTED_SHARE: f64 = 0.5;
/// The earliest and the latest time in a round at which a worker's orders become late.
const LATE_AT_MS: (u64, u64) = (1_000, 3_000);
/// The shortest and the longest period in which they become late. A start whose first copy was sent
/// in it is repeated after it, and not given up.
const LATE_PERIOD_MS: (u64, u64) = (700, 1_500);
/// The share of such periods in which lease renewals are late too.
const RENEWALS_LATE_SHARE: f64 = 0.3;
/// The longest time from the end of that period to the restart, in which a repeated order may be
/// answered.
const PAUSE_MAX_MS: u64 = 1_000;
/// The time in a round in which other faults may begin: after the restarts, and before they could
/// replace the leader in the next round. A leader that had heard a worker after its predecessor's
/// order could not know that the next incarnation may carry this order out.
const OTHER_FAULTS_MS: (u64, u64) = (5_500, 22_000);
/// The shortest and the longest delay of a late order, as the users' platform has them.
const ORDER_DELAY_MS: (u64, u64) = (2_000, 12_000);
/// The share of cuts that end after late orders were carried out, and after the tasks of the silent
/// worker started again.
const LONG_CUTS_SHARE: f64 = 0.75;
/// How much longer than the delay of late orders such a cut is.
const LONG_CUT_MARGIN: Duration = Duration::from_millis(1_500);
/// The shortest of these cuts.
const LONG_CUT_MIN: Duration = Duration::from_millis(8_000);
/// The shortest and the longest of the other cuts, which may end before.
const CUT_DURATION_MS: (u64, u64) = (3_000, 9_000);

/// Returns whether a fault other than a restart may begin at this time.
pub(super) fn may_begin(at: Duration) -> bool {
    let (first_ms, last_ms) = OTHER_FAULTS_MS;
    let in_round_ms = at.as_millis() % ROUND.as_millis();
    (u128::from(first_ms)..u128::from(last_ms)).contains(&in_round_ms)
}

/// Draws the restarts in the rounds that begin before `total`.
pub(super) fn draw_restarts(
    seed: u64,
    total: Duration,
    workers: usize,
) -> Vec<Disturbance<CellFault>> {
    let rounds = Rounds {
        stream: STREAM,
        period: ROUND,
        share: RESTARTED_SHARE,
        draw: draw_restart,
    };
    rounds.draw_all(seed, total, workers)
}

/// Draws a period of late orders and the restart that follows it.
fn draw_restart(
    random: &mut StdRng,
    round_at: Duration,
    worker: usize,
) -> [Disturbance<CellFault>; 2] {
    let delay = draw_ms(random, ORDER_DELAY_MS);
    let late_orders = Disturbance {
        at: round_at + draw_ms(random, LATE_AT_MS),
        duration: draw_ms(random, LATE_PERIOD_MS),
        fault: CellFault::LateOrders {
            worker,
            delay,
            renewals: random.random_bool(RENEWALS_LATE_SHARE),
        },
    };
    let pause = draw_ms(random, (0, PAUSE_MAX_MS));
    let cut = if random.random_bool(LONG_CUTS_SHARE) {
        LONG_CUT_MIN.max(delay + LONG_CUT_MARGIN)
    } else {
        draw_ms(random, CUT_DURATION_MS)
    };
    let restart = Disturbance {
        at: late_orders.at + late_orders.duration + pause,
        duration: cut,
        fault: CellFault::RestartCutOff(worker),
    };
    [late_orders, restart]
}
