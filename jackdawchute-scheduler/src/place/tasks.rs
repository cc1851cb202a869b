//! Places the single tasks of a step.

use std::time::Instant;

use jackdawchute_types::WorkerId;

use crate::{free_capacity::FreeCapacity, Scheduler, StepName, StepSpec};

impl Scheduler {
    /// Starts the waiting single tasks of a step that fit, at most `starts_max`; returns how many.
    pub(super) fn place_tasks(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        free_capacity: &mut FreeCapacity,
        starts_max: usize,
        now: Instant,
    ) -> usize {
        let Some(job) = self.jobs.get(&name.job) else {
            return 0;
        };
        let estimate = self.estimate(job, spec);
        let mut candidates = self.candidates(job, name, spec, free_capacity, estimate, now);
        if candidates.is_empty() {
            return 0;
        }
        let Some((_, step)) = job.step(name) else {
            return 0;
        };
        let waiting: Vec<(u32, Option<WorkerId>)> = (0u32..)
            .zip(&step.units)
            .filter(|(_, unit)| unit.is_waiting())
            .map(|(index, unit)| (index, unit.failed_on.clone()))
            .take(starts_max)
            .collect();
        let size = spec.charged_resources();
        let mut started = 0;
        for (index, failed_on) in waiting {
            let best = candidates
                .iter_mut()
                .filter(|candidate| candidate.tasks_allowed > 0)
                .filter_map(|candidate| {
                    let free = free_capacity
                        .worker(&candidate.worker)?
                        .usable(now + candidate.expected);
                    let fits = size.fits_in(&free);
                    let failed_there = failed_on.as_ref() == Some(&candidate.worker);
                    // Among places that suit equally the one with the fewest free processors is
                    // best, so that gangs find large gaps.
                    let cost = (
                        failed_there,
                        candidate.rank,
                        self.reserved_in_last_round.contains(&candidate.worker),
                        free.processor_millicores,
                    );
                    fits.then_some((cost, candidate))
                })
                .min_by(|left, right| left.0.cmp(&right.0));
            let Some((_, candidate)) = best else {
                break;
            };
            let (worker, ticket) = (candidate.worker.clone(), candidate.ticket.clone());
            if self.task_waits(name, spec, index, &worker, free_capacity, now) {
                continue;
            }
            candidate.tasks_allowed -= 1;
            free_capacity.charge(&worker, &size);
            self.start_unit(name, spec, index as usize, &[(index, worker, ticket)], now);
            started += 1;
        }
        started
    }
}
