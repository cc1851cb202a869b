//! Which worker runs which task.
//!
//! Answers a cell that is nearly full: small tasks go to the fullest worker that still has room,
//! so that gangs find large gaps; a gang that does not fit reserves the places that become free
//! first, and others use them only while they end before that.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use jackdawchute_types::{Ticket, WorkerId};
use spdlog::info;

use crate::{
    free_capacity::{can_run, times_fitting, FreeCapacity, Reservation, WorkerCapacity},
    job::{Advice, GangPlan, Job, StepRun, Unit},
    rank::Ranked,
    worker::{Run, RunPhase},
    Effect, Scheduler, StartOrder, StepName, StepSpec,
};

/// How many gangs hold a reservation at a time, for the square root of the number of workers: two
/// of 48, six of 350. Without one a gang waits for its places by chance; more leave room idle that
/// single tasks could use (the load model: 0.73 to 0.79 of the gangs' worth with six, 0.69 to 0.73
/// with 22).
const RESERVATIONS_PER_ROOT: f64 = 0.3;
/// The longest time ahead that a gang's places are reserved for.
const RESERVATION_HORIZON: Duration = Duration::from_secs(8);
/// Places that become free within such a time of each other count as alike; run times are not
/// known better.
const PLAN_STEP: Duration = Duration::from_millis(250);
/// Tickets are asked for one further place for so many that a gang needs, as some are taken, or do
/// not become free, until the gang starts.
const SPARE_DIVISOR: usize = 3;

/// A worker that may run a step now.
#[derive(Clone, Debug)]
struct Candidate {
    worker: WorkerId,
    ticket: Option<Ticket>,
    near_data: bool,
    slowness_tenths: u32,
    /// How many more tasks of the step it may run.
    allowed: u32,
}

impl Scheduler {
    /// Places as many units as fit, best rank first.
    pub(crate) fn place(
        &mut self,
        ranked: &[Ranked],
        free_capacity: &mut FreeCapacity,
        now: Instant,
    ) {
        self.planned = std::mem::take(&mut self.planning);
        let mut reservations = 0;
        let reservations_max = reservations_max(self.workers.len());
        for ranked in ranked.iter().filter(|it| !it.accepting) {
            let Some(job) = self.jobs.get(&ranked.name.job) else {
                continue;
            };
            if job.uncertain {
                continue;
            }
            let Some((spec, _)) = job.step(&ranked.name) else {
                continue;
            };
            let spec = spec.clone();
            if spec.gang {
                let placed = self.place_gang(&ranked.name, &spec, free_capacity, now);
                if !placed {
                    let plan = if reservations < reservations_max {
                        reservations += 1;
                        self.reserve(&ranked.name, &spec, free_capacity, now)
                    } else {
                        None
                    };
                    self.set_plan(&ranked.name, plan);
                }
            } else {
                self.place_tasks(&ranked.name, &spec, free_capacity, now);
            }
        }
    }

    /// The workers that may run a step now.
    fn candidates(
        &self,
        job: &Job,
        name: &StepName,
        spec: &StepSpec,
        free_capacity: &FreeCapacity,
        now: Instant,
    ) -> Vec<Candidate> {
        let Some((_, step)) = job.step(name) else {
            return Vec::new();
        };
        let mut here: HashMap<&WorkerId, u32> = HashMap::new();
        if spec.per_worker_max.is_some() {
            for (_, worker) in step.units.iter().flat_map(|unit| &unit.placed) {
                *here.entry(worker).or_default() += 1;
            }
        }
        let max = spec.per_worker_max.unwrap_or(u32::MAX);
        let candidate = |worker: &WorkerId,
                         worker_capacity: &WorkerCapacity,
                         ticket: Option<&Ticket>| {
            let allowed = max.saturating_sub(here.get(worker).copied().unwrap_or(0));
            let may_run = allowed > 0 && can_run(&self.workers, worker, worker_capacity, job, spec);
            may_run.then(|| Candidate {
                worker: worker.clone(),
                ticket: ticket.cloned(),
                near_data: worker_capacity.is_near_data(spec),
                slowness_tenths: worker_capacity.slowness_tenths,
                allowed,
            })
        };
        let mut candidates: Vec<Candidate> = if job.queue.advice.is_some() {
            let advised = step.advice.iter().filter_map(|(worker, advice)| {
                let worker_capacity = free_capacity.worker(worker)?;
                let ticket = advice.ticket(worker_capacity.started_unix_ms, now)?;
                candidate(worker, worker_capacity, Some(ticket))
            });
            advised.collect()
        } else {
            let all = free_capacity.workers();
            all.filter_map(|(worker, worker_capacity)| candidate(worker, worker_capacity, None))
                .collect()
        };
        candidates.sort_unstable_by(|left, right| left.worker.cmp(&right.worker));
        candidates
    }

