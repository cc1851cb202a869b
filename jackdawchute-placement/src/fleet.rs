//! What each worker has and what is charged to it.

use std::collections::{BTreeMap, HashMap};

use jackdawchute_types::{FailureDomainId, RackId, Resources, TaskId, WorkerId};

/// A worker as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSlot {
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

impl WorkerSlot {
    /// What is left of it.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.charged)
    }
}

/// The workers that one owner decides for.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: BTreeMap<WorkerId, WorkerSlot>,
    charges: HashMap<TaskId, (WorkerId, Resources)>,
}

impl Fleet {
    /// Adds a worker, or changes its size and whether it accepts; charges stay.
    pub fn upsert(&mut self, mut worker: WorkerSlot) {
        if let Some(known) = self.workers.get(&worker.id) {
            worker.charged = known.charged;
        }
        self.workers.insert(worker.id.clone(), worker);
    }

    /// Removes a worker and the charges on it.
    pub fn remove(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
        self.charges.retain(|_, (charged, _)| charged != worker);
    }

    /// The workers in the order of their ids.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerSlot> {
        self.workers.values()
    }

    /// A worker by its id.
    pub fn get(&self, worker: &WorkerId) -> Option<&WorkerSlot> {
        self.workers.get(worker)
    }

    /// Changes whether a worker may get new tasks.
    pub fn set_accepting(&mut self, worker: &WorkerId, accepting: bool) {
        if let Some(slot) = self.workers.get_mut(worker) {
            slot.accepting = accepting;
        }
    }

    /// Charges the declared or, once larger, the reported use of a task to its worker.
    pub fn charge(&mut self, worker: &WorkerId, task: &TaskId, amount: Resources) {
        self.release(task);
        if let Some(slot) = self.workers.get_mut(worker) {
            slot.charged = slot.charged.saturating_add(&amount);
            self.charges.insert(task.clone(), (worker.clone(), amount));
        }
    }

    /// Takes the charge of a task off its worker.
    pub fn release(&mut self, task: &TaskId) {
        if let Some((worker, amount)) = self.charges.remove(task) {
            if let Some(slot) = self.workers.get_mut(&worker) {
                slot.charged = slot.charged.saturating_sub(&amount);
            }
        }
    }
}
