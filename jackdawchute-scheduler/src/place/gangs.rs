//! Places gangs, whose tasks start together.

use std::{collections::HashMap, time::Instant};

use super::candidates::Candidate;
use crate::{
    free_capacity::{tasks_fitting, FreeCapacity},
    Scheduler, StepName, StepSpec,
};

impl Scheduler {
    /// Starts a gang if all its tasks fit; returns whether nothing is left to place.
    pub(super) fn place_gang(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        free_capacity: &mut FreeCapacity,
        now: Instant,
    ) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return true;
        };
        let mut candidates = self.candidates(job, name, spec, free_capacity, now);
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        let size = spec.charged_resources();
        let tasks_that_fit = |candidate: &Candidate| -> u32 {
            let Some(worker_capacity) = free_capacity.worker(&candidate.worker) else {
                return 0;
            };
            tasks_fitting(&size, worker_capacity.usable(now + expected))
                .min(candidate.tasks_allowed)
        };
        let mut counts: Vec<(u32, Candidate)> = candidates
            .drain(..)
            .map(|candidate| (tasks_that_fit(&candidate), candidate))
            .filter(|(count, _)| *count > 0)
            .collect();
        if spec.rack_local {
            self.prefer_one_rack(&mut counts, spec.tasks);
        }
        let total: u32 = counts.iter().map(|(count, _)| count).sum();
        if total < spec.tasks {
            return false;
        }
        counts.sort_by_key(|(count, candidate)| {
            (
                !candidate.near_data,
                candidate.slowness_tenths.max(11),
                std::cmp::Reverse(*count),
            )
        });
        let mut assignments = Vec::with_capacity(spec.tasks as usize);
        for (count, candidate) in counts {
            for _ in 0..count {
                let index = assignments.len() as u32;
                if index == spec.tasks {
                    break;
                }
                free_capacity.charge(&candidate.worker, &size);
                assignments.push((index, candidate.worker.clone(), candidate.ticket.clone()));
            }
        }
        self.start_unit(name, spec, 0, &assignments, now);
        true
    }

    /// Drops all candidates but those of one rack, if one rack alone has capacity for the gang.
    fn prefer_one_rack(&self, counts: &mut Vec<(u32, Candidate)>, tasks: u32) {
        let rack_of = |candidate: &Candidate| {
            let worker = self.workers.get(&candidate.worker);
            worker.and_then(|worker| worker.entry.rack.clone())
        };
        let mut by_rack: HashMap<_, u32> = HashMap::new();
        for (count, candidate) in counts.iter() {
            if let Some(rack) = rack_of(candidate) {
                *by_rack.entry(rack).or_default() += count;
            }
        }
        let large_enough = by_rack.into_iter().filter(|(_, count)| *count >= tasks);
        if let Some((rack, _)) =
            large_enough.min_by(|left, right| (left.1, &left.0).cmp(&(right.1, &right.0)))
        {
            counts.retain(|(_, candidate)| rack_of(candidate).as_ref() == Some(&rack));
        }
    }
}
