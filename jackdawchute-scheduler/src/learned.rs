//! What the scheduler learns of run times.

use std::{collections::HashMap, time::Duration};

use jackdawchute_types::QueueId;

/// How much of what was learnt is kept with each further task; a few hundred tasks count.
const RETENTION: f64 = 0.995;
/// The declared seconds that a queue's declarations are believed for before anything is measured.
const PRIOR_SECONDS: f64 = 30.0;

/// Declared and measured seconds, the latest counting most.
#[derive(Clone, Copy, Debug)]
struct Sums {
    declared_seconds: f64,
    measured_seconds: f64,
}

/// How long tasks really take against their declared time, by queue.
///
/// Declarations of single tasks are far off in both directions; the ratio of sums, unlike a mean
/// of ratios, is not carried away by a few that are declared much too short.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    sums: HashMap<QueueId, Sums>,
}

impl RunTimes {
    pub(crate) fn record(&mut self, queue: &QueueId, declared: Duration, measured: Duration) {
        if declared.is_zero() {
            return;
        }
        let sums = self.sums.entry(queue.clone()).or_insert(Sums {
            declared_seconds: PRIOR_SECONDS,
            measured_seconds: PRIOR_SECONDS,
        });
        sums.declared_seconds = sums.declared_seconds * RETENTION + declared.as_secs_f64();
        sums.measured_seconds = sums.measured_seconds * RETENTION + measured.as_secs_f64();
    }

    fn ratio(&self, queue: &QueueId) -> f64 {
        let sums = self.sums.get(queue);
        sums.map_or(1.0, |sums| sums.measured_seconds / sums.declared_seconds)
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

/// How many of the workers that it is asked about an advisor allows, by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct AllowedShares {
    /// Workers that were named, and those that were allowed, the latest counting most.
    counts: HashMap<QueueId, (f64, f64)>,
}

impl AllowedShares {
    pub(crate) fn record(&mut self, queue: &QueueId, named: usize, allowed: usize) {
        let prior = (
            ALLOWED_PRIOR_WORKERS,
            ALLOWED_PRIOR_WORKERS * ALLOWED_SHARE_PRIOR,
        );
        let counts = self.counts.entry(queue.clone()).or_insert(prior);
        counts.0 = counts.0 * RETENTION + named as f64;
        counts.1 = counts.1 * RETENTION + allowed as f64;
    }

    pub(crate) fn expected(&self, queue: &QueueId) -> f64 {
        let counts = self.counts.get(queue);
        let share = counts.map_or(ALLOWED_SHARE_PRIOR, |(named, allowed)| allowed / named);
        share.max(0.05)
    }
}
