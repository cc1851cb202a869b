//! Places gangs, whose tasks start together.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use jackdawchute_speeds::RunEstimate;
use jackdawchute_types::RackId;

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
        let estimate = self.estimate(job, spec);
        let candidates = self.candidates(job, name, spec, free_capacity, estimate, now);
        let size = spec.charged_resources();
        let tasks_that_fit = |candidate: &Candidate, run_time: Duration| -> u32 {
            let Some(worker_capacity) = free_capacity.worker(&candidate.worker) else {
                return 0;
            };
            let ends_at = now + candidate.expected.max(run_time);
            tasks_fitting(&size, worker_capacity.usable(ends_at)).min(candidate.tasks_allowed)
        };
        // All places are held until the slowest task ends, which a reservation may not allow.
        let soonest = candidates.iter().map(|candidate| candidate.expected).min();
        let mut run_time = soonest.unwrap_or_default();
        let counts = loop {
            let mut counts: Vec<(u32, Candidate)> = candidates
                .iter()
                .map(|candidate| (tasks_that_fit(candidate, run_time), candidate.clone()))
                .filter(|(count, _)| *count > 0)
                .collect();
            counts.sort_by_key(|(count, candidate)| (candidate.rank, Reverse(*count)));
            if spec.rack_local {
                self.prefer_one_rack(&mut counts, spec.tasks, estimate);
            }
            let total: u32 = counts.iter().map(|(count, _)| count).sum();
            if total < spec.tasks {
                return false;
            }
            let needed = self.run_time_of_gang(&counts, spec);
            if needed <= run_time {
                break counts;
            }
            run_time = needed;
        };
        let workers = counts.iter().map(|(_, candidate)| &candidate.worker);
        if spec.rack_local && self.gang_waits(name, spec, workers, free_capacity, now) {
            return false;
        }
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

    /// Returns how long a gang takes on the first of these places, the longer over several racks.
    fn run_time_of_gang(&self, counts: &[(u32, Candidate)], spec: &StepSpec) -> Duration {
        let places: Vec<(u32, Duration)> = counts
            .iter()
            .map(|(count, candidate)| (*count, candidate.expected))
            .collect();
        let run_time = time_of_gang(&places, spec.tasks);
        let mut racks = HashSet::new();
        let mut left = spec.tasks;
        for (count, candidate) in counts {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(*count);
            let worker = self.workers.get(&candidate.worker);
            racks.insert(worker.and_then(|worker| worker.entry.rack.as_ref()));
        }
        if spec.rack_local && racks.len() > 1 {
            run_time.mul_f64(self.settings.remote_slowdown)
        } else {
            run_time
        }
    }

    /// Drops all candidates but those of the rack on which the gang ends first, if one rack alone
    /// has capacity for it and it doesn't end sooner over several.
    fn prefer_one_rack(
        &self,
        counts: &mut Vec<(u32, Candidate)>,
        tasks: u32,
        estimate: RunEstimate,
    ) {
        let rack_of = |candidate: &Candidate| {
            let worker = self.workers.get(&candidate.worker);
            worker.and_then(|worker| worker.entry.rack.clone())
        };
        let mut by_rack: HashMap<RackId, (u32, Vec<(u32, Duration)>)> = HashMap::new();
        for (count, candidate) in counts.iter() {
            if let Some(rack) = rack_of(candidate) {
                let (total, places) = by_rack.entry(rack).or_default();
                *total += count;
                places.push((*count, candidate.expected));
            }
        }
        let slowdown = |expected: Duration| {
            expected.as_secs_f64() / estimate.expected.as_secs_f64().max(f64::MIN_POSITIVE)
        };
        let large_enough = by_rack
            .into_iter()
            .filter(|(_, (total, _))| *total >= tasks)
            .map(|(rack, (total, places))| {
                let ends_last = slowdown(time_of_gang(&places, tasks));
                (estimate.rank(ends_last, None, None), total, rack)
            });
        let Some((rank, _, rack)) = large_enough.min() else {
            return;
        };
        let over_racks: Vec<(u32, Duration)> = counts
            .iter()
            .map(|(count, candidate)| (*count, candidate.expected))
            .collect();
        let over_racks = slowdown(time_of_gang(&over_racks, tasks));
        if estimate.rank(over_racks, Some(self.settings.remote_slowdown), None) >= rank {
            counts.retain(|(_, candidate)| rack_of(candidate).as_ref() == Some(&rack));
        }
    }
}

/// Returns how long a gang takes on the first of these places, each with the number of tasks that
/// fit there and their expected time.
fn time_of_gang(places: &[(u32, Duration)], tasks: u32) -> Duration {
    let mut left = tasks;
    let mut slowest = Duration::ZERO;
    for (count, expected) in places {
        if left == 0 {
            break;
        }
        left = left.saturating_sub(*count);
        slowest = slowest.max(*expected);
    }
    slowest
}
