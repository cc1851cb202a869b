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
    /// Plans room for a number of tasks of a size, on the first workers with the number of tasks that
    /// fit there: advisors have yet to allow some of them, and whole tasks leave the others whole.
    pub(crate) fn plan(&mut self, workers: &[(WorkerId, u32)], size: &Resources, tasks: u32) {
        let mut left = tasks;
        for (worker, fitting) in workers {
            let here = left.min(*fitting);
            if here == 0 {
                break;
            }
            left -= here;
            let planned = self.by_worker.entry(worker.clone()).or_default();
            *planned = planned.saturating_add(&size.saturating_mul(here));
        }
    }

    /// Returns what is left of the free capacity of a worker.
    pub(crate) fn left(&self, worker: &WorkerId, free: Resources) -> Resources {
        let planned = self.by_worker.get(worker);
        planned.map_or(free, |planned| free.saturating_sub(planned))
    }
}
