//! A baseline: the most urgent class goes first, without a floor for the others.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use jackdawchute_types::{ClassId, Refusal, RefusalReason};

use crate::{AdmissionPolicy, Limits, WorkItem, WorkItemId};

/// Serves one bounded queue for each class, strictly by priority.
///
/// ```
/// use jackdawchute_admission::{AdmissionPolicy, StrictPriority};
///
/// assert!(StrictPriority::default().queued().is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct StrictPriority {
    limits: Limits,
    capacity_units: u32,
    used_units: u32,
    queues: BTreeMap<(u32, ClassId), VecDeque<WorkItem>>,
}

impl StrictPriority {
    fn priority(&self, class: &ClassId) -> u32 {
        self.limits
            .classes
            .get(class)
            .map_or(u32::MAX, |l| l.priority)
    }
}

impl AdmissionPolicy for StrictPriority {
    fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let queues = std::mem::take(&mut self.queues);
        for ((_, class), items) in queues {
            let priority = self.priority(&class);
            self.queues.insert((priority, class), items);
        }
    }

    fn set_capacity(&mut self, units: u32) {
        self.capacity_units = units;
    }

    fn offer(&mut self, item: WorkItem, _now: Instant) -> Result<(), Refusal> {
        let priority = self.priority(&item.class);
        let limits = self.limits.classes.get(&item.class);
        let queue_max = limits.map_or(0, |limits| limits.queue_max);
        let queue = self
            .queues
            .entry((priority, item.class.clone()))
            .or_default();
        if queue.len() >= queue_max {
            let detail = format!("queue of class {}", item.class);
            return Err(Refusal::not_run(RefusalReason::QueueFull, detail));
        }
        queue.push_back(item);
        Ok(())
    }

    fn next(&mut self, now: Instant) -> Option<WorkItem> {
        let is_in_time = |item: &WorkItem| item.deadline.is_none_or(|deadline| deadline > now);
        let free = self.capacity_units.saturating_sub(self.used_units);
        let queue = self
            .queues
            .values_mut()
            .find(|queue| queue.iter().any(is_in_time))?;
        let index = queue.iter().position(is_in_time)?;
        if queue.get(index)?.cost > free {
            return None;
        }
        let item = queue.remove(index)?;
        self.used_units += item.cost;
        Some(item)
    }

    fn expire(&mut self, now: Instant) -> Vec<(WorkItem, Refusal)> {
        let is_expired = |item: &WorkItem| item.deadline.is_some_and(|deadline| deadline <= now);
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            let (overdue, remaining) = queue.drain(..).partition::<VecDeque<_>, _>(is_expired);
            *queue = remaining;
            expired.extend(overdue);
        }
        let refusal = || Refusal::not_run(RefusalReason::DeadlineExpired, "waited too long");
        expired.into_iter().map(|item| (item, refusal())).collect()
    }

    fn cancel(&mut self, id: WorkItemId) -> Option<WorkItem> {
        self.queues.values_mut().find_map(|queue| {
            let index = queue.iter().position(|item| item.id == id)?;
            queue.remove(index)
        })
    }

    fn release(&mut self, item: &WorkItem, _service_time: Duration) {
        self.used_units = self.used_units.saturating_sub(item.cost);
    }

    fn queued(&self) -> BTreeMap<ClassId, usize> {
        let queues = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        queues
            .map(|((_, class), queue)| (class.clone(), queue.len()))
            .collect()
    }
}
