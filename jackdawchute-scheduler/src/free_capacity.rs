//! What is free on the workers while one round of placement and questions lasts.
//!
//! It is counted once a round: a cell has many more steps that wait than workers that change.

use std::{cell::OnceCell, collections::BTreeMap, time::Instant};

use jackdawchute_types::{RackId, Resources, ServiceId, WorkerId};
use rustc_hash::FxHashMap;

use crate::{
    job::Job,
    worker::{Run, Worker},
    Scheduler, StepSpec,
};

/// The most tasks of one size that are counted on a worker in looking ahead.
pub(crate) const PLACES_AHEAD_MAX: u32 = 64;

/// Room that is kept for a gang until it can start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub(crate) resources: Resources,
    pub(crate) starts_at: Instant,
}

/// A worker that takes tasks.
#[derive(Debug)]
pub(crate) struct WorkerCapacity {
    pub(crate) free: Resources,
    pub(crate) capacity: Resources,
    pub(crate) rack: Option<RackId>,
    pub(crate) started_unix_ms: u64,
    pub(crate) slowness_tenths: u32,
    service: ServiceId,
    reserved: Vec<Reservation>,
    /// When its runs are expected to end, and what becomes free then.
    ends: OnceCell<Vec<(Instant, Resources)>>,
}

impl WorkerCapacity {
    fn new(worker: &Worker, free: Resources) -> Self {
        Self {
            free,
            capacity: worker.entry.capacity,
            rack: worker.entry.rack.clone(),
            started_unix_ms: worker.entry.started_unix_ms,
            slowness_tenths: (worker.health.slowness * 10.0) as u32,
            service: worker.entry.service.clone(),
            reserved: Vec::new(),
            ends: OnceCell::new(),
        }
    }

    pub(crate) fn is_near_data(&self, spec: &StepSpec) -> bool {
        spec.data_rack.is_none() || spec.data_rack == self.rack
    }

    /// What a task that ends at `ends_at` may use.
    pub(crate) fn usable(&self, ends_at: Instant) -> Resources {
        let mut free = self.free;
        for reservation in &self.reserved {
            if ends_at > reservation.starts_at {
                free = free.saturating_sub(&reservation.resources);
            }
        }
        free
    }

    /// When the first, second and further task of a size fit, as the worker's runs end, of what
    /// is left of `free`.
    pub(crate) fn free_times(
        &self,
        worker: &Worker,
        size: &Resources,
        free: Resources,
        now: Instant,
    ) -> Vec<Instant> {
        let count = |free| times_fitting(size, free).min(PLACES_AHEAD_MAX) as usize;
        let mut times = vec![now; count(free)];
        let mut free = free;
        for (end, freed) in self.ends.get_or_init(|| expected_ends(worker)) {
            free = free.saturating_add(freed);
            while times.len() < count(free) {
                times.push((*end).max(now));
            }
        }
        times
    }
}

fn expected_ends(worker: &Worker) -> Vec<(Instant, Resources)> {
    let end = |run: &Run| (run.expected_end, run.reserved.unwrap_or(Resources::ZERO));
    let mut ends: Vec<_> = worker.runs.values().map(end).collect();
    ends.sort_unstable_by_key(|(end, _)| *end);
    ends
}

/// How many tasks of a size fit into some room.
pub(crate) fn times_fitting(size: &Resources, free: Resources) -> u32 {
    let ratio = |free: u64, size: u64| free.checked_div(size).unwrap_or(u64::from(u32::MAX));
    let times = ratio(free.processor_millicores, size.processor_millicores)
        .min(ratio(free.memory_mib, size.memory_mib))
        .min(ratio(
            u64::from(free.accelerators),
            u64::from(size.accelerators),
        ));
    u32::try_from(times).unwrap_or(u32::MAX)
}

/// The workers that take tasks, and what is free there.
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

    pub(crate) fn take(&mut self, worker: &WorkerId, size: &Resources) {
        if let Some(worker_capacity) = self.workers.get_mut(worker) {
            worker_capacity.free = worker_capacity.free.saturating_sub(size);
        }
    }

    pub(crate) fn reserve(&mut self, worker: &WorkerId, reservation: Reservation) {
        if let Some(worker_capacity) = self.workers.get_mut(worker) {
            worker_capacity.reserved.push(reservation);
        }
    }
}

impl Scheduler {
    /// Counts what is free.
    pub(crate) fn free_capacity(&self, now: Instant) -> FreeCapacity {
        let silence = self.settings.worker_silence_max;
        let takes_tasks = |worker: &&Worker| worker.takes_tasks(now, silence);
        let worker_capacity = |worker: &Worker| {
            Some((
                worker.id().clone(),
                WorkerCapacity::new(worker, worker.free()?),
            ))
        };
        let workers = self.workers.values().filter(takes_tasks);
        FreeCapacity {
            workers: workers.filter_map(worker_capacity).collect(),
        }
    }
}

/// Whether a worker may run a job's step, apart from advice and room.
pub(crate) fn can_run(
    workers: &BTreeMap<WorkerId, Worker>,
    id: &WorkerId,
    worker_capacity: &WorkerCapacity,
    job: &Job,
    spec: &StepSpec,
) -> bool {
    let carries = |label| {
        let worker = workers.get(id);
        worker.is_some_and(|worker| worker.entry.labels.contains(label))
    };
    worker_capacity.service == job.queue.service && spec.required_label.as_ref().is_none_or(carries)
}
