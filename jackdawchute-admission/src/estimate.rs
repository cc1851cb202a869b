//! Estimates from measured service times.

use std::time::Duration;

/// A new measurement has the weight 1 / `WEIGHT_DIVISOR` in the mean.
const WEIGHT_DIVISOR: u32 = 16;

/// An exponentially weighted moving average of service times.
///
/// ```
/// use std::time::Duration;
/// use jackdawchute_admission::ServiceTime;
///
/// let mut service_time = ServiceTime::default();
/// assert_eq!(service_time.mean(), None);
/// service_time.record(Duration::from_millis(20));
/// assert_eq!(service_time.mean(), Some(Duration::from_millis(20)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceTime {
    mean: Option<Duration>,
}

impl ServiceTime {
    /// Adds a measurement; a zero duration is ignored.
    pub fn record(&mut self, service_time: Duration) {
        if service_time.is_zero() {
            return;
        }
        self.mean = Some(match self.mean {
            None => service_time,
            Some(mean) => (mean * (WEIGHT_DIVISOR - 1) + service_time) / WEIGHT_DIVISOR,
        });
    }

    /// Returns the mean, or `None` before the first measurement.
    pub fn mean(&self) -> Option<Duration> {
        self.mean
    }

    /// Returns how long `ahead` items of one unit take to finish when `units` run at a time, or
    /// `None` before the first measurement.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_admission::ServiceTime;
    ///
    /// let mut service_time = ServiceTime::default();
    /// service_time.record(Duration::from_millis(100));
    /// assert_eq!(service_time.drain_time(50, 10), Some(Duration::from_millis(500)));
    /// ```
    pub fn drain_time(&self, ahead: u32, units: u32) -> Option<Duration> {
        Some(self.mean? * ahead / units.max(1))
    }
}
