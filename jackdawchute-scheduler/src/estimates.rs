//! What the scheduler learns of run times.

use std::{collections::HashMap, time::Duration};

use jackdawchute_types::QueueId;

/// How much of what was learnt is kept with each further task; a few hundred tasks count.
const RETENTION: f64 = 0.995;
/// The declared seconds that a queue's declarations are believed for before anything is measured.
const PRIOR_SECONDS: f64 = 30.0;

/// The ratio of two sums, of which the latest summands count most.
#[derive(Clone, Copy, Debug)]
struct Ratio {
    of: f64,
    to: f64,
}

impl Ratio {
    fn add(&mut self, of: f64, to: f64) {
        self.of = self.of * RETENTION + of;
        self.to = self.to * RETENTION + to;
    }

    fn value(&self) -> f64 {
        self.of / self.to
    }
}

/// How long tasks really take against their declared time, by queue.
///
/// Declarations of single tasks are far off in both directions; the ratio of sums, unlike a mean
/// of ratios, is not carried away by a few that are declared much too short.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    /// Measured to declared seconds.
    ratios: HashMap<QueueId, Ratio>,
}

impl RunTimes {
    pub(crate) fn record(&mut self, queue: &QueueId, declared: Duration, measured: Duration) {
        if declared.is_zero() {
            return;
        }
        let ratio = self.ratios.entry(queue.clone()).or_insert(Ratio {
            of: PRIOR_SECONDS,
            to: PRIOR_SECONDS,
        });
        ratio.add(measured.as_secs_f64(), declared.as_secs_f64());
    }

    fn ratio(&self, queue: &QueueId) -> f64 {
        self.ratios.get(queue).map_or(1.0, Ratio::value)
    }

    /// The measured time as a share of the declared one.
    pub(crate) fn percent(&self, queue: &QueueId) -> u64 {
        (self.ratio(queue) * 100.0) as u64
    }

    pub(crate) fn expected(&self, queue: &QueueId, declared: Duration) -> Duration {
        declared.mul_f64(self.ratio(queue).max(0.1))
    }
}

/// The share of workers that advisors are taken to allow before any has answered.
const ALLOWED_SHARE_PRIOR: f64 = 0.5;
/// How many workers that belief counts as.
const ALLOWED_PRIOR_WORKERS: f64 = 50.0;
/// The least share that is expected, however few were allowed of late; bounds what is asked.
const ALLOWED_SHARE_MIN: f64 = 0.05;

/// How many of the workers that it is asked about an advisor allows, by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct AllowedShares {
    /// Allowed to named workers.
    ratios: HashMap<QueueId, Ratio>,
}

impl AllowedShares {
    pub(crate) fn record(&mut self, queue: &QueueId, named: usize, allowed: usize) {
        let ratio = self.ratios.entry(queue.clone()).or_insert(Ratio {
            of: ALLOWED_PRIOR_WORKERS * ALLOWED_SHARE_PRIOR,
            to: ALLOWED_PRIOR_WORKERS,
        });
        ratio.add(allowed as f64, named as f64);
    }

    pub(crate) fn expected(&self, queue: &QueueId) -> f64 {
        let ratio = self.ratios.get(queue);
        ratio
            .map_or(ALLOWED_SHARE_PRIOR, Ratio::value)
            .max(ALLOWED_SHARE_MIN)
    }
}
