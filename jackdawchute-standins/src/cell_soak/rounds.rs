//! Faults of workers that come in rounds, beside a seed's other faults.

use std::time::Duration;

use rand::{rngs::StdRng, Rng, SeedableRng};

use super::CellFault;
use crate::soak::Disturbance;

/// What is drawn in each round, and for which share of the workers.
pub(super) struct Rounds {
    /// Distinguishes the random stream from that of a seed's other faults.
    pub(super) stream: u64,
    /// The distance between two rounds.
    pub(super) period: Duration,
    /// The share of workers that have faults in a round.
    pub(super) share: f64,
    /// Draws the faults of a worker in the round that begins at a time.
    pub(super) draw: fn(&mut StdRng, Duration, usize) -> [Disturbance<CellFault>; 2],
}

impl Rounds {
    /// Draws the faults of the rounds that begin before `total`.
    pub(super) fn draw_all(
        &self,
        seed: u64,
        total: Duration,
        workers: usize,
    ) -> Vec<Disturbance<CellFault>> {
        let mut random = StdRng::seed_from_u64(seed ^ self.stream);
        let mut drawn = Vec::new();
        let mut round_at = Duration::ZERO;
        while round_at < total {
            for worker in 0..workers {
                if random.random_bool(self.share) {
                    drawn.extend((self.draw)(&mut random, round_at, worker));
                }
            }
            round_at += self.period;
        }
        drawn
    }
}

/// Draws a time between two limits in milliseconds.
pub(super) fn draw_ms(random: &mut StdRng, (shortest, longest): (u64, u64)) -> Duration {
    Duration::from_millis(random.random_range(shortest..=longest))
}
