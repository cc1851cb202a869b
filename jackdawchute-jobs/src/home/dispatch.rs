//! Placement of admitted units on workers, in the order of their priority.

use std::{
    collections::{BTreeMap, HashSet},
    time::Instant,
};

use jackdawchute_admission::WorkItem;
use jackdawchute_ownership::JournalEntry;
use jackdawchute_placement::PlacementRequest;
use jackdawchute_types::{JobId, JobKind, Resources, WorkerId};

use crate::{
    effect::{AfterAppend, Effect, Now},
    home::state::{HomeGroups, ReadyKey, Unit},
};

/// The most units that one call of `dispatch` considers, so that other messages get their turn.
const UNITS_PER_ROUND_MAX: usize = 5_000;
/// The most runs of the placement policy in one call of `dispatch`, so that other messages get
/// their turn.
const CHOICES_PER_ROUND_MAX: usize = 500;

/// The entries and task indices of each job's assignments, journaled together for one job.
pub(crate) type Assignments = BTreeMap<JobId, (Vec<JournalEntry>, Vec<u32>)>;

impl HomeGroups {
    /// Places admitted units as far as workers have free capacity. A request that fits nowhere is
    /// not tried again for other units of the same kind, size and count.
    pub fn dispatch(&mut self, now: Now) -> Vec<Effect> {
        self.admit(now.instant);
        if !self.is_confirmed() {
            return Vec::new();
        }
        let mut assignments = Assignments::new();
        let mut unplaceable: HashSet<(JobKind, Resources, u32)> = HashSet::new();
        let mut choices = 0;
        let mut effects = Vec::new();
        let keys: Vec<ReadyKey> = self
            .ready
            .keys()
            .take(UNITS_PER_ROUND_MAX)
            .copied()
            .collect();
        for key in keys {
            let Some((unit, _)) = self.ready.get(&key) else {
                continue;
            };
            let Some(request) = self.placement_request(&unit.clone()) else {
                continue;
            };
            let shape = (request.kind, request.resources, request.count);
            if unplaceable.contains(&shape) {
                continue;
            }
            choices += 1;
            if choices > CHOICES_PER_ROUND_MAX {
                break;
            }
            let workers = self.policy.place(&self.fleet_view, &request);
            if workers.is_empty() {
                unplaceable.insert(shape);
                continue;
            }
            if let Some((unit, work_item)) = self.ready.remove(&key) {
                self.set_queue_key(&unit, None);
                let placed = self.place(&unit, work_item, &workers, now.instant, &mut assignments);
                effects.extend(placed);
            }
        }
        effects.extend(append_assignments(assignments));
        effects
    }

    /// Returns the placement request of a unit, or `None` if its job may not start.
    fn placement_request(&self, unit: &Unit) -> Option<PlacementRequest> {
        let job = self.jobs.get(&unit.job).filter(|job| job.may_start())?;
        let spec = job.spec();
        let waiting = |task: &crate::home::Task| task.phase == crate::home::TaskPhase::Waiting;
        let count = match unit.index {
            Some(_) => 1,
            None => u32::try_from(job.indices(waiting).len()).unwrap_or(u32::MAX),
        };
        let placed = if spec.kind == JobKind::Service {
            job.workers()
        } else {
            Vec::new()
        };
        Some(PlacementRequest {
            kind: spec.kind,
            count,
            resources: spec.resources,
            placed,
        })
    }

    /// Assigns a single task to its worker, or begins the hold round of a gang.
    fn place(
        &mut self,
        unit: &Unit,
        work_item: WorkItem,
        workers: &[WorkerId],
        now: Instant,
        assignments: &mut Assignments,
    ) -> Vec<Effect> {
        match unit.index {
            None => self.begin_hold_round(&unit.job, work_item, workers, now),
            Some(index) => {
                if let Some(worker) = workers.first() {
                    let chosen = [(index, worker.clone())];
                    self.assign(&unit.job, &chosen, Some(work_item), now, assignments);
                }
                Vec::new()
            }
        }
    }
}

/// Returns one append for the assignments of each job.
pub(crate) fn append_assignments(assignments: Assignments) -> impl Iterator<Item = Effect> {
    assignments
        .into_iter()
        .map(|(job, (entries, indices))| Effect::Append {
            entries,
            after: AfterAppend::Assigned(job, indices),
        })
}
