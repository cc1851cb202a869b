//! Reserves advisors for short requests, by their measured load.
//!
//! In bursts of urgent jobs, requests that take milliseconds must not wait behind those that take
//! half a second. Reserved advisors that are idle, however, are not available to gangs.

use std::time::Duration;

/// The longest expected time of a short request; urgent jobs have a second to spare.
pub const SHORT_REQUEST_MAX: Duration = Duration::from_millis(120);
/// The weight of a new measurement in the smoothed load; with ticks of 40 ms, about the last half
/// second counts.
const SMOOTHING: f64 = 0.1;
/// The ratio of reserved advisors to busy ones. Requests of equal length wait for a few
/// milliseconds at such a load.
const HEADROOM: f64 = 1.8;

/// The measured load of short advice requests.
#[derive(Clone, Debug, Default)]
pub struct ShortRequestLoad {
    /// The expected time of all short requests since the last tick.
    recorded: Duration,
    /// The number of advisors that short requests keep busy, smoothed.
    busy: f64,
}

impl ShortRequestLoad {
    /// Records short requests that are expected to take `expected` together.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut load = jackdawchute_cell::ShortRequestLoad::default();
    /// load.record(Duration::from_millis(20));
    /// load.tick(Duration::from_millis(40));
    /// assert_eq!(load.reserved(10), 1);
    /// ```
    pub fn record(&mut self, expected: Duration) {
        self.recorded += expected;
    }

    /// Updates the smoothed load with the requests recorded in the last `elapsed`.
    pub fn tick(&mut self, elapsed: Duration) {
        if elapsed.is_zero() {
            return;
        }
        let busy = std::mem::take(&mut self.recorded).as_secs_f64() / elapsed.as_secs_f64();
        self.busy += (busy - self.busy) * SMOOTHING;
    }

    /// Returns how many of `advisors` are reserved for short requests: half of them at most.
    ///
    /// ```
    /// assert_eq!(jackdawchute_cell::ShortRequestLoad::default().reserved(10), 0);
    /// ```
    pub fn reserved(&self, advisors: usize) -> usize {
        ((self.busy * HEADROOM).ceil() as usize).min(advisors / 2)
    }
}
