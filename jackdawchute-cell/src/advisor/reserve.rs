//! How many advisors are kept for short questions.
//!
//! Answers bursts of urgent jobs: their questions take milliseconds and must not wait behind those
//! that take half a second, yet advisors that are kept for them and stand idle are lost to gangs.

use std::time::Duration;

/// A question that takes longer is a long one; urgent jobs have a second to spare.
const SHORT_REQUEST: Duration = Duration::from_millis(120);
/// How much of the load that was measured last counts; with a tick of 40 ms, half a second counts.
const GAIN: f64 = 0.1;
/// How many times the load the advisors are that are kept for it. Questions of equal length wait
/// for a few milliseconds at such a load.
const HEADROOM: f64 = 1.8;

/// Measures the load of short questions.
#[derive(Clone, Debug, Default)]
pub struct ShortRequestLoad {
    /// The time of the questions since the last tick.
    recorded: Duration,
    /// How many advisors short questions keep busy, smoothed.
    busy: f64,
}

impl ShortRequestLoad {
    /// Takes note of a short question that takes `expected`.
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

    /// Lets `elapsed` pass.
    pub fn tick(&mut self, elapsed: Duration) {
        if elapsed.is_zero() {
            return;
        }
        let busy = std::mem::take(&mut self.recorded).as_secs_f64() / elapsed.as_secs_f64();
        self.busy += (busy - self.busy) * GAIN;
    }

    /// How many of so many advisors a question passes over: a long one those that are kept for short
    /// ones, a short one none. Short ones are counted.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut load = jackdawchute_cell::ShortRequestLoad::default();
    /// assert_eq!(load.reserved_against(Duration::from_millis(20), 10), 0);
    /// load.tick(Duration::from_millis(40));
    /// assert_eq!(load.reserved_against(Duration::from_millis(700), 10), 1);
    /// ```
    pub fn reserved_against(&mut self, expected: Duration, advisors: usize) -> usize {
        if expected > SHORT_REQUEST {
            return self.reserved(advisors);
        }
        self.record(expected);
        0
    }

    /// How many of so many advisors are kept for short questions; half of them at most.
    ///
    /// ```
    /// assert_eq!(jackdawchute_cell::ShortRequestLoad::default().reserved(10), 0);
    /// ```
    pub fn reserved(&self, all: usize) -> usize {
        ((self.busy * HEADROOM).ceil() as usize).min(all / 2)
    }
}
