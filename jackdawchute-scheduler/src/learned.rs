//! What the scheduler learns of run times.

use std::{collections::HashMap, time::Duration};

use jackdawchute_types::QueueId;

/// The weight of a new measurement.
const GAIN: f64 = 0.05;

/// How long tasks really take against their declared time, by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    ratios: HashMap<QueueId, f64>,
}

impl RunTimes {
    pub(crate) fn record(&mut self, queue: &QueueId, declared: Duration, measured: Duration) {
        if declared.is_zero() {
            return;
        }
        let ratio = measured.as_secs_f64() / declared.as_secs_f64();
        let known = self.ratios.entry(queue.clone()).or_insert(1.0);
        *known += GAIN * (ratio - *known);
    }

    pub(crate) fn expected(&self, queue: &QueueId, declared: Duration) -> Duration {
        declared.mul_f64(self.ratios.get(queue).copied().unwrap_or(1.0).max(0.1))
    }
}
