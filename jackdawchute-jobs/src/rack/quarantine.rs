//! Quarantine of workers on which jobs fail that succeed elsewhere.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use jackdawchute_types::{JobId, WorkerId};

use crate::Settings;

/// The most task outcomes that are remembered for each worker.
const OUTCOMES_MAX: usize = 32;
/// The longest quarantine, as a multiple of the first one.
const QUARANTINE_FACTOR_MAX: u32 = 32;

/// When and for how long failing workers are quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// The most workers in quarantine or being probed, in per cent of all, rounded down.
    pub max_percent: u32,
    /// The number of distinct jobs that must have failed on a worker.
    pub jobs_min: usize,
    /// The factor by which a worker's failure rate must exceed that of the other workers.
    pub rate_factor: u32,
    /// The length of the first quarantine; it doubles with each failed probe.
    pub first_duration: Duration,
}

impl From<&Settings> for QuarantineSettings {
    fn from(settings: &Settings) -> Self {
        Self {
            max_percent: settings.quarantine_max_percent,
            jobs_min: settings.quarantine_jobs_min,
            rate_factor: settings.quarantine_rate_factor,
            first_duration: settings.quarantine,
        }
    }
}

/// Which tasks a worker may get, according to its failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Any tasks.
    Healthy,
    /// No tasks until this time.
    Quarantined(Instant),
    /// One task at a time, until one succeeds or fails.
    Probing,
}

/// The last outcomes on a worker and its quarantine.
#[derive(Clone, Debug)]
struct WorkerHealth {
    /// The jobs of the last ended tasks, oldest first; `true` for a success.
    outcomes: VecDeque<(JobId, bool)>,
    state: HealthState,
    /// The length of the next quarantine.
    quarantine_length: Duration,
}

/// Compares the failure rates of workers and quarantines those that fail much more than others.
#[derive(Clone, Debug)]
pub struct Health {
    settings: QuarantineSettings,
    workers: BTreeMap<WorkerId, WorkerHealth>,
}

impl Health {
    /// Creates a state in which every worker is healthy.
    ///
    /// ```
    /// use jackdawchute_jobs::{rack::{Health, QuarantineSettings}, Settings};
    ///
    /// let health = Health::new(QuarantineSettings::from(&Settings::default()));
    /// assert!(health.accepts(&"w1".into(), true));
    /// ```
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            workers: BTreeMap::new(),
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: QuarantineSettings) {
        self.settings = settings;
    }

    /// Records whether a task succeeded or failed on a worker, which also ends a probe.
    pub fn record(&mut self, worker: &WorkerId, job: &JobId, success: bool, now: Instant) {
        let first_duration = self.settings.first_duration;
        let health = self.workers.entry(worker.clone()).or_insert(WorkerHealth {
            outcomes: VecDeque::new(),
            state: HealthState::Healthy,
            quarantine_length: first_duration,
        });
        health.outcomes.push_back((job.clone(), success));
        if health.outcomes.len() > OUTCOMES_MAX {
            health.outcomes.pop_front();
        }
        match (health.state, success) {
            (HealthState::Probing, true) => {
                health.state = HealthState::Healthy;
                health.quarantine_length = first_duration;
                health.outcomes.clear();
            }
            (HealthState::Probing, false) => {
                health.quarantine_length =
                    (health.quarantine_length * 2).min(first_duration * QUARANTINE_FACTOR_MAX);
                health.state = HealthState::Quarantined(now + health.quarantine_length);
            }
            _ => {}
        }
    }

    /// Starts probes of workers whose quarantine is over, and quarantines workers that fail much
    /// more than the others. Forgets workers that are not among the `known`.
    pub fn update_quarantine<'a>(
        &mut self,
        known: impl Iterator<Item = &'a WorkerId>,
        now: Instant,
    ) {
        let known: BTreeSet<&WorkerId> = known.collect();
        self.workers.retain(|worker, _| known.contains(worker));
        for health in self.workers.values_mut() {
            if matches!(health.state, HealthState::Quarantined(until) if until <= now) {
                health.state = HealthState::Probing;
            }
        }
        let max = known.len() * self.settings.max_percent as usize / 100;
        let suspects: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(worker, health)| {
                health.state == HealthState::Healthy && self.exceeds_failure_rate(worker, health)
            })
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in suspects {
            if self.unhealthy_count() >= max {
                return;
            }
            if let Some(health) = self.workers.get_mut(&worker) {
                health.state = HealthState::Quarantined(now + health.quarantine_length);
            }
        }
    }

    /// Returns whether enough distinct jobs failed on the worker, more than half of its jobs, and
    /// at a rate far above that of the other workers. Repeated failures of one job count once, and
    /// a job that fails everywhere raises the rates of all.
    fn exceeds_failure_rate(&self, worker: &WorkerId, health: &WorkerHealth) -> bool {
        let failed = distinct_jobs(health, false);
        if failed.len() < self.settings.jobs_min {
            return false;
        }
        let (mut others_failed, mut others_total) = (0_usize, 0_usize);
        for (_, other) in self.workers.iter().filter(|(id, _)| *id != worker) {
            others_failed += distinct_jobs(other, false).len();
            others_total += distinct_jobs(other, false).len() + distinct_jobs(other, true).len();
        }
        let own_total = failed.len() + distinct_jobs(health, true).len();
        let more_than_half = failed.len() * 2 > own_total;
        let factor = self.settings.rate_factor as usize;
        more_than_half && failed.len() * others_total.max(1) > factor * others_failed * own_total
    }

    /// Returns the number of workers in quarantine or being probed.
    fn unhealthy_count(&self) -> usize {
        let unhealthy = |health: &&WorkerHealth| health.state != HealthState::Healthy;
        self.workers.values().filter(unhealthy).count()
    }

    /// Returns whether a worker may get a task; `idle` tells that nothing is charged to it.
    pub fn accepts(&self, worker: &WorkerId, idle: bool) -> bool {
        match self.workers.get(worker).map(|health| health.state) {
            None | Some(HealthState::Healthy) => true,
            Some(HealthState::Probing) => idle,
            Some(HealthState::Quarantined(_)) => false,
        }
    }

    /// Returns the workers that are in quarantine or being probed.
    pub fn quarantined(&self) -> Vec<WorkerId> {
        let unhealthy =
            |(_, health): &(&WorkerId, &WorkerHealth)| health.state != HealthState::Healthy;
        let unhealthy = self.workers.iter().filter(unhealthy);
        unhealthy.map(|(worker, _)| worker.clone()).collect()
    }
}

/// Returns the jobs of which a task succeeded or failed on the worker.
fn distinct_jobs(health: &WorkerHealth, success: bool) -> BTreeSet<&JobId> {
    let with_outcome = health
        .outcomes
        .iter()
        .filter(|(_, succeeded)| *succeeded == success);
    with_outcome.map(|(job, _)| job).collect()
}
