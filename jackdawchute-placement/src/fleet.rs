//! The workers of a fleet, with their capacity and what is charged to each.

use std::collections::{BTreeMap, HashMap};

use jackdawchute_types::{FailureDomainId, RackId, Resources, TaskId, WorkerId};

use crate::index::{Index, Score, WorkerNumber};

/// A worker with its location, capacity and charge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetWorker {
    /// The worker's id.
    pub id: WorkerId,
    /// The rack that the worker is in.
    pub rack: RackId,
    /// The failure domain that the worker is in.
    pub failure_domain: FailureDomainId,
    /// The total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker may get new tasks: it is neither leaving nor quarantined.
    pub accepting: bool,
    /// The sum of the charges of its tasks; [`Fleet::upsert`] keeps that of a known worker.
    pub charged: Resources,
}

impl FleetWorker {
    /// Returns the capacity that is not charged.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.charged)
    }
}

/// The workers of one failure domain, by free capacity and by rack.
#[derive(Clone, Debug, Default)]
pub(crate) struct Domain {
    pub index: Index,
    pub racks: BTreeMap<RackId, Vec<WorkerNumber>>,
}

/// The workers that one owner places tasks on, indexed by free capacity.
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
    numbers: BTreeMap<WorkerId, WorkerNumber>,
    by_number: Vec<Option<FleetWorker>>,
    vacant_numbers: Vec<WorkerNumber>,
    charges: HashMap<TaskId, (WorkerNumber, Resources)>,
    index: Index,
    domains: BTreeMap<FailureDomainId, Domain>,
    total: Resources,
}

impl Fleet {
    /// Adds a worker, or replaces a known one's data; the charges of a known worker stay.
    pub fn upsert(&mut self, mut worker: FleetWorker) {
        let known = self.numbers.get(&worker.id).copied();
        if let Some(number) = known {
            worker.charged = self
                .worker(number)
                .map_or(Resources::ZERO, |worker| worker.charged);
            self.detach(number);
        }
        let number = known.unwrap_or_else(|| self.next_number());
        self.numbers.insert(worker.id.clone(), number);
        self.total = self.total.saturating_add(&worker.capacity);
        let domain = self
            .domains
            .entry(worker.failure_domain.clone())
            .or_default();
        let rack = domain.racks.entry(worker.rack.clone()).or_default();
        rack.push(number);
        if let Some(entry) = self.by_number.get_mut(number as usize) {
            *entry = Some(worker);
        }
        self.reindex(number);
    }

    /// Removes a worker and the charges of its tasks.
    pub fn remove(&mut self, worker: &WorkerId) {
        let Some(number) = self.numbers.remove(worker) else {
            return;
        };
        self.detach(number);
        self.charges.retain(|_, (charged, _)| *charged != number);
        self.vacant_numbers.push(number);
    }

    /// Returns the workers in the order of their ids.
    pub fn workers(&self) -> impl Iterator<Item = &FleetWorker> {
        let numbers = self.numbers.values();
        numbers.filter_map(|&number| self.worker(number))
    }

    /// Returns the worker with this id.
    pub fn get(&self, worker: &WorkerId) -> Option<&FleetWorker> {
        self.worker(*self.numbers.get(worker)?)
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Returns whether the fleet has no workers.
    pub fn is_empty(&self) -> bool {
        self.numbers.is_empty()
    }

    /// Returns the capacity of all workers together, accepting or not.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Sets whether a worker may get new tasks.
    pub fn set_accepting(&mut self, worker: &WorkerId, accepting: bool) {
        let Some(&number) = self.numbers.get(worker) else {
            return;
        };
        if let Some(Some(worker)) = self.by_number.get_mut(number as usize) {
            if worker.accepting != accepting {
                worker.accepting = accepting;
                self.reindex(number);
            }
        }
    }

    /// Charges `amount` to the worker of a task, in place of any earlier charge of the task.
    ///
    /// The amount is the declared use, or the reported use once that is larger.
    pub fn charge(&mut self, worker: &WorkerId, task: &TaskId, amount: Resources) {
        self.release(task);
        let Some(&number) = self.numbers.get(worker) else {
            return;
        };
        if let Some(Some(worker)) = self.by_number.get_mut(number as usize) {
            worker.charged = worker.charged.saturating_add(&amount);
            self.charges.insert(task.clone(), (number, amount));
            self.reindex(number);
        }
    }

    /// Removes the charge of a task from its worker.
    pub fn release(&mut self, task: &TaskId) {
        let Some((number, amount)) = self.charges.remove(task) else {
            return;
        };
        if let Some(Some(worker)) = self.by_number.get_mut(number as usize) {
            worker.charged = worker.charged.saturating_sub(&amount);
            self.reindex(number);
        }
    }

    pub(crate) fn worker(&self, number: WorkerNumber) -> Option<&FleetWorker> {
        self.by_number.get(number as usize)?.as_ref()
    }

    /// Returns one more than the highest number of a worker.
    pub(crate) fn numbers_end(&self) -> WorkerNumber {
        WorkerNumber::try_from(self.by_number.len()).unwrap_or(WorkerNumber::MAX)
    }

    pub(crate) fn domains(&self) -> &BTreeMap<FailureDomainId, Domain> {
        &self.domains
    }

    /// Returns the accepting worker with the lowest score among those that the index compares.
    pub(crate) fn best(&self, need: &Resources, score: Score<'_>) -> Option<WorkerNumber> {
        self.index.best(need, score)
    }

    fn next_number(&mut self) -> WorkerNumber {
        self.vacant_numbers.pop().unwrap_or_else(|| {
            self.by_number.push(None);
            WorkerNumber::try_from(self.by_number.len() - 1).unwrap_or(WorkerNumber::MAX)
        })
    }

    /// Takes a worker out of the fleet and of all indexes; its number and charges stay.
    fn detach(&mut self, number: WorkerNumber) {
        let Some(worker) = self
            .by_number
            .get_mut(number as usize)
            .and_then(Option::take)
        else {
            return;
        };
        self.total = self.total.saturating_sub(&worker.capacity);
        self.index.remove(number);
        if let Some(domain) = self.domains.get_mut(&worker.failure_domain) {
            domain.index.remove(number);
            if let Some(rack) = domain.racks.get_mut(&worker.rack) {
                rack.retain(|&member| member != number);
                if rack.is_empty() {
                    domain.racks.remove(&worker.rack);
                }
            }
            if domain.racks.is_empty() {
                self.domains.remove(&worker.failure_domain);
            }
        }
    }

    /// Moves a worker to its current free capacity in the indexes; one that is not accepting is in
    /// none.
    fn reindex(&mut self, number: WorkerNumber) {
        let Some(Some(worker)) = self.by_number.get(number as usize) else {
            return;
        };
        let domain = self.domains.get_mut(&worker.failure_domain);
        let indexes = [
            Some(&mut self.index),
            domain.map(|domain| &mut domain.index),
        ];
        for index in indexes.into_iter().flatten() {
            if worker.accepting {
                index.insert(number, &worker.free());
            } else {
                index.remove(number);
            }
        }
    }
}
