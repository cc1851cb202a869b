//! Waits for places near a task's data, or for one rack for a gang.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use jackdawchute_locality::{decide, Decision, NearRoom, Unit, WAIT_MAX};
use jackdawchute_types::{RackId, WorkerId};
use rustc_hash::FxHashMap;
use spdlog::info;

use crate::{
    free_capacity::{can_run, FreeCapacity},
    job::{Advice, Job},
    Scheduler, StepName, StepSpec,
};

/// How long nothing of a job may run while its tasks wait for a place, with the time that they have
/// waited for other causes.
const IDLE_JOB_MAX: Duration = Duration::from_millis(1_500);
/// How long before their tickets lapse units start at the latest.
const TICKET_MARGIN: Duration = Duration::from_millis(150);
/// The waits that are remembered; beyond that, units start where there is room.
const WAITS_MAX: usize = 4_096;
/// The number of a rack's workers that are looked at for a wait.
const WORKERS_MAX: usize = 128;

/// A unit: a step and the position of the unit in it.
type UnitName = (StepName, u32);

/// The wait of a unit, which has one at most.
#[derive(Debug)]
enum Wait {
    /// The unit waits for one of the racks.
    Begun {
        at: Instant,
        until: Instant,
        racks: Vec<RackId>,
        lost_far: Duration,
    },
    /// The wait has ended.
    Over,
}

/// The waits for places, and what came of them in this epoch.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    units: FxHashMap<UnitName, Wait>,
    pub(crate) counts: WaitCounts,
}

/// What came of the waits for places.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WaitCounts {
    /// The waits that were begun.
    pub(crate) begun: u64,
    /// Those that ended with a start near the data or on one rack.
    pub(crate) paid: u64,
    /// Those that ended with a start far away.
    pub(crate) missed: u64,
    /// The run time that the paid ones have saved, without the time waited.
    pub(crate) won_ms: u64,
    /// The time waited by the missed ones.
    pub(crate) lost_ms: u64,
}

/// A unit that could start far away, and the racks on which it would be near.
struct FarStart<'a> {
    name: &'a StepName,
    spec: &'a StepSpec,
    unit: u32,
    /// How many tasks are to start on one rack.
    tasks: u32,
    racks: Vec<RackId>,
    /// The expected run times near and at the place that has room now.
    near_time: Duration,
    far_time: Duration,
    /// How long the tickets of the workers with room now are valid, if tickets are needed.
    tickets_for: Option<Duration>,
}

impl Scheduler {
    /// Returns whether a task waits for a worker near its data instead of starting on this one.
    pub(super) fn task_waits(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        index: u32,
        worker: &WorkerId,
        free_capacity: &FreeCapacity,
        now: Instant,
    ) -> bool {
        let (Some(data_rack), Some(job)) = (&spec.data_rack, self.jobs.get(&name.job)) else {
            return false;
        };
        let Some(capacity) = free_capacity.worker(worker) else {
            return false;
        };
        let Some(far) = self.far_slowdown(spec, capacity.rack.as_ref()) else {
            self.starts_near(name, index, now);
            return false;
        };
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        let near_slowness = slowness_of_rack(data_rack, free_capacity);
        let start = FarStart {
            name,
            spec,
            unit: index,
            tasks: 1,
            racks: vec![data_rack.clone()],
            near_time: expected.mul_f64(near_slowness),
            far_time: expected.mul_f64(capacity.slowness * far),
            tickets_for: self.tickets_for(job, name, std::iter::once(worker), now),
        };
        self.waits_for_place(&start, free_capacity, now)
    }

