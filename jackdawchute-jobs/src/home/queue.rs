//! The queues of units between acceptance and placement: queued for admission, ready and delayed.

use std::time::{Duration, Instant};

use jackdawchute_admission::WorkItem;
use jackdawchute_types::{ClassId, JobId, Refusal, Resources};
use rand::Rng;

use crate::home::{
    job::QueueKey,
    state::{HomeGroups, ReadyKey, Unit},
};

/// The size of a capacity unit: a tenth of a core, or as large a share of the fleet's memory or
/// accelerators as that is of its cores.
const MILLICORES_PER_UNIT: u64 = 100;
/// The priority of a class that the configuration does not name: the least urgent.
const PRIORITY_LAST: u32 = u32::MAX;

impl HomeGroups {
    /// Queues a unit in the admission policy.
    pub(crate) fn enqueue(&mut self, unit: Unit, now: Instant) -> Result<(), Refusal> {
        let id = self.next_sequence();
        let Some(job) = self.jobs.get(&unit.job) else {
            return Ok(());
        };
        let spec = job.spec();
        let tasks = if unit.index.is_some() { 1 } else { spec.tasks };
        let work_item = WorkItem {
            id,
            class: spec.class.clone(),
            team: spec.team.clone(),
            arrived: job.accepted_at,
            deadline: job.deadline,
            cost: self.capacity_units(&spec.resources.saturating_mul(tasks)),
        };
        self.admission.offer(work_item, now)?;
        self.set_queue_key(&unit, Some(QueueKey::Queued(id)));
        self.queued.insert(id, unit);
        Ok(())
    }

    /// Queues a unit of an accepted job again, after a delay if admission refuses it now.
    pub(crate) fn requeue(&mut self, unit: Unit, now: Instant) {
        if self.enqueue(unit.clone(), now).is_err() {
            self.delay(unit, None, now, 0);
        }
    }

    /// Delays the next try of a unit, longer after each failure and with jitter. A unit with a
    /// `work_item` stays admitted meanwhile.
    pub(crate) fn delay(
        &mut self,
        unit: Unit,
        work_item: Option<WorkItem>,
        now: Instant,
        failures: u32,
    ) {
        let due = now + self.retry_delay(failures);
        let key = (due, self.next_sequence());
        self.set_queue_key(&unit, Some(QueueKey::Delayed(key)));
        self.delayed.insert(key, (unit, work_item));
    }

    /// Returns a random delay between half and all of the doubled and limited retry delay.
    fn retry_delay(&mut self, failures: u32) -> Duration {
        let factor = 2_u32.saturating_pow(failures.min(16));
        let longest = self.settings.retry_delay.saturating_mul(factor);
        let longest = longest.min(self.settings.retry_delay_max);
        longest.mul_f64(self.jitter.random_range(0.5..1.0))
    }

    /// Queues delayed units whose time has come.
    pub(crate) fn resume_delayed(&mut self, now: Instant) {
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > now {
                return;
            }
            match entry.remove() {
                (unit, Some(work_item)) => self.make_ready(unit, work_item),
                (unit, None) => self.requeue(unit, now),
            }
        }
    }

    /// Makes ready what the admission policy admits.
    pub(crate) fn admit(&mut self, now: Instant) {
        while let Some(work_item) = self.admission.next(now) {
            match self.queued.remove(&work_item.id) {
                Some(unit) => self.make_ready(unit, work_item),
                None => self.admission.release(&work_item, Duration::ZERO),
            }
        }
    }

    /// Returns the priority of a class, 0 for the most urgent.
    pub(crate) fn priority_of(&self, class: &ClassId) -> u32 {
        let class = self.settings.limits.classes.get(class);
        class.map_or(PRIORITY_LAST, |class| class.priority)
    }

    /// Adds an admitted unit to those that wait for a worker.
    pub(crate) fn make_ready(&mut self, unit: Unit, work_item: WorkItem) {
        let priority = self.priority_of(&work_item.class);
        let key: ReadyKey = (priority, work_item.id);
        self.set_queue_key(&unit, Some(QueueKey::Ready(key)));
        self.ready.insert(key, (unit, work_item));
    }

    /// Removes every waiting unit of a job from the queues.
    pub(crate) fn dequeue_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut keys: Vec<QueueKey> = job.gang_queue_key.take().into_iter().collect();
        keys.extend(
            job.tasks
                .iter_mut()
                .filter_map(|task| task.queue_key.take()),
        );
        for key in keys {
            self.dequeue_unit(&key);
        }
    }

    /// Removes a unit from its queue and releases its work item if it was admitted.
    fn dequeue_unit(&mut self, key: &QueueKey) {
        let work_item = match key {
            QueueKey::Queued(work_item) => {
                self.queued.remove(work_item);
                self.admission.cancel(*work_item);
                None
            }
            QueueKey::Ready(key) => self.ready.remove(key).map(|(_, work_item)| work_item),
            QueueKey::Delayed(key) => self
                .delayed
                .remove(key)
                .and_then(|(_, work_item)| work_item),
        };
        if let Some(work_item) = work_item {
            self.admission.release(&work_item, Duration::ZERO);
        }
    }

    /// Records in a unit's job where the unit is queued, or with `None` that it is not.
    pub(crate) fn set_queue_key(&mut self, unit: &Unit, key: Option<QueueKey>) {
        let Some(job) = self.jobs.get_mut(&unit.job) else {
            return;
        };
        match unit.index {
            None => job.gang_queue_key = key,
            Some(index) => {
                if let Some(task) = job.task_mut(index) {
                    task.queue_key = key;
                }
            }
        }
    }

    /// Returns an amount in capacity units: the largest share among its resources, at least one.
    pub(crate) fn capacity_units(&self, amount: &Resources) -> u32 {
        let scaled = |part: u64, whole: u64| {
            let share = u128::from(part) * u128::from(self.fleet_capacity.processor_millicores);
            share.checked_div(u128::from(whole)).unwrap_or(0)
        };
        let millicores = u128::from(amount.processor_millicores)
            .max(scaled(amount.memory_mib, self.fleet_capacity.memory_mib))
            .max(scaled(
                amount.accelerators.into(),
                self.fleet_capacity.accelerators.into(),
            ));
        let units = millicores.div_ceil(MILLICORES_PER_UNIT.into());
        u32::try_from(units).unwrap_or(u32::MAX).max(1)
    }
}
