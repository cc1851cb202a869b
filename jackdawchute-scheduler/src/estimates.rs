//! The estimate of how many workers advisors allow, from their answers.

use std::collections::HashMap;

use jackdawchute_types::QueueId;

/// The factor by which each new measurement reduces the weight of all earlier ones, so that the
/// last few hundred count.
const DECAY_FACTOR: f64 = 0.995;

/// The ratio of two exponentially weighted sums, in which the latest values count most.
#[derive(Clone, Copy, Debug)]
struct Ratio {
    numerator: f64,
    denominator: f64,
}

impl Ratio {
    fn add(&mut self, numerator: f64, denominator: f64) {
        self.numerator = self.numerator * DECAY_FACTOR + numerator;
        self.denominator = self.denominator * DECAY_FACTOR + denominator;
    }

    fn value(&self) -> f64 {
        self.numerator / self.denominator
    }
}

/// The share of workers that advisors are assumed to allow before any has answered.
const ALLOWED_SHARE_PRIOR: f64 = 0.5;
/// The weight of that assumption, in workers.
const ALLOWED_PRIOR_WORKERS: f64 = 50.0;
/// The lowest share that is expected, however few workers were allowed lately; it limits how many
/// workers a request names.
const ALLOWED_SHARE_MIN: f64 = 0.05;

/// The share of the workers named in advice requests that advisors allow, by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct AllowedShares {
    /// Allowed workers over named workers.
    ratios: HashMap<QueueId, Ratio>,
}

impl AllowedShares {
    /// Records an advisor's answer, which allowed some of the named workers.
    pub(crate) fn record(&mut self, queue: &QueueId, named: usize, allowed: usize) {
        let ratio = self.ratios.entry(queue.clone()).or_insert(Ratio {
            numerator: ALLOWED_PRIOR_WORKERS * ALLOWED_SHARE_PRIOR,
            denominator: ALLOWED_PRIOR_WORKERS,
        });
        ratio.add(allowed as f64, named as f64);
    }

    /// Returns the share of named workers that advisors are expected to allow.
    pub(crate) fn expected(&self, queue: &QueueId) -> f64 {
        let ratio = self.ratios.get(queue);
        ratio
            .map_or(ALLOWED_SHARE_PRIOR, Ratio::value)
            .max(ALLOWED_SHARE_MIN)
    }
}