    fn place_tasks(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        free_capacity: &mut FreeCapacity,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get(&name.job) else {
            return;
        };
        let mut candidates = self.candidates(job, name, spec, free_capacity, now);
        if candidates.is_empty() {
            return;
        }
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        let Some((_, step)) = job.step(name) else {
            return;
        };
        let waiting: Vec<(u32, Option<WorkerId>)> = (0u32..)
            .zip(&step.units)
            .filter(|(_, unit)| unit.waiting())
            .map(|(index, unit)| (index, unit.failed_on.clone()))
            .collect();
        let size = spec.reserved();
        for (index, failed_on) in waiting {
            let best = candidates
                .iter_mut()
                .filter(|it| it.allowed > 0)
                .filter_map(|it| {
                    let free = free_capacity.worker(&it.worker)?.usable(now + expected);
                    let fits = size.fits_in(&free);
                    let failed_here = failed_on.as_ref() == Some(&it.worker);
                    // Far from its data or on a slow worker a task takes longer; next best is
                    // the tightest fit.
                    let cost = (
                        failed_here,
                        !it.near_data,
                        it.slowness_tenths.max(11),
                        self.planned.contains(&it.worker),
                        free.processor_millicores,
                    );
                    fits.then_some((cost, it))
                })
                .min_by(|left, right| left.0.cmp(&right.0));
            let Some((_, candidate)) = best else {
                return;
            };
            candidate.allowed -= 1;
            let (worker, ticket) = (candidate.worker.clone(), candidate.ticket.clone());
            free_capacity.take(&worker, &size);
            self.start_unit(name, spec, index as usize, &[(index, worker, ticket)], now);
        }
    }

