//! The order of places for a task, by the expected time of its completion.

use std::time::Duration;

/// The width of a class of places that take equally long, as a logarithm: a quarter more or less is
/// within what estimates are off by.
const BAND_WIDTH: f64 = 0.223;

/// The class of places faster than the mean worker, which are all good enough to be named.
const ROUGH_BAND_MIN: i32 = -1;

/// How long a task is expected to take on the mean worker, near its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEstimate {
    /// The mean of its queue's tasks.
    pub expected: Duration,
    /// What nine of ten tasks take at most.
    pub tail: Duration,
}

/// How well a place suits a task; the lowest value is best.
///
/// A place where the task ends in time also if it takes long comes first, and among those the
/// slowest near one, so that the fast ones stay free for tasks that need them. Else the place where
/// the task ends first is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlaceRank {
    not_surely_in_time: bool,
    far: bool,
    band: i32,
}

impl PlaceRank {
    /// Returns the same without differences that matter less than a choice among many places.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_speeds::RunEstimate;
    ///
    /// let second = Duration::from_secs(1);
    /// let estimate = RunEstimate { expected: second, tail: second * 2 };
    /// let rank = |slowness| estimate.rank(slowness, None, None).roughly();
    /// assert_eq!(rank(0.5), rank(0.8));
    /// assert!(rank(0.8) < rank(1.0));
    /// ```
    pub fn roughly(self) -> Self {
        let band = if self.not_surely_in_time {
            self.band.max(ROUGH_BAND_MIN)
        } else {
            0
        };
        Self { band, ..self }
    }
}

impl RunEstimate {
    /// Returns how long the task is expected to take where it takes `slowdown` times as long.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_speeds::RunEstimate;
    ///
    /// let second = Duration::from_secs(1);
    /// let estimate = RunEstimate { expected: second, tail: second * 2 };
    /// assert_eq!(estimate.expected_at(1.5), Duration::from_millis(1_500));
    /// ```
    pub fn expected_at(&self, slowdown: f64) -> Duration {
        self.expected.mul_f64(slowdown.max(0.0))
    }

    /// Returns the rank of a worker with this slowness, `far_slowdown` times slower if it is far
    /// from the task's data, for a task with `time_left` until it should have ended; `None` if it is
    /// late already.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_speeds::RunEstimate;
    ///
    /// let second = Duration::from_secs(1);
    /// let estimate = RunEstimate { expected: second, tail: second * 2 };
    /// let rank = |slowness, left| estimate.rank(slowness, None, Some(left));
    /// assert!(rank(0.7, second) < rank(1.7, second), "it has no time to lose");
    /// assert!(rank(0.7, second * 9) > rank(1.7, second * 9), "it leaves the fast one free");
    /// ```
    pub fn rank(
        &self,
        slowness: f64,
        far_slowdown: Option<f64>,
        time_left: Option<Duration>,
    ) -> PlaceRank {
        let slowdown = slowness * far_slowdown.unwrap_or(1.0);
        let surely_in_time = time_left.is_some_and(|left| self.tail.mul_f64(slowdown) <= left);
        if surely_in_time {
            PlaceRank {
                not_surely_in_time: false,
                far: far_slowdown.is_some(),
                band: -band(slowness),
            }
        } else {
            PlaceRank {
                not_surely_in_time: true,
                far: false,
                band: band(slowdown),
            }
        }
    }
}

/// Returns the class of places that a slowdown belongs to; 0 for that of the mean worker.
pub(crate) fn band(slowdown: f64) -> i32 {
    (slowdown.max(0.01).ln() / BAND_WIDTH).round() as i32
}
