//! Preemption: for urgent work that is admitted but finds no worker, batch tasks of less urgent
//! classes are stopped within a budget. Victims are tasks of this instance's home groups only.

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

/// The period over which the budget of preemptions is counted.
const BUDGET_PERIOD: Duration = Duration::from_secs(60);
/// The most tasks that are stopped for one unit.
const VICTIMS_MAX: usize = 4;
/// How long a unit waits for the capacity of stopped tasks before further victims are chosen.
const PREEMPTION_WAIT_MAX: Duration = Duration::from_secs(5);

/// A task that may be stopped. Victims are chosen in this order: the least urgent first, then those
/// assigned last, which lose the least work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    priority: Reverse<u32>,
    assigned_at: Reverse<Option<Instant>>,
    job: JobId,
    index: u32,
}

impl HomeGroups {
    /// Stops tasks for the most urgent ready unit if it has waited too long for a worker.
    pub(crate) fn preempt(&mut self, now: Instant) {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < BUDGET_PERIOD;
        self.preempted_at.retain(recent);
        let Some((key, need)) = self.overdue_unit(now) else {
            return;
        };
        let left = self.settings.preemptions_per_minute_max as usize;
        let left = left.saturating_sub(self.preempted_at.len());
        let victims = self.victims_for(key.0, &need);
        if victims.is_empty() || victims.len() > left {
            return;
        }
        self.preempting_for = Some((key, now));
        for victim in victims {
            self.preempted_at.push_back(now);
            self.stop_victim(&victim);
        }
    }

    /// Returns the most urgent ready unit with the resources of one task, if it is a single task,
    /// has waited too long and no victims were stopped for it recently.
    fn overdue_unit(&self, now: Instant) -> Option<(ReadyKey, Resources)> {
        let (key, (unit, _)) = self.ready.first_key_value()?;
        let job = self.jobs.get(&unit.job).filter(|job| job.may_start())?;
        let waited = now.saturating_duration_since(job.accepted_at);
        let recently = |at: Instant| now.saturating_duration_since(at) < PREEMPTION_WAIT_MAX;
        let pending = self
            .preempting_for
            .is_some_and(|(unit_key, at)| unit_key == *key && recently(at));
        let single = unit.index.is_some();
        let due = single && !pending && waited >= self.settings.preempt_after;
        due.then(|| (*key, job.spec().resources))
    }

    /// Returns the fewest tasks on one worker whose end frees enough capacity.
    fn victims_for(&self, priority: u32, need: &Resources) -> Vec<Victim> {
        let mut best: Vec<Victim> = Vec::new();
        for (worker, mut victims) in self.preemptible_tasks(priority) {
            victims.sort();
            victims.truncate(VICTIMS_MAX);
            let chosen = self.victims_on(&worker, victims, need);
            if let Some(chosen) = chosen.filter(|c| best.is_empty() || c.len() < best.len()) {
                best = chosen;
            }
        }
        best
    }

    /// Returns the first victims on a worker whose end frees enough capacity, or `None` if even all
    /// of them do not.
    fn victims_on(
        &self,
        worker: &WorkerId,
        victims: Vec<Victim>,
        need: &Resources,
    ) -> Option<Vec<Victim>> {
        let fleet_worker = self
            .fleet_view
            .get(worker)
            .filter(|fleet_worker| fleet_worker.accepting)?;
        let mut free = fleet_worker.free();
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

    /// Returns the running batch tasks of classes less urgent than `priority`, by worker.
    fn preemptible_tasks(&self, priority: u32) -> BTreeMap<WorkerId, Vec<Victim>> {
        let mut by_worker: BTreeMap<WorkerId, Vec<Victim>> = BTreeMap::new();
        let batch = |job: &&Job| job.spec().kind == JobKind::Batch && !job.finished;
        for job in self.jobs.values().filter(batch) {
            let task_priority = self.priority_of(&job.spec().class);
            if task_priority <= priority {
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
                    priority: Reverse(task_priority),
                    assigned_at: Reverse(task.assigned_at),
                    job: job.id().clone(),
                    index,
                });
            }
        }
        by_worker
    }

    /// Marks a victim to be stopped.
    fn stop_victim(&mut self, victim: &Victim) {
        let Some(job) = self.jobs.get_mut(&victim.job) else {
            return;
        };
        job.record_event(format!(
            "task {} is stopped for more urgent work",
            victim.index
        ));
        if let Some(task) = job.task_mut(victim.index) {
            task.stopping = true;
            self.pending_rack_calls
                .insert((victim.job.clone(), victim.index), None);
        }
    }
}
