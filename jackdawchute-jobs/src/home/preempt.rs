//! Preemption: urgent work that was admitted and finds no room has batch tasks of less urgent
//! classes stopped, within a budget. Only tasks of the home groups of this instance are chosen.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_types::{JobId, JobKind, Resources, WorkerId};

use crate::home::{
    job::{Job, TaskPhase},
    state::{HomeGroups, ReadyKey},
};

/// The time that the budget is counted over.
const BUDGET_PERIOD: Duration = Duration::from_secs(60);
/// The most tasks that are stopped for one.
const VICTIMS_MAX: usize = 4;
/// How long the stopped tasks may take to make room before others are chosen.
const ROOM_WAIT_MAX: Duration = Duration::from_secs(5);

/// A task that may be stopped; those that rank first lose the least.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    urgency: Reverse<u32>,
    assigned: Reverse<Option<Instant>>,
    job: JobId,
    index: u32,
}

impl HomeGroups {
    /// Stops tasks for the most urgent unit that waits too long for room, if any.
    pub(crate) fn preempt(&mut self, now: Instant) {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < BUDGET_PERIOD;
        self.preempted.retain(recent);
        let Some((key, need)) = self.waiting_too_long(now) else {
            return;
        };
        let left = self.settings.preemptions_per_minute_max as usize;
        let left = left.saturating_sub(self.preempted.len());
        let victims = self.victims_for(key.0, &need);
        if victims.is_empty() || victims.len() > left {
            return;
        }
        self.preempting = Some((key, now));
        for victim in victims {
            self.preempted.push_back(now);
            self.stop_victim(&victim);
        }
    }

    /// The first ready unit that waits too long, unless room is being made for it already.
    fn waiting_too_long(&self, now: Instant) -> Option<(ReadyKey, Resources)> {
        let (key, (unit, _)) = self.ready.first_key_value()?;
        let job = self.jobs.get(&unit.job).filter(|job| job.may_start())?;
        let waits = now.saturating_duration_since(job.accepted);
        let soon = |at: Instant| now.saturating_duration_since(at) < ROOM_WAIT_MAX;
        let pending = self
            .preempting
            .is_some_and(|(of, at)| of == *key && soon(at));
        let single = unit.index.is_some();
        let due = single && !pending && waits >= self.settings.preempt_after;
        due.then(|| (*key, job.spec().resources))
    }

    /// The fewest tasks of one worker whose end makes room.
    fn victims_for(&self, priority: u32, need: &Resources) -> Vec<Victim> {
        let mut best: Vec<Victim> = Vec::new();
        for (worker, mut victims) in self.less_urgent(priority) {
            victims.sort();
            victims.truncate(VICTIMS_MAX);
            let chosen = self.enough(&worker, victims, need);
            if let Some(chosen) = chosen.filter(|c| best.is_empty() || c.len() < best.len()) {
                best = chosen;
            }
        }
        best
    }

    /// The first victims that make room on a worker, if all of them do.
    fn enough(
        &self,
        worker: &WorkerId,
        victims: Vec<Victim>,
        need: &Resources,
    ) -> Option<Vec<Victim>> {
        let slot = self.view.get(worker).filter(|slot| slot.accepting)?;
        let mut free = slot.free();
        let mut chosen = Vec::new();
        for victim in victims {
            if need.fits_in(&free) {
                break;
            }
            let job = self.jobs.get(&victim.job)?;
            free = free.saturating_add(&job.spec().resources);
            chosen.push(victim);
        }
        need.fits_in(&free).then_some(chosen)
    }

    fn less_urgent(&self, priority: u32) -> BTreeMap<WorkerId, Vec<Victim>> {
        let mut by_worker: BTreeMap<WorkerId, Vec<Victim>> = BTreeMap::new();
        let batch = |job: &&Job| job.spec().kind == JobKind::Batch && !job.finished;
        for job in self.jobs.values().filter(batch) {
            let urgency = self.priority_of(&job.spec().class);
            if urgency <= priority {
                continue;
            }
            for (index, task) in (0_u32..).zip(&job.tasks).filter(|(_, task)| !task.stopping) {
                let TaskPhase::Assigned {
                    worker,
                    running: true,
                    ..
                } = &task.phase
                else {
                    continue;
                };
                by_worker.entry(worker.clone()).or_default().push(Victim {
                    urgency: Reverse(urgency),
                    assigned: Reverse(task.assigned),
                    job: job.id().clone(),
                    index,
                });
            }
        }
        by_worker
    }

    fn stop_victim(&mut self, victim: &Victim) {
        let Some(job) = self.jobs.get_mut(&victim.job) else {
            return;
        };
        job.note(format!(
            "task {} is stopped for more urgent work",
            victim.index
        ));
        if let Some(task) = job.task_mut(victim.index) {
            task.stopping = true;
            self.to_ask.insert((victim.job.clone(), victim.index), None);
        }
    }
}
