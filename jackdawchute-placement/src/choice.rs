//! The workers chosen so far for one ask, which are not charged yet.

use std::collections::HashMap;

use jackdawchute_types::{Resources, WorkerId};

use crate::{index::SlotNumber, Fleet, FleetWorker};

/// The workers chosen so far for one ask.
pub(crate) struct Choice<'a> {
    fleet: &'a Fleet,
    taken: HashMap<SlotNumber, Resources>,
    pub workers: Vec<WorkerId>,
}

impl<'a> Choice<'a> {
    pub fn new(fleet: &'a Fleet) -> Self {
        Self {
            fleet,
            taken: HashMap::new(),
            workers: Vec::new(),
        }
    }

    /// What is left of a worker after the choices so far.
    pub fn free(&self, number: SlotNumber) -> Resources {
        let free = self.fleet.slot(number).map(FleetWorker::free);
        let free = free.unwrap_or_default();
        match self.taken.get(&number) {
            Some(taken) => free.saturating_sub(taken),
            None => free,
        }
    }

    /// What would be left after one task more, if it fits.
    pub fn left(&self, number: SlotNumber, need: &Resources) -> Option<Resources> {
        let free = self.free(number);
        need.fits_in(&free).then(|| free.saturating_sub(need))
    }

    pub fn take(&mut self, number: SlotNumber, need: &Resources) {
        if let Some(slot) = self.fleet.slot(number) {
            let taken = self.taken.entry(number).or_default();
            *taken = taken.saturating_add(need);
            self.workers.push(slot.id.clone());
        }
    }

    /// The chosen workers, or none if there are fewer than a gang needs.
    pub fn finish(self, whole: bool, count: u32) -> Vec<WorkerId> {
        if whole && self.workers.len() < count as usize {
            return Vec::new();
        }
        self.workers
    }
}

/// How much of a worker is left over, in shares of a mean worker, and how unevenly.
///
/// A little left over on every resource can be used; much of one without the other cannot.
pub(crate) struct Leftover {
    processor_millicores_mean: f64,
    memory_mib_mean: f64,
}

/// How much an uneven rest counts against its amount.
const UNEVEN_WEIGHT: f64 = 0.5;

impl Leftover {
    pub fn new(fleet: &Fleet) -> Self {
        let count = fleet.len().max(1) as f64;
        let total = fleet.total();
        Self {
            processor_millicores_mean: (total.processor_millicores as f64 / count).max(1.0),
            memory_mib_mean: (total.memory_mib as f64 / count).max(1.0),
        }
    }

    pub fn score(&self, left: &Resources) -> f64 {
        let processor = left.processor_millicores as f64 / self.processor_millicores_mean;
        let memory = left.memory_mib as f64 / self.memory_mib_mean;
        processor + memory + UNEVEN_WEIGHT * (processor - memory).abs()
    }
}
