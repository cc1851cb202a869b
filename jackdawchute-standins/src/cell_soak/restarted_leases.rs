//! Workers that crash and are back under their ids at once, with orders to their former incarnations,
//! before the leader ends and they are cut off.

use std::time::Duration;

use rand::{rngs::StdRng, Rng, SeedableRng};

use super::{rounds::draw_ms, CellFault, LeaderFault};
use crate::{cell::OrderKind, soak::Disturbance};

/// Distinguishes the random stream of these faults from that of a seed's load.
const STREAM: u64 = 0x666f_726d_6572;
/// The distance between two rounds: all faults of one have ended before the next.
const ROUND: Duration = Duration::from_secs(24);
/// The share of workers that crash in a round.
const CRASHED_SHARE: f64 = 0.4;
/// The earliest and the latest time in a round of a worker's first crash.
const CRASH_AT_MS: (u64, u64) = (5_500, 5_900);
/// The shortest and the longest time from a crash until the worker is back.
const DOWN_MS: (u64, u64) = (200, 800);
/// The share of workers that crash once more, and the time from being back until then.
const AGAIN_SHARE: f64 = 0.15;
const UP_MS: (u64, u64) = (300, 700);
/// The share of crashes before which orders of a kind are left to the next incarnation, for how long,
/// and the kinds: only an extension gives that one a lease.
const HELD_SHARE: f64 = 0.9;
const HELD_MS: (u64, u64) = (1_000, 2_800);
const HELD_KINDS: [OrderKind; 8] = [
    OrderKind::Extension,
    OrderKind::Extension,
    OrderKind::Extension,
    OrderKind::Extension,
    OrderKind::Extension,
    OrderKind::Extension,
    OrderKind::Renewal,
    OrderKind::Start,
];
/// The shortest and the longest time from the last worker's being back until the leader's fault.
const LEADER_AFTER_MS: (u64, u64) = (300, 900);
/// The shortest time from the last crash until then, in which the leader saves that orders got no
/// answer: a successor learns of them from what was saved alone.
const SAVED_AFTER: Duration = Duration::from_millis(900);
/// The shortest and the longest fault of a leader.
const LEADER_FAULT_MS: (u64, u64) = (300, 4_000);
/// The share of rounds in which the successor has a fault too, and the time until then.
const SUCCESSOR_SHARE: f64 = 0.15;
const SUCCESSOR_AFTER_MS: (u64, u64) = (1_200, 4_000);
/// The share of the workers that crashed and are cut off; the first and the last cut, counted from
/// somewhat before the leader's fault.
const CUT_OFF_SHARE: f64 = 0.9;
const CUT_OFF_BEFORE: Duration = Duration::from_millis(100);
const CUT_OFF_AFTER_MS: (u64, u64) = (0, 700);
/// The shortest and the longest cut, beyond the time after which tasks start elsewhere.
const CUT_OFF_MS: (u64, u64) = (7_000, 12_000);

/// Draws the faults of the rounds that begin before `total`.
pub(super) fn draw_restarted_leases(
    seed: u64,
    total: Duration,
    workers: usize,
) -> Vec<Disturbance<CellFault>> {
    let mut random = StdRng::seed_from_u64(seed ^ STREAM);
    let mut drawn = Vec::new();
    let mut round_at = Duration::ZERO;
    while round_at < total {
        draw_round(&mut random, round_at, workers, &mut drawn);
        round_at += ROUND;
    }
    drawn
}

/// Draws the crashes of a round, the leader's fault after them, and the cuts.
fn draw_round(
    random: &mut StdRng,
    round_at: Duration,
    workers: usize,
    drawn: &mut Vec<Disturbance<CellFault>>,
) {
    let (mut crashed, mut leader_at) = (Vec::new(), Duration::ZERO);
    let leader_after = draw_ms(random, LEADER_AFTER_MS);
    for worker in 0..workers {
        if !random.random_bool(CRASHED_SHARE) {
            continue;
        }
        crashed.push(worker);
        let mut crash_at = round_at + draw_ms(random, CRASH_AT_MS);
        let mut back_at = draw_crash(random, worker, (round_at, crash_at), drawn);
        if random.random_bool(AGAIN_SHARE) {
            crash_at = back_at + draw_ms(random, UP_MS);
            back_at = draw_crash(random, worker, (back_at, crash_at), drawn);
        }
        leader_at = leader_at
            .max(back_at + leader_after)
            .max(crash_at + SAVED_AFTER);
    }
    if crashed.is_empty() {
        return;
    }
    drawn.push(draw_leader_fault(random, leader_at));
    if random.random_bool(SUCCESSOR_SHARE) {
        let at = leader_at + draw_ms(random, SUCCESSOR_AFTER_MS);
        drawn.push(draw_leader_fault(random, at));
    }
    for worker in crashed {
        if random.random_bool(CUT_OFF_SHARE) {
            drawn.push(Disturbance {
                at: leader_at - CUT_OFF_BEFORE + draw_ms(random, CUT_OFF_AFTER_MS),
                duration: draw_ms(random, CUT_OFF_MS),
                fault: CellFault::CutOff(worker),
            });
        }
    }
}

/// Draws a crash of a worker that is up from one time on and crashes at another and, before it, what
/// is left to the next incarnation; returns when the worker is back.
fn draw_crash(
    random: &mut StdRng,
    worker: usize,
    (up_at, crash_at): (Duration, Duration),
    drawn: &mut Vec<Disturbance<CellFault>>,
) -> Duration {
    if random.random_bool(HELD_SHARE) {
        let kind = HELD_KINDS[random.random_range(0..HELD_KINDS.len())];
        let duration = draw_ms(random, HELD_MS).min(crash_at - up_at);
        drawn.push(Disturbance {
            at: crash_at - duration,
            duration,
            fault: CellFault::HeldOrders(worker, kind),
        });
    }
    let down = draw_ms(random, DOWN_MS);
    drawn.push(Disturbance {
        at: crash_at,
        duration: down,
        fault: CellFault::WorkerCrash(worker),
    });
    crash_at + down
}

fn draw_leader_fault(random: &mut StdRng, at: Duration) -> Disturbance<CellFault> {
    use LeaderFault::{Kill, Pause, Terminate};
    // After the others a successor waits longer, nearly until the longest lease has lapsed.
    let faults = [Kill, Terminate, Terminate, Terminate, Terminate, Pause];
    let fault = faults[random.random_range(0..faults.len())];
    Disturbance {
        at,
        duration: draw_ms(random, LEADER_FAULT_MS),
        fault: CellFault::Leader(fault),
    }
}
