//! The speeds of workers, learned from run times.
//!
//! Declared run times are off by a factor that the tasks of a job share, and single tasks take
//! longer or shorter by chance. So the logarithm of measured over declared time is taken as a sum:
//! the pace of the job, the slowness of the worker, and noise. Each observation corrects the one by
//! what is known of the other. How far the workers differ at all is estimated from the fleet, and
//! the less it is, the more evidence a worker needs to count as slow or fast.

use std::time::{Duration, Instant};

/// The variance of jobs' paces around that of their queue which is assumed at first.
const JOB_VARIANCE_PRIOR: f64 = 0.25;
/// The lowest variance of jobs' paces that is assumed.
const JOB_VARIANCE_MIN: f64 = 0.01;
/// The weight of a new observation in the variance of jobs' paces.
const JOB_VARIANCE_GAIN: f64 = 0.02;
/// The variance of a queue's pace around 1 before any of its jobs is known.
const QUEUE_VARIANCE: f64 = 0.5;
/// The variance of single tasks that is assumed at first.
const NOISE_PRIOR: f64 = 0.15;
/// The lowest variance of single tasks that is assumed.
const NOISE_MIN: f64 = 0.01;
/// The weight of a new observation in the variance of single tasks.
const NOISE_GAIN: f64 = 0.01;
/// The largest deviation that an observation counts with, as a logarithm; a task of the tail of its
/// queue says little of its worker.
const DEVIATION_MAX: f64 = 1.0;
/// The weight that earlier observations of a worker keep with each new one.
const WORKER_DECAY: f64 = 0.95;
/// The weight that earlier observations of a queue or job keep with each new one.
const PACE_DECAY: f64 = 0.98;
/// The time in which the evidence on a worker loses half its weight, so that one which gets little
/// work for its slowness is tried again.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// The fewest observations after which the differences of the fleet are estimated again; as many as
/// workers have evidence in a larger fleet, since all of them are looked at.
const REFRESH_PERIOD_MIN: u64 = 32;
/// The standard errors by which the variance of the workers, or one worker, deviates before workers
/// count as unlike: the variance among a few equal ones is often twice what noise explains.
const MARGIN: f64 = 3.0;
/// The fewest workers with evidence from which differences are estimated.
const WORKERS_MIN: usize = 3;

/// A weighted mean of logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct LogMean {
    weight: f64,
    sum: f64,
}

impl LogMean {
    fn add(&mut self, decay: f64, weight: f64, value: f64) {
        self.weight = self.weight * decay + weight;
        self.sum = self.sum * decay + weight * value;
    }

    /// Returns the mean and its variance after a prior with this mean and variance.
    fn posterior(&self, prior_mean: f64, prior_variance: f64) -> (f64, f64) {
        let prior_weight = 1.0 / prior_variance;
        let weight = prior_weight + self.weight;
        (
            (prior_weight * prior_mean + self.sum) / weight,
            1.0 / weight,
        )
    }
}

/// The ratio of measured to declared run times that the tasks of a job, or of a queue, share.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    mean: LogMean,
    /// For a queue, the variance of its jobs' paces.
    job_variance: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            mean: LogMean::default(),
            job_variance: JOB_VARIANCE_PRIOR,
        }
    }
}

/// What is known of the speed of one worker incarnation.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerSpeed {
    mean: LogMean,
    observed_at: Option<Instant>,
}

impl WorkerSpeed {
    /// Returns the share of its weight that the evidence has kept until `now`.
    fn kept(&self, now: Instant) -> f64 {
        let age = self
            .observed_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn at(&self, now: Instant) -> LogMean {
        let kept = self.kept(now);
        LogMean {
            weight: self.mean.weight * kept,
            sum: self.mean.sum * kept,
        }
    }
}

/// How far the workers of a cell differ, and how much their tasks do.
#[derive(Clone, Copy, Debug)]
pub struct FleetSpeeds {
    /// The variance of single tasks of one job on one worker.
    noise: f64,
    /// The mean slowness of the workers with evidence, as a logarithm.
    centre: f64,
    /// The variance of the workers' slowness; 0 until a difference is measured.
    spread: f64,
    observations: u64,
    /// The number of observations at which the differences are estimated again.
    refresh_at: u64,
}

impl Default for FleetSpeeds {
    fn default() -> Self {
        Self {
            noise: NOISE_PRIOR,
            centre: 0.0,
            spread: 0.0,
            observations: 0,
            refresh_at: REFRESH_PERIOD_MIN,
        }
    }
}

impl FleetSpeeds {
    /// Returns by what factor tasks take longer on a worker than on the mean one.
    ///
    /// It is 1 as long as no difference between workers is measured.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_speeds::{FleetSpeeds, WorkerSpeed};
    ///
    /// let slowness = FleetSpeeds::default().slowness(&WorkerSpeed::default(), Instant::now());
    /// assert_eq!(slowness, 1.0);
    /// ```
    pub fn slowness(&self, worker: &WorkerSpeed, now: Instant) -> f64 {
        if self.spread <= 0.0 {
            return 1.0;
        }
        let (mean, _) = worker.at(now).posterior(self.centre, self.spread);
        (mean - self.centre).exp()
    }

