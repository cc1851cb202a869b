//! Services: spread over failure domains, then over racks.

use std::collections::BTreeMap;

use jackdawchute_types::{FailureDomainId, RackId, WorkerId};

use crate::{
    choice::{Choice, Leftover},
    fleet::Domain,
    index::SlotNumber,
    Fleet, PlacementPolicy, PlacementRequest,
};

/// The racks looked at, of those with the fewest tasks of the job.
const RACKS_MAX: usize = 8;

/// Takes the failure domain, and in it the rack, with the fewest tasks of the job.
///
/// ```
/// use jackdawchute_placement::{PlacementPolicy, Spread};
///
/// assert_eq!(Spread::default().name(), "spread");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    /// Where the next look at equal racks begins, so that jobs do not all use the first ones.
    start: usize,
}

#[derive(Default)]
struct Counts {
    domains: BTreeMap<FailureDomainId, u32>,
    racks: BTreeMap<RackId, u32>,
    workers: BTreeMap<WorkerId, u32>,
}

impl Counts {
    fn new(fleet: &Fleet, placed: &[WorkerId]) -> Self {
        let mut counts = Self::default();
        for worker in placed {
            counts.add(fleet, worker);
        }
        counts
    }

    fn add(&mut self, fleet: &Fleet, worker: &WorkerId) {
        if let Some(slot) = fleet.get(worker) {
            *self.domains.entry(slot.failure_domain.clone()).or_default() += 1;
            *self.racks.entry(slot.rack.clone()).or_default() += 1;
            *self.workers.entry(slot.id.clone()).or_default() += 1;
        }
    }
}

impl PlacementPolicy for Spread {
    fn name(&self) -> &'static str {
        "spread"
    }

    fn place(&mut self, fleet: &Fleet, ask: &PlacementRequest) -> Vec<WorkerId> {
        let leftover = Leftover::new(fleet);
        let mut counts = Counts::new(fleet, &ask.placed);
        let mut choice = Choice::new(fleet);
        for _ in 0..ask.count {
            let Some(number) = self.next(fleet, ask, &counts, &choice, &leftover) else {
                break;
            };
            choice.take(number, &ask.resources);
            if let Some(worker) = choice.workers.last() {
                counts.add(fleet, worker);
            }
        }
        choice.workers
    }
}

impl Spread {
    fn next(
        &mut self,
        fleet: &Fleet,
        ask: &PlacementRequest,
        counts: &Counts,
        choice: &Choice<'_>,
        leftover: &Leftover,
    ) -> Option<SlotNumber> {
        self.start = self.start.wrapping_add(1);
        let count = |id: &FailureDomainId| counts.domains.get(id).copied().unwrap_or_default();
        let mut domains: Vec<(u32, &Domain)> = fleet
            .domains()
            .iter()
            .map(|(id, domain)| (count(id), domain))
            .collect();
        let start = self.start % domains.len().max(1);
        domains.rotate_left(start);
        domains.sort_by_key(|(count, _)| *count);
        let rate = |number: SlotNumber| {
            let slot = fleet.slot(number).filter(|slot| slot.accepting)?;
            let left = choice.left(number, &ask.resources)?;
            let rack = counts.racks.get(&slot.rack).copied().unwrap_or_default();
            let own = counts.workers.get(&slot.id).copied().unwrap_or_default();
            let spread = f64::from(rack) * 1e3 + f64::from(own) * 1e6;
            Some(spread + f64::from(left.accelerators) * 10.0 + leftover.score(&left))
        };
        let domains = domains.into_iter().map(|(_, domain)| domain);
        let mut found = domains.map(|domain| {
            self.in_racks(domain, counts, &rate).or_else(|| {
                domain
                    .index
                    .best(&ask.resources, &mut |number| rate(number))
            })
        });
        found.find_map(|found| found)
    }

    /// The best worker of a few racks with the fewest tasks of the job.
    fn in_racks(
        &self,
        domain: &Domain,
        counts: &Counts,
        rate: &dyn Fn(SlotNumber) -> Option<f64>,
    ) -> Option<SlotNumber> {
        let count = |id: &RackId| counts.racks.get(id).copied().unwrap_or_default();
        let mut racks: Vec<(u32, &Vec<SlotNumber>)> = domain
            .racks
            .iter()
            .map(|(id, members)| (count(id), members))
            .collect();
        let start = self.start % racks.len().max(1);
        racks.rotate_left(start);
        racks.sort_by_key(|(count, _)| *count);
        let members = racks
            .into_iter()
            .take(RACKS_MAX)
            .flat_map(|(_, members)| members);
        let rated = members.filter_map(|&number| Some((rate(number)?, number)));
        let best = rated.min_by(|left, right| left.0.total_cmp(&right.0));
        best.map(|(_, number)| number)
    }
}