    /// Returns whether a gang waits for room on one rack instead of starting on these workers.
    pub(super) fn gang_waits<'a>(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        workers: impl Iterator<Item = &'a WorkerId> + Clone,
        free_capacity: &FreeCapacity,
        now: Instant,
    ) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return false;
        };
        let rack_of = |worker| free_capacity.worker(worker).and_then(|it| it.rack.clone());
        let racks: BTreeSet<RackId> = workers.clone().filter_map(rack_of).collect();
        if racks.len() <= 1 {
            self.starts_near(name, 0, now);
            return false;
        }
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        let start = FarStart {
            name,
            spec,
            unit: 0,
            tasks: spec.tasks,
            racks: racks.into_iter().collect(),
            near_time: expected,
            far_time: expected.mul_f64(self.settings.remote_slowdown),
            tickets_for: self.tickets_for(job, name, workers, now),
        };
        self.waits_for_place(&start, free_capacity, now)
    }

    /// Returns whether a unit waits for a near place instead of starting far away now.
    fn waits_for_place(
        &mut self,
        start: &FarStart<'_>,
        free_capacity: &FreeCapacity,
        now: Instant,
    ) -> bool {
        let key = (start.name.clone(), start.unit);
        match self.waits.units.get(&key) {
            Some(Wait::Over) => return false,
            Some(Wait::Begun { until, racks, .. }) => {
                let may_come = racks
                    .iter()
                    .any(|rack| self.rack_accepts_tasks(rack, free_capacity));
                if now < *until && may_come {
                    return true;
                }
                self.end_wait(&key, false, now);
                return false;
            }
            None if self.waits.units.len() >= WAITS_MAX => return false,
            None => {}
        }
        let Some((at_most, gain)) = self.wait_of(start, free_capacity, now) else {
            return false;
        };
        info!("unit waits for a place", kv: {
            job = start.name.job.as_str(), step = start.name.step, unit = start.unit,
            racks:? = start.racks.iter().map(|rack| rack.as_str()).take(4).collect::<Vec<_>>(),
            at_most_ms = at_most.as_millis() as u64, gain_ms = gain.as_millis() as u64,
            near_ms = start.near_time.as_millis() as u64,
            far_ms = start.far_time.as_millis() as u64
        });
        self.waits.counts.begun += 1;
        let wait = Wait::Begun {
            at: now,
            until: now + at_most,
            racks: start.racks.clone(),
            lost_far: start.far_time.saturating_sub(start.near_time),
        };
        self.waits.units.insert(key, wait);
        true
    }

    /// Records that a unit starts near, which ends its wait if it has one.
    fn starts_near(&mut self, name: &StepName, unit: u32, now: Instant) {
        if !self.waits.units.is_empty() {
            self.end_wait(&(name.clone(), unit), true, now);
        }
    }

    fn end_wait(&mut self, key: &UnitName, is_near: bool, now: Instant) {
        let Some(wait) = self.waits.units.get_mut(key) else {
            return;
        };
        let Wait::Begun { at, lost_far, .. } = std::mem::replace(wait, Wait::Over) else {
            return;
        };
        let waited = now.saturating_duration_since(at);
        let counts = &mut self.waits.counts;
        if is_near {
            counts.paid += 1;
            counts.won_ms += lost_far.saturating_sub(waited).as_millis() as u64;
        } else {
            counts.missed += 1;
            counts.lost_ms += waited.as_millis() as u64;
        }
        let (name, unit) = key;
        info!("wait for a place ended", kv: {
            job = name.job.as_str(), step = name.step, unit = *unit, near = is_near,
            waited_ms = waited.as_millis() as u64, lost_far_ms = lost_far.as_millis() as u64
        });
    }

    /// Forgets the waits of jobs that have ended.
    pub(super) fn drop_waits_of_ended_jobs(&mut self) {
        if self.waits.units.is_empty() {
            return;
        }
        let jobs = &self.jobs;
        self.waits
            .units
            .retain(|(name, _), _| jobs.contains_key(&name.job));
    }

    fn rack_accepts_tasks(&self, rack: &RackId, free_capacity: &FreeCapacity) -> bool {
        let mut workers = free_capacity.workers();
        workers.any(|(_, capacity)| capacity.rack.as_ref() == Some(rack))
    }

    /// Returns how long a unit waits at most, and the gain that is expected; `None` if it starts far
    /// away.
    fn wait_of(
        &self,
        start: &FarStart<'_>,
        free_capacity: &FreeCapacity,
        now: Instant,
    ) -> Option<(Duration, Duration)> {
        let job = self.jobs.get(&start.name.job)?;
        let unit = Unit {
            near_time: start.near_time,
            far_time: start.far_time,
            slack: self.slack(job, now),
            wait_max: self
                .wait_max(job, now)
                .min(start.tickets_for.unwrap_or(WAIT_MAX))
                .min(self.settings.place_wait_max),
        };
        if unit.wait_max.is_zero() {
            return None;
        }
        let rooms: Vec<NearRoom> = start
            .racks
            .iter()
            .map(|rack| self.near_room(start, job, rack, free_capacity, now))
            .collect();
        let has_room_now = |room: &NearRoom| {
            let last = room.expected.get((start.tasks as usize).saturating_sub(1));
            last.is_some_and(Duration::is_zero)
        };
        if start.tasks == 0 || rooms.iter().any(has_room_now) {
            return None;
        }
        match decide(&unit, &rooms) {
            Decision::StartHere => None,
            Decision::Wait { at_most, gain } => Some((at_most, gain)),
        }
    }

    /// Returns how long the tickets of all these workers are valid, with some time for the orders;
    /// `None` if the queue needs none.
    ///
    /// A unit that waits past them loses the room that it has now.
    fn tickets_for<'a>(
        &self,
        job: &Job,
        name: &StepName,
        workers: impl Iterator<Item = &'a WorkerId>,
        now: Instant,
    ) -> Option<Duration> {
        job.queue.advice.as_ref()?;
        let (_, step) = job.step(name)?;
        let left = |worker| match step.advice.get(worker) {
            Some(Advice::Allowed { usable_until, .. }) => {
                usable_until.saturating_duration_since(now + TICKET_MARGIN)
            }
            _ => Duration::ZERO,
        };
        workers.map(left).min()
    }

    /// Returns how long a unit of a job may wait, so that the job does not stand still for long.
    fn wait_max(&self, job: &Job, now: Instant) -> Duration {
        if !job.placed_tasks().is_empty() {
            return WAIT_MAX;
        }
        let idle_since = job.waiting_since.unwrap_or(now);
        IDLE_JOB_MAX.saturating_sub(now.saturating_duration_since(idle_since))
    }

    /// Returns when room for a unit is expected on a rack, behind those that wait for it already.
    fn near_room(
        &self,
        start: &FarStart<'_>,
        job: &Job,
        rack: &RackId,
        free_capacity: &FreeCapacity,
        now: Instant,
    ) -> NearRoom {
        let size = start.spec.charged_resources();
        let step = job.step(start.name).map(|(_, step)| step);
        let has_ticket = |id: &WorkerId, started_unix_ms: u64| {
            let advice = step.and_then(|step| step.advice.get(id));
            let ticket = advice.and_then(|advice| advice.ticket(started_unix_ms, now));
            job.queue.advice.is_none() || ticket.is_some()
        };
        let mut expected = Vec::new();
        let workers = free_capacity
            .workers()
            .filter(|(_, capacity)| capacity.rack.as_ref() == Some(rack))
            .filter(|(id, capacity)| has_ticket(id, capacity.started_unix_ms))
            .filter(|(id, capacity)| can_run(&self.workers, id, capacity, job, start.spec));
        for (id, capacity) in workers.take(WORKERS_MAX) {
            if let Some(worker) = self.workers.get(id) {
                let usable = capacity.usable(now + start.near_time);
                let times = capacity.fitting_times(worker, &size, usable, now);
                let most = start.spec.per_worker_max.unwrap_or(start.tasks) as usize;
                let times = times.into_iter().take(most.max(1));
                expected.extend(times.map(|at| at.saturating_duration_since(now)));
            }
        }
        expected.sort_unstable();
        let waits_there = |wait: &&Wait| match wait {
            Wait::Begun { racks, .. } => racks.contains(rack),
            Wait::Over => false,
        };
        let before = self.waits.units.values().filter(waits_there).count();
        NearRoom {
            expected,
            needed: before + start.tasks as usize,
        }
    }
}

/// Returns the mean slowness of a rack's workers.
fn slowness_of_rack(rack: &RackId, free_capacity: &FreeCapacity) -> f64 {
    let workers = free_capacity.workers();
    let on_rack = workers.filter(|(_, capacity)| capacity.rack.as_ref() == Some(rack));
    let (sum, count) = on_rack.fold((0.0, 0.0), |(sum, count), (_, capacity)| {
        (sum + capacity.slowness, count + 1.0)
    });
    if count == 0.0 {
        1.0
    } else {
        sum / count
    }
}