    /// Returns the standard deviation of the workers' slowness, as a logarithm; 0 while they count
    /// as alike.
    ///
    /// ```
    /// assert_eq!(jackdawchute_speeds::FleetSpeeds::default().spread(), 0.0);
    /// ```
    pub fn spread(&self) -> f64 {
        self.spread.sqrt()
    }

    /// Records that a task took `ratio` times as long as declared, and returns whether the
    /// differences between the workers are to be estimated again by [`FleetSpeeds::refresh`].
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_speeds::{FleetSpeeds, Pace, WorkerSpeed};
    ///
    /// let (mut fleet, mut worker) = (FleetSpeeds::default(), WorkerSpeed::default());
    /// let (mut queue, mut job) = (Pace::default(), Pace::default());
    /// fleet.observe(&mut queue, &mut job, &mut worker, 1.3, Instant::now());
    /// ```
    pub fn observe(
        &mut self,
        queue: &mut Pace,
        job: &mut Pace,
        worker: &mut WorkerSpeed,
        ratio: f64,
        now: Instant,
    ) -> bool {
        if !ratio.is_finite() || ratio <= 0.0 {
            return false;
        }
        let log_ratio = ratio.ln();
        let (queue_mean, _) = queue.mean.posterior(0.0, QUEUE_VARIANCE);
        let (job_mean, job_variance) = job.mean.posterior(queue_mean, queue.job_variance);
        let (slowness, _) = worker
            .at(now)
            .posterior(self.centre, self.spread.max(NOISE_MIN));

        // What the job's other tasks do not explain is the worker's, and the reverse.
        let of_worker = (log_ratio - job_mean).clamp(-DEVIATION_MAX, DEVIATION_MAX);
        worker.mean = worker.at(now);
        worker.observed_at = Some(now);
        worker
            .mean
            .add(WORKER_DECAY, 1.0 / (self.noise + job_variance), of_worker);
        let of_job = log_ratio - slowness;
        let limit = DEVIATION_MAX + job_variance.sqrt();
        let of_job = job_mean + (of_job - job_mean).clamp(-limit, limit);
        job.mean.add(PACE_DECAY, 1.0 / self.noise, of_job);
        queue
            .mean
            .add(PACE_DECAY, 1.0 / (self.noise + queue.job_variance), of_job);

        let of_queue = (log_ratio - slowness - queue_mean).clamp(-limit, limit);
        queue.job_variance +=
            JOB_VARIANCE_GAIN * (of_queue * of_queue - self.noise - queue.job_variance);
        queue.job_variance = queue.job_variance.max(JOB_VARIANCE_MIN);
        let deviation = (log_ratio - job_mean - slowness).clamp(-DEVIATION_MAX, DEVIATION_MAX);
        let share = self.noise / (self.noise + job_variance);
        self.noise += NOISE_GAIN * (deviation * deviation * share - self.noise);
        self.noise = self.noise.max(NOISE_MIN);
        self.observations += 1;
        self.observations >= self.refresh_at
    }

    /// Estimates how far the workers differ: by how much their mean deviations vary beyond what the
    /// noise of their tasks explains.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_speeds::{FleetSpeeds, WorkerSpeed};
    ///
    /// let mut fleet = FleetSpeeds::default();
    /// fleet.refresh([&WorkerSpeed::default()], Instant::now());
    /// assert_eq!(fleet.spread(), 0.0);
    /// ```
    pub fn refresh<'a>(
        &mut self,
        workers: impl IntoIterator<Item = &'a WorkerSpeed>,
        now: Instant,
    ) {
        let at_now = workers.into_iter().map(|worker| worker.at(now));
        // A worker with less than one observation says nothing about the differences.
        let known: Vec<LogMean> = at_now
            .filter(|mean| mean.weight * (self.noise + JOB_VARIANCE_PRIOR) >= 1.0)
            .collect();
        let period = REFRESH_PERIOD_MIN.max(known.len() as u64);
        self.refresh_at = self.observations + period;
        if known.len() < WORKERS_MIN {
            return;
        }
        let count = known.len() as f64;
        let means: Vec<f64> = known.iter().map(|mean| mean.sum / mean.weight).collect();
        let centre = means.iter().sum::<f64>() / count;
        let squares = means.iter().map(|mean| (mean - centre).powi(2));
        let variance = squares.sum::<f64>() / (count - 1.0);
        let explained = known.iter().map(|mean| 1.0 / mean.weight).sum::<f64>() / count;
        self.centre = centre;
        let deviations = known
            .iter()
            .zip(&means)
            .map(|(known, mean)| (mean - centre).abs() * known.weight.sqrt());
        let one_deviates = deviations.fold(0.0, f64::max) > MARGIN;
        let all_deviate = variance > explained * (1.0 + MARGIN * (2.0 / (count - 1.0)).sqrt());
        // Workers that were found unlike stay so until the difference is gone.
        let was_unlike = self.spread > 0.0;
        let is_unlike = variance > explained && (was_unlike || one_deviates || all_deviate);
        self.spread = if is_unlike { variance - explained } else { 0.0 };
    }
}
