//! Which waiting steps have room in a scheduling round.
//!
//! A step without room starts nothing until other tasks have ended, which may be never: its workers
//! may be gone, or tasks that last may use them.

use std::{collections::HashMap, time::Instant};

use jackdawchute_types::{Label, Resources, ServiceId, WorkerId};
use rustc_hash::FxHashMap;

use crate::{
    free_capacity::{can_run, tasks_fitting, FreeCapacity, WorkerCapacity},
    job::{Advice, StepRun},
    Scheduler, StepName, StepSpec,
};

/// The free capacity of the workers of one service that have one label.
#[derive(Clone, Copy, Debug, Default)]
struct LabelledCapacity {
    /// The most of each resource that is free on one worker.
    largest: Resources,
    total: Resources,
}

/// The free capacity by service and label, which rules out most steps without a look at each worker.
#[derive(Debug, Default)]
pub(crate) struct CapacityByLabel {
    services: FxHashMap<ServiceId, FxHashMap<Option<Label>, LabelledCapacity>>,
}

impl CapacityByLabel {
    /// Returns whether a unit of a step may fit, if nothing is reserved and no worker denied.
    fn may_fit(&self, service: &ServiceId, spec: &StepSpec) -> bool {
        let labels = self.services.get(service);
        let capacity = labels.and_then(|labels| labels.get(&spec.required_label));
        capacity.is_some_and(|capacity| {
            let size = spec.charged_resources();
            let unit = size.saturating_mul(spec.unit_size());
            size.fits_in(&capacity.largest) && unit.fits_in(&capacity.total)
        })
    }
}

impl Scheduler {
    /// Returns the free capacity by service and label.
    pub(crate) fn capacity_by_label(&self, free_capacity: &FreeCapacity) -> CapacityByLabel {
        let mut by_label = CapacityByLabel::default();
        for (id, worker_capacity) in free_capacity.workers() {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let service = worker.entry.service.clone();
            let labels = by_label.services.entry(service).or_default();
            let own_labels = worker.entry.labels.iter().cloned().map(Some);
            for label in own_labels.chain([None]) {
                let capacity = labels.entry(label).or_default();
                let free = &worker_capacity.free;
                capacity.largest = capacity.largest.max_of_each(free);
                capacity.total = capacity.total.saturating_add(free);
            }
        }
        by_label
    }

    /// Returns whether a unit of a step fits now on workers that no advisor has denied; a valid
    /// ticket is not needed.
    pub(crate) fn has_room(
        &self,
        name: &StepName,
        free_capacity: &FreeCapacity,
        by_label: &CapacityByLabel,
        now: Instant,
    ) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return false;
        };
        let Some((spec, step)) = job.step(name) else {
            return false;
        };
        if job.recovering || !by_label.may_fit(&job.queue.service, spec) {
            return false;
        }
        let estimate = self.estimate(job, spec);
        let size = spec.charged_resources();
        let on_worker = tasks_on_workers(spec, step);
        let per_worker_max = spec.per_worker_max.unwrap_or(u32::MAX);
        let tasks_on = |id: &WorkerId, worker_capacity: &WorkerCapacity| {
            let is_denied = matches!(step.advice.get(id), Some(Advice::Denied));
            let placed = on_worker.get(id).copied().unwrap_or(0);
            let ends_at = now + self.expected_on(spec, &estimate, worker_capacity);
            let tasks_fitting = tasks_fitting(&size, worker_capacity.usable(ends_at))
                .min(per_worker_max.saturating_sub(placed));
            let may_run = tasks_fitting > 0
                && !is_denied
                && can_run(&self.workers, id, worker_capacity, job, spec);
            if may_run {
                tasks_fitting
            } else {
                0
            }
        };
        let mut fitting: u32 = 0;
        free_capacity.workers().any(|(id, worker_capacity)| {
            fitting = fitting.saturating_add(tasks_on(id, worker_capacity));
            fitting >= spec.unit_size()
        })
    }
}

/// Returns how many tasks of a step are on each worker; none if the step has no limit for that.
pub(crate) fn tasks_on_workers<'a>(
    spec: &StepSpec,
    step: &'a StepRun,
) -> HashMap<&'a WorkerId, u32> {
    let mut on_worker = HashMap::new();
    if spec.per_worker_max.is_some() {
        for (_, worker) in step.units.iter().flat_map(|unit| &unit.placed) {
            *on_worker.entry(worker).or_default() += 1;
        }
    }
    on_worker
}
