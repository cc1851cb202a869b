//! Workers that are cut off after an extension of their lease that they carry out late.

use std::time::Duration;

use rand::rngs::StdRng;

use super::{
    rounds::{draw_ms, Rounds},
    CellFault,
};
use crate::soak::Disturbance;

/// Distinguishes the random stream of these faults from that of a seed's other faults.
const STREAM: u64 = 0x6578_7465_6e73_696f;
/// The distance between two rounds: each worker is cut off once in a round at most.
const ROUND: Duration = Duration::from_secs(18);
/// The share of workers that are cut off in a round.
const CUT_OFF_SHARE: f64 = 0.4;
/// The earliest and the latest time in a round at which extensions become late.
const LATE_AT_MS: (u64, u64) = (1_000, 4_000);
/// The shortest and the longest period in which they are, up to a few extensions.
const LATE_PERIOD_MS: (u64, u64) = (500, 2_500);
/// The shortest and the longest delay, up to the length of a lease: later ones find it lapsed.
const DELAY_MS: (u64, u64) = (2_000, 5_500);
/// The longest time from the end of that period to the cut.
const PAUSE_MAX_MS: u64 = 500;
/// The shortest and the longest cut, beyond the time after which tasks start elsewhere.
const CUT_DURATION_MS: (u64, u64) = (8_000, 11_000);

/// Draws late extensions and the cuts that follow them, in the rounds that begin before `total`.
pub(super) fn draw_late_extensions(
    seed: u64,
    total: Duration,
    workers: usize,
) -> Vec<Disturbance<CellFault>> {
    let rounds = Rounds {
        stream: STREAM,
        period: ROUND,
        share: CUT_OFF_SHARE,
        draw: draw_one,
    };
    rounds.draw_all(seed, total, workers)
}

/// Draws a period of late extensions and the cut that follows it.
fn draw_one(random: &mut StdRng, round_at: Duration, worker: usize) -> [Disturbance<CellFault>; 2] {
    let late = Disturbance {
        at: round_at + draw_ms(random, LATE_AT_MS),
        duration: draw_ms(random, LATE_PERIOD_MS),
        fault: CellFault::LateExtensions {
            worker,
            delay: draw_ms(random, DELAY_MS),
        },
    };
    let cut = Disturbance {
        at: late.at + late.duration + draw_ms(random, (0, PAUSE_MAX_MS)),
        duration: draw_ms(random, CUT_DURATION_MS),
        fault: CellFault::CutOff(worker),
    };
    [late, cut]
}
