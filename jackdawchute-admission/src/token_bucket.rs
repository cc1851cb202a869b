//! A baseline: a rate limit for each class in front of another policy.
//!
//! This is the ingress regulator of the paper on MASTH Proxy (multi-class admission-controlled
//! self-tuning HTTP proxy), which puts a token bucket before each class's queue.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_types::{ClassId, Refusal, RefusalReason};

use crate::{AdmissionPolicy, Limits, WorkItem, WorkItemId};

/// The rate limit of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// The units per second that refill the bucket.
    pub units_per_second: f64,
    /// The size of the bucket in units, which may be used at once.
    pub burst_units: f64,
}

/// Refuses items above the rate of their class and passes the others to an inner policy.
///
/// Classes without a rate are not limited.
///
/// ```
/// use std::collections::BTreeMap;
///
/// use jackdawchute_admission::{AdmissionPolicy, Fifo, TokenBucket};
///
/// let policy = TokenBucket::new(Box::new(Fifo::default()), BTreeMap::new());
/// assert!(policy.queued().is_empty());
/// ```
pub struct TokenBucket {
    inner: Box<dyn AdmissionPolicy>,
    buckets: BTreeMap<ClassId, Bucket>,
}

/// The units that a class may use now.
struct Bucket {
    rate: Rate,
    units: f64,
    refilled: Option<Instant>,
}

impl Bucket {
    /// Removes `cost` units, or returns the time until the bucket holds as many.
    fn take(&mut self, cost: f64, now: Instant) -> Result<(), Duration> {
        let elapsed = self
            .refilled
            .map(|refilled| now.saturating_duration_since(refilled));
        let gained = elapsed.unwrap_or_default().as_secs_f64() * self.rate.units_per_second;
        self.units = (self.units + gained).min(self.rate.burst_units);
        self.refilled = Some(now);
        if self.units < cost {
            let wait_seconds = (cost - self.units) / self.rate.units_per_second;
            return Err(Duration::try_from_secs_f64(wait_seconds).unwrap_or(Duration::MAX));
        }
        self.units -= cost;
        Ok(())
    }
}

impl TokenBucket {
    /// Creates a policy in front of `inner`, with a full bucket for each class in `rates`.
    pub fn new(inner: Box<dyn AdmissionPolicy>, rates: BTreeMap<ClassId, Rate>) -> Self {
        let bucket = |(class, rate): (ClassId, Rate)| {
            let bucket = Bucket {
                rate,
                units: rate.burst_units,
                refilled: None,
            };
            (class, bucket)
        };
        Self {
            inner,
            buckets: rates.into_iter().map(bucket).collect(),
        }
    }
}

impl AdmissionPolicy for TokenBucket {
    fn set_limits(&mut self, limits: Limits) {
        self.inner.set_limits(limits);
    }

    fn set_capacity(&mut self, units: u32) {
        self.inner.set_capacity(units);
    }

    fn offer(&mut self, item: WorkItem, now: Instant) -> Result<(), Refusal> {
        if let Some(bucket) = self.buckets.get_mut(&item.class) {
            if let Err(retry_after) = bucket.take(f64::from(item.cost), now) {
                let detail = format!("rate of class {}", item.class);
                let refusal = Refusal::not_run(RefusalReason::QuotaExceeded, detail);
                return Err(Refusal {
                    retry_after,
                    ..refusal
                });
            }
        }
        self.inner.offer(item, now)
    }

    fn next(&mut self, now: Instant) -> Option<WorkItem> {
        self.inner.next(now)
    }

    fn expire(&mut self, now: Instant) -> Vec<(WorkItem, Refusal)> {
        self.inner.expire(now)
    }

    fn cancel(&mut self, id: WorkItemId) -> Option<WorkItem> {
        self.inner.cancel(id)
    }

    fn release(&mut self, item: &WorkItem, service_time: Duration) {
        self.inner.release(item, service_time);
    }

    fn queued(&self) -> BTreeMap<ClassId, usize> {
        self.inner.queued()
    }
}