    fn place_gang(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        free_capacity: &mut FreeCapacity,
        now: Instant,
    ) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return true;
        };
        let mut candidates = self.candidates(job, name, spec, free_capacity, now);
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        let size = spec.reserved();
        let fitting = |it: &Candidate| -> u32 {
            let Some(worker_capacity) = free_capacity.worker(&it.worker) else {
                return 0;
            };
            times_fitting(&size, worker_capacity.usable(now + expected)).min(it.allowed)
        };
        let mut counts: Vec<(u32, Candidate)> = candidates
            .drain(..)
            .map(|it| (fitting(&it), it))
            .filter(|(count, _)| *count > 0)
            .collect();
        if spec.rack_local {
            self.keep_one_rack(&mut counts, spec.tasks);
        }
        let total: u32 = counts.iter().map(|(count, _)| count).sum();
        if total < spec.tasks {
            return false;
        }
        counts.sort_by_key(|(count, it)| {
            (
                !it.near_data,
                it.slowness_tenths.max(11),
                std::cmp::Reverse(*count),
            )
        });
        let mut places = Vec::with_capacity(spec.tasks as usize);
        for (count, candidate) in counts {
            for _ in 0..count {
                let index = places.len() as u32;
                if index == spec.tasks {
                    break;
                }
                free_capacity.take(&candidate.worker, &size);
                places.push((index, candidate.worker.clone(), candidate.ticket.clone()));
            }
        }
        self.start_unit(name, spec, 0, &places, now);
        true
    }

    /// Keeps the candidates of one rack if that rack alone can take the gang.
    fn keep_one_rack(&self, counts: &mut Vec<(u32, Candidate)>, tasks: u32) {
        let rack_of = |it: &Candidate| {
            let worker = self.workers.get(&it.worker);
            worker.and_then(|worker| worker.entry.rack.clone())
        };
        let mut by_rack: HashMap<_, u32> = HashMap::new();
        for (count, candidate) in counts.iter() {
            if let Some(rack) = rack_of(candidate) {
                *by_rack.entry(rack).or_default() += count;
            }
        }
        let enough = by_rack.into_iter().filter(|(_, count)| *count >= tasks);
        if let Some((rack, _)) = enough.min_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0))) {
            counts.retain(|(_, it)| rack_of(it).as_ref() == Some(&rack));
        }
    }

    /// When a step's tasks fit on the workers that may run it, as what runs there ends.
    fn places_ahead(
        &self,
        job: &Job,
        spec: &StepSpec,
        step: &StepRun,
        free_capacity: &FreeCapacity,
        horizon: Instant,
        now: Instant,
    ) -> Vec<(Instant, WorkerId)> {
        let size = spec.reserved();
        let max = spec.per_worker_max.unwrap_or(u32::MAX).min(spec.tasks) as usize;
        let mut places = Vec::new();
        let mut add = |id: &WorkerId, worker_capacity: &WorkerCapacity| {
            let may_run = can_run(&self.workers, id, worker_capacity, job, spec);
            if let Some(worker) = self.workers.get(id).filter(|_| may_run) {
                let times =
                    worker_capacity.free_times(worker, &size, worker_capacity.usable(horizon), now);
                places.extend(times.into_iter().take(max).map(|at| (at, id.clone())));
            }
        };
        if job.queue.advice.is_none() {
            free_capacity
                .workers()
                .for_each(|(id, worker_capacity)| add(id, worker_capacity));
            return places;
        }
        // A ticket that lapsed is renewed once there is room.
        for (id, advice) in &step.advice {
            let allowed = matches!(advice, Advice::Allowed { .. });
            if let Some(worker_capacity) = free_capacity.worker(id).filter(|_| allowed) {
                add(id, worker_capacity);
            }
        }
        places
    }

    /// Keeps the places for a gang that become free first.
    fn reserve(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        free_capacity: &mut FreeCapacity,
        now: Instant,
    ) -> Option<GangPlan> {
        let job = self.jobs.get(&name.job)?;
        let (_, step) = job.step(name)?;
        let horizon = now + RESERVATION_HORIZON;
        let mut places = self.places_ahead(job, spec, step, free_capacity, horizon, now);
        // Places that were kept before stay kept, so that tickets for them are not in vain.
        let kept = |worker: &WorkerId| {
            let plan = step.plan.as_ref();
            plan.is_some_and(|plan| plan.workers.contains(worker))
        };
        places.sort_by_cached_key(|(at, worker)| {
            let wait = at.saturating_duration_since(now).as_millis() / PLAN_STEP.as_millis();
            (wait, !kept(worker), worker.clone())
        });
        let needed = spec.tasks as usize;
        let starts_at = places.get(..needed)?.iter().map(|(at, _)| *at).max()?;
        if starts_at > horizon {
            return None;
        }
        let spare = places.split_off(needed).into_iter();
        let spare = spare.take_while(|(at, _)| *at <= starts_at + PLAN_STEP);
        let spare: Vec<WorkerId> = spare
            .take(needed.div_ceil(SPARE_DIVISOR))
            .map(|(_, worker)| worker)
            .collect();
        let mut per_worker: HashMap<WorkerId, u32> = HashMap::new();
        for (_, worker) in places {
            *per_worker.entry(worker).or_default() += 1;
        }
        let mut workers: Vec<WorkerId> = per_worker.keys().cloned().collect();
        for worker in spare {
            if !workers.contains(&worker) {
                workers.push(worker);
            }
        }
        let plan = GangPlan { workers, starts_at };
        for (worker, count) in per_worker {
            let reservation = Reservation {
                resources: spec.reserved().saturating_mul(count),
                starts_at,
            };
            self.planning.insert(worker.clone());
            free_capacity.reserve(&worker, reservation);
        }
        Some(plan)
    }

    fn set_plan(&mut self, name: &StepName, plan: Option<GangPlan>) {
        let job = self.jobs.get_mut(&name.job);
        if let Some(step) = job.and_then(|job| job.step_mut(name)) {
            step.plan = plan;
        }
    }

    /// Orders the start of a unit's tasks.
    fn start_unit(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        unit: usize,
        places: &[(u32, WorkerId, Option<Ticket>)],
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        job.begun = true;
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        let payload = job.graph.payload.clone();
        let Some(unit) = job.step_mut(name).and_then(|step| step.units.get_mut(unit)) else {
            return;
        };
        begin_run(unit, places);
        let (run, checkpoint) = (unit.last_run, unit.checkpoint.clone());
        for (index, worker, ticket) in places {
            let Some(worker) = self.workers.get_mut(worker) else {
                continue;
            };
            let Some(clock) = worker.clock_latest(now) else {
                continue;
            };
            let order = StartOrder {
                worker: worker.id().clone(),
                address: worker.entry.address,
                task: name.task(*index),
                run,
                payload: payload.clone(),
                checkpoint: checkpoint.clone(),
                ticket: ticket.clone(),
                lease_until: clock + self.settings.lease,
                token: worker.token(self.token_base),
            };
            info!("task placed", kv: {
                job = name.job.as_str(), step = name.step, task = *index, run = run,
                worker = worker.id().as_str(), resumed = !checkpoint.is_empty()
            });
            worker.lease_sent = worker.lease_sent.max(order.lease_until);
            let record = Run {
                run,
                reserved: Some(spec.reserved()),
                phase: RunPhase::Starting,
                loose: false,
                seen_running: false,
                settled_clock: None,
                since: now,
                expected_end: now + expected.mul_f64(worker.health.slowness.max(0.5)),
                order_under_way: true,
                retry_at: None,
                start: Some(Box::new(order.clone())),
                progress: None,
            };
            if worker.is_idle() {
                // It may have been left alone until much later.
                worker.renewal_next_at = now;
            }
            worker.runs.insert(order.task.clone(), record);
            self.effects.push(Effect::Start(order));
        }
    }
}

fn reservations_max(workers: usize) -> usize {
    ((workers as f64).sqrt() * RESERVATIONS_PER_ROOT)
        .round()
        .max(1.0) as usize
}

fn begin_run(unit: &mut Unit, places: &[(u32, WorkerId, Option<Ticket>)]) {
    unit.last_run += 1;
    unit.stopping = false;
    unit.placed = places
        .iter()
        .map(|(index, worker, _)| (*index, worker.clone()))
        .collect();
}
