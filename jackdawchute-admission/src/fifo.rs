//! The simplest baseline: one queue for all classes, first in, first out.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use jackdawchute_types::{ClassId, Refusal, RefusalReason};

use crate::{AdmissionPolicy, Limits, WorkItem, WorkItemId};

/// Serves one queue in the order of arrival; its bound is the sum of the classes' `queue_max`.
#[derive(Debug, Default)]
pub struct Fifo {
    limits: Limits,
    capacity_units: u32,
    used_units: u32,
    queue: VecDeque<WorkItem>,
}

impl Fifo {
    fn queue_max(&self) -> usize {
        self.limits
            .classes
            .values()
            .map(|class| class.queue_max)
            .sum()
    }
}

impl AdmissionPolicy for Fifo {
    fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    fn set_capacity(&mut self, units: u32) {
        self.capacity_units = units;
    }

    fn offer(&mut self, item: WorkItem, _now: Instant) -> Result<(), Refusal> {
        if self.queue.len() >= self.queue_max() {
            return Err(Refusal::not_run(
                RefusalReason::QueueFull,
                "the queue of all classes",
            ));
        }
        self.queue.push_back(item);
        Ok(())
    }

    fn next(&mut self, _now: Instant) -> Option<WorkItem> {
        let cost = self.queue.front()?.cost;
        if self.used_units + cost > self.capacity_units {
            return None;
        }
        self.used_units += cost;
        self.queue.pop_front()
    }

    fn expire(&mut self, now: Instant) -> Vec<(WorkItem, Refusal)> {
        let is_expired = |item: &WorkItem| item.deadline.is_some_and(|deadline| deadline <= now);
        let (expired, remaining) = self.queue.drain(..).partition::<VecDeque<_>, _>(is_expired);
        self.queue = remaining;
        let refusal = || Refusal::not_run(RefusalReason::DeadlineExpired, "waited too long");
        expired.into_iter().map(|item| (item, refusal())).collect()
    }

    fn cancel(&mut self, id: WorkItemId) -> Option<WorkItem> {
        let index = self.queue.iter().position(|item| item.id == id)?;
        self.queue.remove(index)
    }

    fn release(&mut self, item: &WorkItem, _service_time: Duration) {
        self.used_units = self.used_units.saturating_sub(item.cost);
    }

    fn queued(&self) -> BTreeMap<ClassId, usize> {
        let mut counts = BTreeMap::new();
        for item in &self.queue {
            *counts.entry(item.class.clone()).or_default() += 1;
        }
        counts
    }
}
