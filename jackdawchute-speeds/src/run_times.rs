//! The run times of each queue's tasks, as measured and as declared.

use std::{collections::HashMap, time::Duration};

use hdrhistogram::Histogram;
use jackdawchute_types::QueueId;

use crate::{Pace, RunEstimate};

/// The factor by which each new measurement reduces the weight of all earlier ones, so that the
/// last few hundred count.
const DECAY_FACTOR: f64 = 0.995;
/// The weight of the initial assumption that tasks take as long as declared, in declared seconds.
const PRIOR_SECONDS: f64 = 30.0;
/// The lowest ratio of measured to declared run times that is expected.
const RATIO_MIN: f64 = 0.1;
/// The largest ratio that the distribution tells apart, in percent.
const RATIO_PERCENT_MAX: u64 = 10_000;
/// The number of measurements after which the distribution begins anew.
const WINDOW: u64 = 300;
/// The fewest measurements that count as a distribution.
const WINDOW_MIN: u64 = 60;
/// The quantile that counts as the tail.
const TAIL: f64 = 0.9;
/// The ratio of the tail to the mean that is assumed before it is measured.
const TAIL_PRIOR: f64 = 2.0;

/// The measurements of one queue.
#[derive(Clone, Debug)]
struct QueueTimes {
    measured_seconds: f64,
    declared_seconds: f64,
    /// The latest measurements, in percent of the declared time; `None` only if the library refuses
    /// the bounds.
    latest: Option<Histogram<u32>>,
    /// Those of the window before.
    previous: Option<Histogram<u32>>,
    pace: Pace,
}

impl QueueTimes {
    fn new() -> Self {
        Self {
            measured_seconds: PRIOR_SECONDS,
            declared_seconds: PRIOR_SECONDS,
            latest: Histogram::new_with_bounds(1, RATIO_PERCENT_MAX, 2).ok(),
            previous: None,
            pace: Pace::default(),
        }
    }

    fn record(&mut self, declared: Duration, measured: Duration) {
        let (declared, measured) = (declared.as_secs_f64(), measured.as_secs_f64());
        self.measured_seconds = self.measured_seconds * DECAY_FACTOR + measured;
        self.declared_seconds = self.declared_seconds * DECAY_FACTOR + declared;
        let Some(latest) = &mut self.latest else {
            return;
        };
        latest.saturating_record(((measured / declared * 100.0) as u64).max(1));
        if latest.len() >= WINDOW {
            let empty = Histogram::new_with_bounds(1, RATIO_PERCENT_MAX, 2).ok();
            self.previous = std::mem::replace(&mut self.latest, empty);
        }
    }

    fn ratio(&self) -> f64 {
        self.measured_seconds / self.declared_seconds
    }

    /// Returns the ratio that this share of the tasks does not exceed; `None` before enough are
    /// measured.
    fn quantile(&self, quantile: f64) -> Option<f64> {
        let is_full = |window: &&Histogram<u32>| window.len() >= WINDOW_MIN;
        let window = self.latest.as_ref().filter(is_full);
        let window = window.or(self.previous.as_ref())?;
        Some(window.value_at_quantile(quantile) as f64 / 100.0)
    }
}

/// The ratio of measured to declared run times of each queue's tasks: its mean and its distribution.
///
/// Declared times of single tasks are far off in both directions. A ratio of sums, unlike a mean of
/// ratios, is hardly changed by a few tasks that are declared much too short.
///
/// ```
/// use std::time::Duration;
/// use jackdawchute_speeds::RunTimes;
///
/// let declared = Duration::from_secs(2);
/// assert_eq!(RunTimes::default().expected(&"checks".into(), declared), declared);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    queues: HashMap<QueueId, QueueTimes>,
}

impl RunTimes {
    /// Records how long a task took, or would have taken on the mean worker near its data.
    pub fn record(&mut self, queue: &QueueId, declared: Duration, measured: Duration) {
        if !declared.is_zero() {
            self.queue_mut(queue).record(declared, measured);
        }
    }

    fn queue_mut(&mut self, queue: &QueueId) -> &mut QueueTimes {
        self.queues
            .entry(queue.clone())
            .or_insert_with(QueueTimes::new)
    }

    /// Returns the pace of a queue's jobs.
    pub fn pace_mut(&mut self, queue: &QueueId) -> &mut Pace {
        &mut self.queue_mut(queue).pace
    }

    fn ratio(&self, queue: &QueueId) -> f64 {
        self.queues.get(queue).map_or(1.0, QueueTimes::ratio)
    }

    /// Returns the measured run time of a queue's tasks in percent of the declared one.
    pub fn percent(&self, queue: &QueueId) -> u64 {
        (self.ratio(queue) * 100.0) as u64
    }

    /// Returns the expected run time of a queue's task with this declared one.
    pub fn expected(&self, queue: &QueueId, declared: Duration) -> Duration {
        declared.mul_f64(self.ratio(queue).max(RATIO_MIN))
    }

    /// Returns the run time that this share of a queue's tasks with this declared one does not
    /// exceed; `None` before enough are measured.
    pub fn quantile(&self, queue: &QueueId, declared: Duration, quantile: f64) -> Option<Duration> {
        let ratio = self.queues.get(queue)?.quantile(quantile)?;
        Some(declared.mul_f64(ratio.max(RATIO_MIN)))
    }

    /// Returns the mean and the tail for a queue's task with this declared run time.
    pub fn estimate(&self, queue: &QueueId, declared: Duration) -> RunEstimate {
        self.estimate_of_step(queue, declared, 1)
    }

    /// Returns the mean for a task of a queue's step with this declared run time, and the tail within
    /// which all `tasks` of the step end nine times of ten.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_speeds::RunTimes;
    ///
    /// let (queue, second) = ("checks".into(), Duration::from_secs(1));
    /// let tail = |tasks| RunTimes::default().estimate_of_step(&queue, second, tasks).tail;
    /// assert!(tail(20) > tail(1), "one of many tasks takes long");
    /// ```
    pub fn estimate_of_step(&self, queue: &QueueId, declared: Duration, tasks: u32) -> RunEstimate {
        let expected = self.expected(queue, declared);
        let tasks = f64::from(tasks.max(1));
        let tail = self
            .quantile(queue, declared, 1.0 - (1.0 - TAIL) / tasks)
            .unwrap_or_else(|| expected.mul_f64(TAIL_PRIOR + tasks.ln()));
        RunEstimate {
            expected,
            tail: tail.max(expected),
        }
    }
}
