//! Spreads the tasks of a service over failure domains, then over racks.

use std::collections::BTreeMap;

use jackdawchute_types::{FailureDomainId, RackId, WorkerId};

use crate::{
    choice::{Choice, RemainderScore},
    fleet::Domain,
    index::WorkerNumber,
    Fleet, PlacementPolicy, PlacementRequest,
};

/// How many racks of a failure domain are searched for a worker, those with the fewest tasks first.
const RACKS_MAX: usize = 8;

/// Chooses the failure domain, and in it the rack, with the fewest tasks of the job.
///
/// ```
/// use jackdawchute_placement::{PlacementPolicy, Spread};
///
/// assert_eq!(Spread::default().name(), "spread");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    /// Rotates the order of equal domains and racks, so that jobs do not all use the first ones.
    rotation: usize,
}

/// The tasks of one job by failure domain, rack and worker.
#[derive(Default)]
struct TaskCounts {
    domains: BTreeMap<FailureDomainId, u32>,
    racks: BTreeMap<RackId, u32>,
    workers: BTreeMap<WorkerId, u32>,
}

impl TaskCounts {
    fn new(fleet: &Fleet, placed: &[WorkerId]) -> Self {
        let mut counts = Self::default();
        for worker in placed {
            counts.add(fleet, worker);
        }
        counts
    }

    fn add(&mut self, fleet: &Fleet, worker: &WorkerId) {
        if let Some(worker) = fleet.get(worker) {
            *self
                .domains
                .entry(worker.failure_domain.clone())
                .or_default() += 1;
            *self.racks.entry(worker.rack.clone()).or_default() += 1;
            *self.workers.entry(worker.id.clone()).or_default() += 1;
        }
    }
}

impl PlacementPolicy for Spread {
    fn name(&self) -> &'static str {
        "spread"
    }

    fn place(&mut self, fleet: &Fleet, request: &PlacementRequest) -> Vec<WorkerId> {
        let remainder = RemainderScore::new(fleet);
        let mut counts = TaskCounts::new(fleet, &request.placed);
        let mut choice = Choice::new(fleet);
        for _ in 0..request.count {
            let Some(number) = self.next_worker(fleet, request, &counts, &choice, &remainder)
            else {
                break;
            };
            choice.add_task(number, &request.resources);
            if let Some(worker) = choice.workers.last() {
                counts.add(fleet, worker);
            }
        }
        choice.workers
    }
}

impl Spread {
    /// Returns the worker for the next task, from the domain with the fewest tasks that has one.
    fn next_worker(
        &mut self,
        fleet: &Fleet,
        request: &PlacementRequest,
        counts: &TaskCounts,
        choice: &Choice<'_>,
        remainder: &RemainderScore,
    ) -> Option<WorkerNumber> {
        self.rotation = self.rotation.wrapping_add(1);
        let count = |id: &FailureDomainId| counts.domains.get(id).copied().unwrap_or_default();
        let mut domains: Vec<(u32, &Domain)> = fleet
            .domains()
            .iter()
            .map(|(id, domain)| (count(id), domain))
            .collect();
        let rotation = self.rotation % domains.len().max(1);
        domains.rotate_left(rotation);
        domains.sort_by_key(|(count, _)| *count);
        let score = |number: WorkerNumber| {
            let worker = fleet.worker(number).filter(|worker| worker.accepting)?;
            let free_after = choice.free_after(number, &request.resources)?;
            let tasks_on_rack = counts.racks.get(&worker.rack).copied().unwrap_or_default();
            let tasks_on_worker = counts.workers.get(&worker.id).copied().unwrap_or_default();
            let penalty = f64::from(tasks_on_rack) * 1e3 + f64::from(tasks_on_worker) * 1e6;
            Some(penalty + f64::from(free_after.accelerators) * 10.0 + remainder.score(&free_after))
        };
        let domains = domains.into_iter().map(|(_, domain)| domain);
        let mut found = domains.map(|domain| {
            self.best_in_racks(domain, counts, &score).or_else(|| {
                domain
                    .index
                    .best(&request.resources, &mut |number| score(number))
            })
        });
        found.find_map(|found| found)
    }

    /// Returns the best worker of the [`RACKS_MAX`] racks with the fewest tasks of the job.
    fn best_in_racks(
        &self,
        domain: &Domain,
        counts: &TaskCounts,
        score: &dyn Fn(WorkerNumber) -> Option<f64>,
    ) -> Option<WorkerNumber> {
        let count = |id: &RackId| counts.racks.get(id).copied().unwrap_or_default();
        let mut racks: Vec<(u32, &Vec<WorkerNumber>)> = domain
            .racks
            .iter()
            .map(|(id, members)| (count(id), members))
            .collect();
        let rotation = self.rotation % racks.len().max(1);
        racks.rotate_left(rotation);
        racks.sort_by_key(|(count, _)| *count);
        let members = racks
            .into_iter()
            .take(RACKS_MAX)
            .flat_map(|(_, members)| members);
        let scored = members.filter_map(|&number| Some((score(number)?, number)));
        let best = scored.min_by(|left, right| left.0.total_cmp(&right.0));
        best.map(|(_, number)| number)
    }
}
