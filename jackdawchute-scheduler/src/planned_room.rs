//! The room that steps are about to use, once the advice that they have requested is there.
//!
//! Were each gang to count all free capacity as its own, all of them would request advice about the
//! same workers, and most would find these taken when the answers arrive.

use jackdawchute_types::{Resources, WorkerId};
use rustc_hash::FxHashMap;

/// What steps with a better rank are about to use on each worker.
#[derive(Debug, Default)]
pub(crate) struct PlannedRoom {
    by_worker: FxHashMap<WorkerId, Resources>,
}

impl PlannedRoom {
    /// Plans room for a number of tasks of a size, spread evenly over workers of which the advisors
    /// have yet to allow some.
    pub(crate) fn plan(&mut self, workers: &[WorkerId], size: &Resources, tasks: u32) {
        let count = workers.len() as u64;
        let (Some(processor_millicores), Some(memory_mib), Some(accelerators)) = (
            (size.processor_millicores * u64::from(tasks)).checked_div(count),
            (size.memory_mib * u64::from(tasks)).checked_div(count),
            (u64::from(size.accelerators) * u64::from(tasks)).checked_div(count),
        ) else {
            return;
        };
        let accelerators = u32::try_from(accelerators).unwrap_or(u32::MAX);
        let each = Resources::new(processor_millicores, memory_mib, accelerators);
        for worker in workers {
            let planned = self.by_worker.entry(worker.clone()).or_default();
            *planned = planned.saturating_add(&each);
        }
    }

    /// Returns what is left of the free capacity of a worker.
    pub(crate) fn left(&self, worker: &WorkerId, free: Resources) -> Resources {
        let planned = self.by_worker.get(worker);
        planned.map_or(free, |planned| free.saturating_sub(planned))
    }
}
