//! The workers chosen so far for one request, whose tasks are not charged to the fleet yet.

use std::collections::HashMap;

use jackdawchute_types::{Resources, WorkerId};

use crate::{index::WorkerNumber, Fleet, FleetWorker};

/// The workers chosen so far for one request, and what its tasks use on each of them.
pub(crate) struct Choice<'a> {
    fleet: &'a Fleet,
    used: HashMap<WorkerNumber, Resources>,
    pub workers: Vec<WorkerId>,
}

impl<'a> Choice<'a> {
    pub fn new(fleet: &'a Fleet) -> Self {
        Self {
            fleet,
            used: HashMap::new(),
            workers: Vec::new(),
        }
    }

    /// Returns a worker's free capacity minus what the tasks placed on it so far need.
    pub fn free(&self, number: WorkerNumber) -> Resources {
        let free = self.fleet.worker(number).map(FleetWorker::free);
        let free = free.unwrap_or_default();
        match self.used.get(&number) {
            Some(used) => free.saturating_sub(used),
            None => free,
        }
    }

    /// Returns the free capacity after one more task, or `None` if the task does not fit.
    pub fn free_after(&self, number: WorkerNumber, need: &Resources) -> Option<Resources> {
        let free = self.free(number);
        need.fits_in(&free).then(|| free.saturating_sub(need))
    }

    /// Places one task on a worker.
    pub fn add_task(&mut self, number: WorkerNumber, need: &Resources) {
        if let Some(worker) = self.fleet.worker(number) {
            let used = self.used.entry(number).or_default();
            *used = used.saturating_add(need);
            self.workers.push(worker.id.clone());
        }
    }

    /// Returns the chosen workers; with `all_or_none`, as for a gang, none if fewer than `count`.
    pub fn finish(self, all_or_none: bool, count: u32) -> Vec<WorkerId> {
        if all_or_none && self.workers.len() < count as usize {
            return Vec::new();
        }
        self.workers
    }
}

/// Scores a worker's remaining capacity, in shares of the fleet's mean worker; lower is better.
///
/// The score adds a penalty for imbalance: a little of both processor and memory can still be used,
/// much of one without the other cannot.
pub(crate) struct RemainderScore {
    processor_millicores_mean: f64,
    memory_mib_mean: f64,
}

/// Weight of the imbalance between processor and memory, relative to the remaining amount.
const IMBALANCE_WEIGHT: f64 = 0.5;

impl RemainderScore {
    pub fn new(fleet: &Fleet) -> Self {
        let count = fleet.len().max(1) as f64;
        let total = fleet.total();
        Self {
            processor_millicores_mean: (total.processor_millicores as f64 / count).max(1.0),
            memory_mib_mean: (total.memory_mib as f64 / count).max(1.0),
        }
    }

    /// Returns the score of a worker with this free capacity after the placement.
    pub fn score(&self, free_after: &Resources) -> f64 {
        let processor = free_after.processor_millicores as f64 / self.processor_millicores_mean;
        let memory = free_after.memory_mib as f64 / self.memory_mib_mean;
        processor + memory + IMBALANCE_WEIGHT * (processor - memory).abs()
    }
}
