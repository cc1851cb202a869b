//! Random arrival times.

use std::time::Duration;

use rand::{rngs::StdRng, Rng, SeedableRng};

/// The arrival times of a Poisson process, since its start; the same seed gives the same times.
///
/// ```
/// use jackdawchute_standins::load::Arrivals;
///
/// let count = Arrivals::new(7, 100.0).take_while(|at| at.as_secs() < 10).count();
/// assert!((900..1_100).contains(&count));
/// ```
#[derive(Clone, Debug)]
pub struct Arrivals {
    generator: StdRng,
    rate_per_second: f64,
    now: Duration,
}

impl Arrivals {
    /// Creates arrivals at a mean rate above 0.
    pub fn new(seed: u64, rate_per_second: f64) -> Self {
        Self {
            generator: StdRng::seed_from_u64(seed),
            rate_per_second: rate_per_second.max(f64::MIN_POSITIVE),
            now: Duration::ZERO,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let uniform: f64 = self.generator.random();
        let gap_seconds = -(1.0 - uniform).ln() / self.rate_per_second;
        let gap = Duration::try_from_secs_f64(gap_seconds).ok()?;
        self.now = self.now.checked_add(gap)?;
        Some(self.now)
    }
}
