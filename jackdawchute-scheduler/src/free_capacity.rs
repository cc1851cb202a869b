//! The free capacity of the workers during one scheduling round.
//!
//! It is counted once a round, not once for each step: many steps wait in a cell, and few workers
//! change within a round.

use std::{cell::OnceCell, collections::BTreeMap, time::Instant};

use jackdawchute_types::{RackId, Resources, ServiceId, WorkerId};
use rustc_hash::FxHashMap;

use crate::{
    job::Job,
    worker::{Run, Worker},
    Scheduler, StepSpec,
};

/// The highest number of tasks of one size that gang reservations and advice requests count on a
/// worker.
pub(crate) const FITTING_TASKS_MAX: u32 = 64;

/// Capacity of a worker that is reserved for a gang until the gang can start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReservedCapacity {
    pub(crate) resources: Resources,
    pub(crate) starts_at: Instant,
}

/// The capacity of a worker that accepts new tasks.
#[derive(Debug)]
pub(crate) struct WorkerCapacity {
    /// The capacity that is charged neither for the worker's runs nor for tasks placed in this
    /// round.
    pub(crate) free: Resources,
    /// What is free once all runs have ended that end by themselves.
    pub(crate) free_when_idle: Resources,
    pub(crate) rack: Option<RackId>,
    pub(crate) started_unix_ms: u64,
    /// By what factor tasks take longer than on the mean worker.
    pub(crate) slowness: f64,
    service: ServiceId,
    /// What is reserved for gangs in this round.
    reserved: Vec<ReservedCapacity>,
    /// When the worker's runs are expected to end and what each releases, in order of time; counted
    /// at first use.
    ends: OnceCell<Vec<(Instant, Resources)>>,
}

impl WorkerCapacity {
    fn new(worker: &Worker, free: Resources, slowness: f64) -> Self {
        let lasting = worker
            .runs
            .values()
            .filter(|run| run.expected_end.is_none());
        let used_for_good = lasting
            .filter_map(|run| run.charged)
            .fold(Resources::ZERO, |used, charged| {
                used.saturating_add(&charged)
            });
        Self {
            free,
            free_when_idle: worker.entry.capacity.saturating_sub(&used_for_good),
            rack: worker.entry.rack.clone(),
            started_unix_ms: worker.entry.started_unix_ms,
            slowness,
            service: worker.entry.service.clone(),
            reserved: Vec::new(),
            ends: OnceCell::new(),
        }
    }

    /// Returns the capacity that a task which ends at `ends_at` may use: what is free, without the
    /// reservations of gangs that start before that.
    pub(crate) fn usable(&self, ends_at: Instant) -> Resources {
        let mut free = self.free;
        for reservation in &self.reserved {
            if ends_at > reservation.starts_at {
                free = free.saturating_sub(&reservation.resources);
            }
        }
        free
    }

    /// Returns the times from which a first, second and further task of a size fit into `free`, as
    /// it grows with the ends of the worker's runs.
    pub(crate) fn fitting_times(
        &self,
        worker: &Worker,
        size: &Resources,
        free: Resources,
        now: Instant,
    ) -> Vec<Instant> {
        let count = |free| tasks_fitting(size, free).min(FITTING_TASKS_MAX) as usize;
        let mut times = vec![now; count(free)];
        let mut free = free;
        for (end, freed) in self.ends.get_or_init(|| expected_ends(worker, now)) {
            free = free.saturating_add(freed);
            while times.len() < count(free) {
                times.push(*end);
            }
        }
        times
    }
}

/// Returns when a worker's runs are expected to end and what each releases, in order of time.
///
/// Tasks that last release nothing. A run that is overdue is expected to take as long again as it is
/// overdue, so that one which goes on for long promises nothing soon.
fn expected_ends(worker: &Worker, now: Instant) -> Vec<(Instant, Resources)> {
    let end_of = |run: &Run| {
        let overdue = now.saturating_duration_since(run.expected_end?);
        let end = run.expected_end?.max(now + overdue);
        Some((end, run.charged.unwrap_or(Resources::ZERO)))
    };
    let mut ends: Vec<_> = worker.runs.values().filter_map(end_of).collect();
    ends.sort_unstable_by_key(|(end, _)| *end);
    ends
}

/// Returns how many tasks of a size fit into a free capacity.
pub(crate) fn tasks_fitting(size: &Resources, free: Resources) -> u32 {
    let fitting = |free: u64, size: u64| free.checked_div(size).unwrap_or(u64::from(u32::MAX));
    let tasks = fitting(free.processor_millicores, size.processor_millicores)
        .min(fitting(free.memory_mib, size.memory_mib))
        .min(fitting(
            u64::from(free.accelerators),
            u64::from(size.accelerators),
        ));
    u32::try_from(tasks).unwrap_or(u32::MAX)
}

/// The capacity of all workers that accept new tasks.
#[derive(Debug, Default)]
pub(crate) struct FreeCapacity {
    workers: FxHashMap<WorkerId, WorkerCapacity>,
}

impl FreeCapacity {
    pub(crate) fn worker(&self, worker: &WorkerId) -> Option<&WorkerCapacity> {
        self.workers.get(worker)
    }

    pub(crate) fn workers(&self) -> impl Iterator<Item = (&WorkerId, &WorkerCapacity)> {
        self.workers.iter()
    }

    /// Charges a worker with a task that is placed there.
    pub(crate) fn charge(&mut self, worker: &WorkerId, size: &Resources) {
        if let Some(worker_capacity) = self.workers.get_mut(worker) {
            worker_capacity.free = worker_capacity.free.saturating_sub(size);
        }
    }

    /// Reserves capacity of a worker for a gang.
    pub(crate) fn reserve(&mut self, worker: &WorkerId, reservation: ReservedCapacity) {
        if let Some(worker_capacity) = self.workers.get_mut(worker) {
            worker_capacity.reserved.push(reservation);
        }
    }
}

impl Scheduler {
    /// Returns the free capacity of all workers that accept new tasks.
    pub(crate) fn free_capacity(&self, now: Instant) -> FreeCapacity {
        let confirmed_at = self.authority.confirmed_at;
        let accepts_tasks = |worker: &&Worker| worker.accepts_tasks(confirmed_at, now);
        let capacity_of = |worker: &Worker| {
            Some((
                worker.id().clone(),
                WorkerCapacity::new(worker, worker.free()?, self.slowness(worker, now)),
            ))
        };
        let workers = self.workers.values().filter(accepts_tasks);
        FreeCapacity {
            workers: workers.filter_map(capacity_of).collect(),
        }
    }
}

/// Returns whether a worker has the service and label that a job's step requires; advice and free
/// capacity are not considered.
pub(crate) fn can_run(
    workers: &BTreeMap<WorkerId, Worker>,
    id: &WorkerId,
    worker_capacity: &WorkerCapacity,
    job: &Job,
    spec: &StepSpec,
) -> bool {
    let has_label = |label| {
        let worker = workers.get(id);
        worker.is_some_and(|worker| worker.entry.labels.contains(label))
    };
    worker_capacity.service == job.queue.service
        && spec.required_label.as_ref().is_none_or(has_label)
}
