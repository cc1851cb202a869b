//! What the clocks of in-memory workers show at the start of an incarnation.

use std::time::Duration;

use rand::{rngs::StdRng, Rng, SeedableRng};

/// The latest time that a clock shows at its start.
const LATEST: Duration = Duration::from_secs(10_000);
/// Clocks that start near zero, or near the former incarnation's, are within this time of it: a little
/// more than the longest lease, so that a lease end on the former one may lie on either side.
const NEAR: Duration = Duration::from_secs(12);

/// What the clock of each next incarnation shows at its start.
#[derive(Clone, Debug)]
pub(super) enum StartAges {
    /// The same for all.
    Set(Duration),
    /// An arbitrary time, below or above the clock of the former incarnation.
    Drawn(Box<StdRng>),
}

impl StartAges {
    /// Returns ages that a seed determines.
    pub(super) fn drawn(seed: u64) -> Self {
        Self::Drawn(Box::new(StdRng::seed_from_u64(seed)))
    }

    /// Returns the age of a first incarnation.
    pub(super) fn first(&mut self) -> Duration {
        match self {
            Self::Set(age) => *age,
            Self::Drawn(random) => random.random_range(Duration::ZERO..LATEST),
        }
    }

    /// Returns the next age, where the clock of the former incarnation shows `former`.
    pub(super) fn next(&mut self, former: Duration) -> Duration {
        let random = match self {
            Self::Set(age) => return *age,
            Self::Drawn(random) => random,
        };
        match random.random_range(0..4) {
            0 => random.random_range(Duration::ZERO..NEAR),
            1 => random.random_range(former.saturating_sub(NEAR)..former + NEAR),
            2 => random.random_range(Duration::ZERO..=former),
            _ => random.random_range(Duration::ZERO..LATEST),
        }
    }
}
