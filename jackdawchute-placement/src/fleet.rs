//! What each worker has and what is charged to it.

use std::collections::{BTreeMap, HashMap};

use jackdawchute_types::{FailureDomainId, RackId, Resources, TaskId, WorkerId};

use crate::index::{Index, Score, SlotNumber};

/// A worker as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetWorker {
    /// The worker.
    pub id: WorkerId,
    /// Its rack.
    pub rack: RackId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// What it has.
    pub capacity: Resources,
    /// Whether it may get new tasks: neither leaving nor quarantined.
    pub accepting: bool,
    /// What is charged to it.
    pub charged: Resources,
}

impl FleetWorker {
    /// What is left of it.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.charged)
    }
}

/// The workers of one failure domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Domain {
    pub index: Index,
    pub racks: BTreeMap<RackId, Vec<SlotNumber>>,
}

/// The workers that one owner decides for, indexed by what is free of them.
///
/// ```
/// use jackdawchute_placement::{Fleet, FleetWorker};
/// use jackdawchute_types::Resources;
///
/// let mut fleet = Fleet::default();
/// fleet.upsert(FleetWorker {
///     id: "w1".into(),
///     rack: "r1".into(),
///     failure_domain: "ala-1".into(),
///     capacity: Resources::new(32_000, 131_072, 0),
///     accepting: true,
///     charged: Resources::ZERO,
/// });
/// fleet.charge(&"w1".into(), &"j1-0".into(), Resources::new(2_000, 1_024, 0));
/// let free = fleet.get(&"w1".into()).map(FleetWorker::free);
/// assert_eq!(free, Some(Resources::new(30_000, 130_048, 0)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    numbers: BTreeMap<WorkerId, SlotNumber>,
    slots: Vec<Option<FleetWorker>>,
    vacant: Vec<SlotNumber>,
    charges: HashMap<TaskId, (SlotNumber, Resources)>,
    index: Index,
    domains: BTreeMap<FailureDomainId, Domain>,
    total: Resources,
}

impl Fleet {
    /// Adds a worker, or changes its size and whether it accepts; charges stay.
    pub fn upsert(&mut self, mut worker: FleetWorker) {
        let known = self.numbers.get(&worker.id).copied();
        if let Some(number) = known {
            worker.charged = self
                .slot(number)
                .map_or(Resources::ZERO, |slot| slot.charged);
            self.detach(number);
        }
        let number = known.unwrap_or_else(|| self.vacant_number());
        self.numbers.insert(worker.id.clone(), number);
        self.total = self.total.saturating_add(&worker.capacity);
        let domain = self
            .domains
            .entry(worker.failure_domain.clone())
            .or_default();
        let rack = domain.racks.entry(worker.rack.clone()).or_default();
        rack.push(number);
        if let Some(slot) = self.slots.get_mut(number as usize) {
            *slot = Some(worker);
        }
        self.reindex(number);
    }

    /// Removes a worker and the charges on it.
    pub fn remove(&mut self, worker: &WorkerId) {
        let Some(number) = self.numbers.remove(worker) else {
            return;
        };
        self.detach(number);
        self.charges.retain(|_, (charged, _)| *charged != number);
        self.vacant.push(number);
    }

    /// The workers in the order of their ids.
    pub fn workers(&self) -> impl Iterator<Item = &FleetWorker> {
        let numbers = self.numbers.values();
        numbers.filter_map(|&number| self.slot(number))
    }

    /// A worker by its id.
    pub fn get(&self, worker: &WorkerId) -> Option<&FleetWorker> {
        self.slot(*self.numbers.get(worker)?)
    }

    /// The number of workers.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Whether there is no worker.
    pub fn is_empty(&self) -> bool {
        self.numbers.is_empty()
    }

    /// The size of all workers together.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Changes whether a worker may get new tasks.
    pub fn set_accepting(&mut self, worker: &WorkerId, accepting: bool) {
        let Some(&number) = self.numbers.get(worker) else {
            return;
        };
        if let Some(Some(slot)) = self.slots.get_mut(number as usize) {
            if slot.accepting != accepting {
                slot.accepting = accepting;
                self.reindex(number);
            }
        }
    }

    /// Charges the declared or, once larger, the reported use of a task to its worker.
    pub fn charge(&mut self, worker: &WorkerId, task: &TaskId, amount: Resources) {
        self.release(task);
        let Some(&number) = self.numbers.get(worker) else {
            return;
        };
        if let Some(Some(slot)) = self.slots.get_mut(number as usize) {
            slot.charged = slot.charged.saturating_add(&amount);
            self.charges.insert(task.clone(), (number, amount));
            self.reindex(number);
        }
    }

    /// Takes the charge of a task off its worker.
    pub fn release(&mut self, task: &TaskId) {
        let Some((number, amount)) = self.charges.remove(task) else {
            return;
        };
        if let Some(Some(slot)) = self.slots.get_mut(number as usize) {
            slot.charged = slot.charged.saturating_sub(&amount);
            self.reindex(number);
        }
    }

    pub(crate) fn slot(&self, number: SlotNumber) -> Option<&FleetWorker> {
        self.slots.get(number as usize)?.as_ref()
    }

    /// One more than the highest number of a worker.
    pub(crate) fn numbers_max(&self) -> SlotNumber {
        SlotNumber::try_from(self.slots.len()).unwrap_or(SlotNumber::MAX)
    }

    pub(crate) fn domains(&self) -> &BTreeMap<FailureDomainId, Domain> {
        &self.domains
    }

    /// The best accepting worker with room, by a score of which lower is better.
    pub(crate) fn best(&self, need: &Resources, score: Score<'_>) -> Option<SlotNumber> {
        self.index.best(need, score)
    }

    fn vacant_number(&mut self) -> SlotNumber {
        self.vacant.pop().unwrap_or_else(|| {
            self.slots.push(None);
            SlotNumber::try_from(self.slots.len() - 1).unwrap_or(SlotNumber::MAX)
        })
    }

    fn detach(&mut self, number: SlotNumber) {
        let Some(slot) = self.slots.get_mut(number as usize).and_then(Option::take) else {
            return;
        };
        self.total = self.total.saturating_sub(&slot.capacity);
        self.index.remove(number);
        if let Some(domain) = self.domains.get_mut(&slot.failure_domain) {
            domain.index.remove(number);
            if let Some(rack) = domain.racks.get_mut(&slot.rack) {
                rack.retain(|&member| member != number);
                if rack.is_empty() {
                    domain.racks.remove(&slot.rack);
                }
            }
            if domain.racks.is_empty() {
                self.domains.remove(&slot.failure_domain);
            }
        }
    }

    fn reindex(&mut self, number: SlotNumber) {
        let Some(Some(slot)) = self.slots.get(number as usize) else {
            return;
        };
        let domain = self.domains.get_mut(&slot.failure_domain);
        let indexes = [
            Some(&mut self.index),
            domain.map(|domain| &mut domain.index),
        ];
        for index in indexes.into_iter().flatten() {
            if slot.accepting {
                index.insert(number, &slot.free());
            } else {
                index.remove(number);
            }
        }
    }
}
