//! Quarantine of workers that fail what others run.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use jackdawchute_types::{JobId, WorkerId};

use crate::Settings;

/// The outcomes that are remembered per worker.
const OUTCOMES_MAX: usize = 32;
/// The longest time in quarantine is this many times the first.
const QUARANTINE_FACTOR_MAX: u32 = 32;

/// The bounds of quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthBounds {
    /// The most workers in quarantine, in per cent, rounded down.
    pub max_percent: u32,
    /// The distinct jobs that must have failed on a worker.
    pub jobs_min: usize,
    /// How many times the failure rate of the other workers it must have.
    pub rate_factor: u32,
    /// The first time in quarantine.
    pub first: Duration,
}

impl From<&Settings> for HealthBounds {
    fn from(settings: &Settings) -> Self {
        Self {
            max_percent: settings.quarantine_max_percent,
            jobs_min: settings.quarantine_jobs_min,
            rate_factor: settings.quarantine_rate_factor,
            first: settings.quarantine,
        }
    }
}

/// What a worker may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Anything.
    Healthy,
    /// Nothing until an instant.
    Quarantined(Instant),
    /// One task at a time, until one ends.
    Probing,
}

#[derive(Clone, Debug)]
struct WorkerHealth {
    outcomes: VecDeque<(JobId, bool)>,
    state: HealthState,
    length: Duration,
}

/// The failure rates of workers against each other.
#[derive(Clone, Debug)]
pub struct Health {
    bounds: HealthBounds,
    workers: BTreeMap<WorkerId, WorkerHealth>,
}

impl Health {
    /// Starts with no outcome known.
    ///
    /// ```
    /// use jackdawchute_jobs::{rack::{Health, HealthBounds}, Settings};
    ///
    /// let health = Health::new(HealthBounds::from(&Settings::default()));
    /// assert!(health.accepts(&"w1".into(), true));
    /// ```
    pub fn new(bounds: HealthBounds) -> Self {
        Self {
            bounds,
            workers: BTreeMap::new(),
        }
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: HealthBounds) {
        self.bounds = bounds;
    }

    /// Takes in how a task ended on a worker.
    pub fn record(&mut self, worker: &WorkerId, job: &JobId, success: bool, now: Instant) {
        let first = self.bounds.first;
        let health = self.workers.entry(worker.clone()).or_insert(WorkerHealth {
            outcomes: VecDeque::new(),
            state: HealthState::Healthy,
            length: first,
        });
        health.outcomes.push_back((job.clone(), success));
        if health.outcomes.len() > OUTCOMES_MAX {
            health.outcomes.pop_front();
        }
        match (health.state, success) {
            (HealthState::Probing, true) => {
                health.state = HealthState::Healthy;
                health.length = first;
                health.outcomes.clear();
            }
            (HealthState::Probing, false) => {
                health.length = (health.length * 2).min(first * QUARANTINE_FACTOR_MAX);
                health.state = HealthState::Quarantined(now + health.length);
            }
            _ => {}
        }
    }

    /// Quarantines and probes, among the `known` workers.
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
        let max = known.len() * self.bounds.max_percent as usize / 100;
        let suspects: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(worker, health)| {
                health.state == HealthState::Healthy && self.stands_out(worker, health)
            })
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in suspects {
            if self.not_healthy() >= max {
                return;
            }
            if let Some(health) = self.workers.get_mut(&worker) {
                health.state = HealthState::Quarantined(now + health.length);
            }
        }
    }

    /// Whether enough distinct jobs failed on the worker, most of them there, and at a rate far
    /// above that of the other workers. A job that fails everywhere counts on neither side.
    fn stands_out(&self, worker: &WorkerId, health: &WorkerHealth) -> bool {
        let failed = jobs_of(health, false);
        if failed.len() < self.bounds.jobs_min {
            return false;
        }
        let (mut others_failed, mut others_all) = (0_usize, 0_usize);
        for (_, other) in self.workers.iter().filter(|(id, _)| *id != worker) {
            others_failed += jobs_of(other, false).len();
            others_all += jobs_of(other, false).len() + jobs_of(other, true).len();
        }
        let own_all = failed.len() + jobs_of(health, true).len();
        let more_than_half = failed.len() * 2 > own_all;
        let factor = self.bounds.rate_factor as usize;
        more_than_half && failed.len() * others_all.max(1) > factor * others_failed * own_all
    }

    fn not_healthy(&self) -> usize {
        let sick = |health: &&WorkerHealth| health.state != HealthState::Healthy;
        self.workers.values().filter(sick).count()
    }

    /// Whether a worker may get a task; `idle` if nothing is charged to it.
    pub fn accepts(&self, worker: &WorkerId, idle: bool) -> bool {
        match self.workers.get(worker).map(|health| health.state) {
            None | Some(HealthState::Healthy) => true,
            Some(HealthState::Probing) => idle,
            Some(HealthState::Quarantined(_)) => false,
        }
    }

    /// The workers that get nothing, or single tasks as probes.
    pub fn quarantined(&self) -> Vec<WorkerId> {
        let sick = |(_, health): &(&WorkerId, &WorkerHealth)| health.state != HealthState::Healthy;
        let sick = self.workers.iter().filter(sick);
        sick.map(|(worker, _)| worker.clone()).collect()
    }
}

fn jobs_of(health: &WorkerHealth, success: bool) -> BTreeSet<&JobId> {
    let of_kind = health
        .outcomes
        .iter()
        .filter(|(_, ended)| *ended == success);
    of_kind.map(|(job, _)| job).collect()
}
