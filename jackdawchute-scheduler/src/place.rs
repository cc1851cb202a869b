//! Placement: which worker runs which task.
//!
//! In a cell that is nearly full, small tasks go to the fullest worker that they fit on, so that
//! gangs find large gaps. A gang that does not fit reserves the capacity that becomes free first;
//! other tasks use it only if they end before the gang can start.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use jackdawchute_types::{Ticket, WorkerId};
use spdlog::info;

use crate::{
    free_capacity::{can_run, tasks_fitting, FreeCapacity, ReservedCapacity, WorkerCapacity},
    job::{Advice, GangReservation, Job, StepRun},
    rank::RankedStep,
    room::tasks_on_workers,
    worker::{Run, RunPhase},
    Effect, Scheduler, StartOrder, StepName, StepSpec,
};

/// How many gangs hold a reservation at a time, as a multiple of the square root of the number of
/// workers: two with 48 workers, six with 350. A gang without a reservation starts only if enough
/// capacity happens to be free at once; more reservations leave capacity idle that single tasks
/// could use. In the load model of the stand-ins, gangs earned 0.73 to 0.79 of their worth with six
/// reservations and 0.69 to 0.73 with 22.
const RESERVATIONS_PER_ROOT: f64 = 0.3;
/// The longest time before a gang's expected start for which capacity is reserved.
const RESERVATION_HORIZON: Duration = Duration::from_secs(8);
/// The precision of expected run times: capacity that becomes free within the same interval of this
/// length counts as free at the same time.
const FREE_TIME_INTERVAL: Duration = Duration::from_millis(250);
/// The number of a gang's tasks for each spare worker that its reservation names. Tickets are
/// requested for the spare workers too, since some of the expected capacity is used by others, or
/// does not become free, until the gang starts.
const SPARE_DIVISOR: usize = 3;
/// How long an order to start counts as waiting for its answer. A worker answers much sooner; one
/// that does not must not keep others from being placed on.
const START_ANSWER_MAX: Duration = Duration::from_millis(150);

/// A worker that may run a step now if it has enough free capacity.
#[derive(Clone, Debug)]
struct Candidate {
    worker: WorkerId,
    /// The valid ticket; `None` if the step needs no advice.
    ticket: Option<Ticket>,
    near_data: bool,
    slowness_tenths: u32,
    /// How many more tasks of the step the worker may run, by the step's limit for each worker.
    tasks_allowed: u32,
}

impl Scheduler {
    /// Places as many units as fit, best rank first, and reserves capacity for gangs that do not
    /// fit.
    pub(crate) fn place(
        &mut self,
        ranked: &[RankedStep],
        free_capacity: &mut FreeCapacity,
        now: Instant,
    ) {
        self.reserved_in_last_round = std::mem::take(&mut self.reserved_in_this_round);
        let mut starts_left = self.starts_left(now);
        let mut reservations = 0;
        let reservations_max = reservations_max(self.workers.len());
        for ranked in ranked.iter().filter(|ranked| !ranked.accepting) {
            let Some(job) = self.jobs.get(&ranked.name.job) else {
                continue;
            };
            if job.recovering {
                continue;
            }
            let Some((spec, _)) = job.step(&ranked.name) else {
                continue;
            };
            let spec = spec.clone();
            if spec.gang {
                let placed =
                    starts_left > 0 && self.place_gang(&ranked.name, &spec, free_capacity, now);
                if placed {
                    starts_left = starts_left.saturating_sub(spec.tasks as usize);
                } else {
                    let reservation = if reservations < reservations_max {
                        reservations += 1;
                        self.reserve(&ranked.name, &spec, free_capacity, now)
                    } else {
                        None
                    };
                    self.set_gang_reservation(&ranked.name, reservation);
                }
            } else if starts_left > 0 {
                let started =
                    self.place_tasks(&ranked.name, &spec, free_capacity, starts_left, now);
                starts_left -= started;
            }
        }
    }

    /// Returns how many more starts may be ordered now.
    fn starts_left(&self, now: Instant) -> usize {
        let awaits_answer = |run: &&Run| {
            run.phase == RunPhase::Starting
                && run.order_under_way
                && now.saturating_duration_since(run.known_since) < START_ANSWER_MAX
        };
        let runs = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values());
        let under_way = runs.filter(awaits_answer).count();
        self.settings.starts_under_way_max.saturating_sub(under_way)
    }

    /// Returns the workers that may run a step now: those with the service and label that it
    /// requires and, if the queue needs advice, a valid ticket.
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
        let on_worker = tasks_on_workers(spec, step);
        let per_worker_max = spec.per_worker_max.unwrap_or(u32::MAX);
        let candidate =
            |worker: &WorkerId, worker_capacity: &WorkerCapacity, ticket: Option<&Ticket>| {
                let tasks_allowed =
                    per_worker_max.saturating_sub(on_worker.get(worker).copied().unwrap_or(0));
                let may_run =
                    tasks_allowed > 0 && can_run(&self.workers, worker, worker_capacity, job, spec);
                may_run.then(|| Candidate {
                    worker: worker.clone(),
                    ticket: ticket.cloned(),
                    near_data: worker_capacity.is_near_data(spec),
                    slowness_tenths: worker_capacity.slowness_tenths,
                    tasks_allowed,
                })
            };
        let mut candidates: Vec<Candidate> = if job.queue.advice.is_some() {
            let with_ticket = step.advice.iter().filter_map(|(worker, advice)| {
                let worker_capacity = free_capacity.worker(worker)?;
                let ticket = advice.ticket(worker_capacity.started_unix_ms, now)?;
                candidate(worker, worker_capacity, Some(ticket))
            });
            with_ticket.collect()
        } else {
            let all_workers = free_capacity.workers();
            all_workers
                .filter_map(|(worker, worker_capacity)| candidate(worker, worker_capacity, None))
                .collect()
        };
        candidates.sort_unstable_by(|left, right| left.worker.cmp(&right.worker));
        candidates
    }

    /// Starts the waiting single tasks of a step that fit, at most `starts_max`; returns how many.
    fn place_tasks(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        free_capacity: &mut FreeCapacity,
        starts_max: usize,
        now: Instant,
    ) -> usize {
        let Some(job) = self.jobs.get(&name.job) else {
            return 0;
        };
        let mut candidates = self.candidates(job, name, spec, free_capacity, now);
        if candidates.is_empty() {
            return 0;
        }
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        let Some((_, step)) = job.step(name) else {
            return 0;
        };
        let waiting: Vec<(u32, Option<WorkerId>)> = (0u32..)
            .zip(&step.units)
            .filter(|(_, unit)| unit.is_waiting())
            .map(|(index, unit)| (index, unit.failed_on.clone()))
            .take(starts_max)
            .collect();
        let size = spec.charged_resources();
        let mut started = 0;
        for (index, failed_on) in waiting {
            let best = candidates
                .iter_mut()
                .filter(|candidate| candidate.tasks_allowed > 0)
                .filter_map(|candidate| {
                    let free = free_capacity
                        .worker(&candidate.worker)?
                        .usable(now + expected);
                    let fits = size.fits_in(&free);
                    let failed_there = failed_on.as_ref() == Some(&candidate.worker);
                    // A task takes longer far from its data or on a slow worker, where slowness up
                    // to 1.1 counts as none. Among equal workers the one with the fewest free
                    // processors is best.
                    let cost = (
                        failed_there,
                        !candidate.near_data,
                        candidate.slowness_tenths.max(11),
                        self.reserved_in_last_round.contains(&candidate.worker),
                        free.processor_millicores,
                    );
                    fits.then_some((cost, candidate))
                })
                .min_by(|left, right| left.0.cmp(&right.0));
            let Some((_, candidate)) = best else {
                break;
            };
            candidate.tasks_allowed -= 1;
            let (worker, ticket) = (candidate.worker.clone(), candidate.ticket.clone());
            free_capacity.charge(&worker, &size);
            self.start_unit(name, spec, index as usize, &[(index, worker, ticket)], now);
            started += 1;
        }
        started
    }

    /// Starts a gang if all its tasks fit; returns whether nothing is left to place.
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
        let size = spec.charged_resources();
        let tasks_that_fit = |candidate: &Candidate| -> u32 {
            let Some(worker_capacity) = free_capacity.worker(&candidate.worker) else {
                return 0;
            };
            tasks_fitting(&size, worker_capacity.usable(now + expected))
                .min(candidate.tasks_allowed)
        };
        let mut counts: Vec<(u32, Candidate)> = candidates
            .drain(..)
            .map(|candidate| (tasks_that_fit(&candidate), candidate))
            .filter(|(count, _)| *count > 0)
            .collect();
        if spec.rack_local {
            self.prefer_one_rack(&mut counts, spec.tasks);
        }
        let total: u32 = counts.iter().map(|(count, _)| count).sum();
        if total < spec.tasks {
            return false;
        }
        counts.sort_by_key(|(count, candidate)| {
            (
                !candidate.near_data,
                candidate.slowness_tenths.max(11),
                std::cmp::Reverse(*count),
            )
        });
        let mut assignments = Vec::with_capacity(spec.tasks as usize);
        for (count, candidate) in counts {
            for _ in 0..count {
                let index = assignments.len() as u32;
                if index == spec.tasks {
                    break;
                }
                free_capacity.charge(&candidate.worker, &size);
                assignments.push((index, candidate.worker.clone(), candidate.ticket.clone()));
            }
        }
        self.start_unit(name, spec, 0, &assignments, now);
        true
    }

    /// Drops all candidates but those of one rack, if one rack alone has capacity for the gang.
    fn prefer_one_rack(&self, counts: &mut Vec<(u32, Candidate)>, tasks: u32) {
        let rack_of = |candidate: &Candidate| {
            let worker = self.workers.get(&candidate.worker);
            worker.and_then(|worker| worker.entry.rack.clone())
        };
        let mut by_rack: HashMap<_, u32> = HashMap::new();
        for (count, candidate) in counts.iter() {
            if let Some(rack) = rack_of(candidate) {
                *by_rack.entry(rack).or_default() += count;
            }
        }
        let large_enough = by_rack.into_iter().filter(|(_, count)| *count >= tasks);
        if let Some((rack, _)) =
            large_enough.min_by(|left, right| (left.1, &left.0).cmp(&(right.1, &right.0)))
        {
            counts.retain(|(_, candidate)| rack_of(candidate).as_ref() == Some(&rack));
        }
    }

    /// Returns the workers that may run a step, one entry for each of its tasks that will fit
    /// there, with the time from which the task fits as runs end.
    fn expected_fits(
        &self,
        job: &Job,
        spec: &StepSpec,
        step: &StepRun,
        free_capacity: &FreeCapacity,
        horizon: Instant,
        now: Instant,
    ) -> Vec<(Instant, WorkerId)> {
        let size = spec.charged_resources();
        let per_worker_max = spec.per_worker_max.unwrap_or(u32::MAX).min(spec.tasks) as usize;
        let mut fits = Vec::new();
        let mut add = |id: &WorkerId, worker_capacity: &WorkerCapacity| {
            let may_run = can_run(&self.workers, id, worker_capacity, job, spec);
            if let Some(worker) = self.workers.get(id).filter(|_| may_run) {
                let times = worker_capacity.fitting_times(
                    worker,
                    &size,
                    worker_capacity.usable(horizon),
                    now,
                );
                fits.extend(
                    times
                        .into_iter()
                        .take(per_worker_max)
                        .map(|fits_at| (fits_at, id.clone())),
                );
            }
        };
        if job.queue.advice.is_none() {
            free_capacity
                .workers()
                .for_each(|(id, worker_capacity)| add(id, worker_capacity));
            return fits;
        }
        // Lapsed tickets count too: they are requested again before the gang starts.
        for (id, advice) in &step.advice {
            let is_allowed = matches!(advice, Advice::Allowed { .. });
            if let Some(worker_capacity) = free_capacity.worker(id).filter(|_| is_allowed) {
                add(id, worker_capacity);
            }
        }
        fits
    }

    /// Reserves for a gang the capacity that becomes free first; returns `None` if it is not enough
    /// within the reservation horizon.
    fn reserve(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        free_capacity: &mut FreeCapacity,
        now: Instant,
    ) -> Option<GangReservation> {
        let job = self.jobs.get(&name.job)?;
        let (_, step) = job.step(name)?;
        let horizon = now + RESERVATION_HORIZON;
        let mut fits = self.expected_fits(job, spec, step, free_capacity, horizon, now);
        // Workers of the previous reservation are preferred, so that their tickets can be used.
        let was_reserved = |worker: &WorkerId| {
            let reservation = step.gang_reservation.as_ref();
            reservation.is_some_and(|reservation| reservation.workers.contains(worker))
        };
        fits.sort_by_cached_key(|(fits_at, worker)| {
            let wait_intervals =
                fits_at.saturating_duration_since(now).as_millis() / FREE_TIME_INTERVAL.as_millis();
            (wait_intervals, !was_reserved(worker), worker.clone())
        });
        let needed = spec.tasks as usize;
        let starts_at = fits
            .get(..needed)?
            .iter()
            .map(|(fits_at, _)| *fits_at)
            .max()?;
        if starts_at > horizon {
            return None;
        }
        let spare = fits.split_off(needed).into_iter();
        let spare = spare.take_while(|(fits_at, _)| *fits_at <= starts_at + FREE_TIME_INTERVAL);
        let spare: Vec<WorkerId> = spare
            .take(needed.div_ceil(SPARE_DIVISOR))
            .map(|(_, worker)| worker)
            .collect();
        let mut per_worker: HashMap<WorkerId, u32> = HashMap::new();
        for (_, worker) in fits {
            *per_worker.entry(worker).or_default() += 1;
        }
        let mut workers: Vec<WorkerId> = per_worker.keys().cloned().collect();
        for worker in spare {
            if !workers.contains(&worker) {
                workers.push(worker);
            }
        }
        let gang_reservation = GangReservation { workers, starts_at };
        for (worker, count) in per_worker {
            let reserved = ReservedCapacity {
                resources: spec.charged_resources().saturating_mul(count),
                starts_at,
            };
            self.reserved_in_this_round.insert(worker.clone());
            free_capacity.reserve(&worker, reserved);
        }
        Some(gang_reservation)
    }

    /// Stores a gang's reservation in its step.
    fn set_gang_reservation(&mut self, name: &StepName, reservation: Option<GangReservation>) {
        let job = self.jobs.get_mut(&name.job);
        if let Some(step) = job.and_then(|job| job.step_mut(name)) {
            step.gang_reservation = reservation;
        }
    }

    /// Orders the start of a unit's tasks, each on its worker.
    fn start_unit(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        unit: usize,
        assignments: &[(u32, WorkerId, Option<Ticket>)],
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        let payload = job.graph.payload.clone();
        let earlier_runs_max = job.earlier_runs_max;
        let Some(unit) = job.step_mut(name).and_then(|step| step.units.get_mut(unit)) else {
            return;
        };
        // Failures are counted by the numbers of their runs, and an earlier leader may have used and
        // not saved those up to this one.
        unit.last_run = unit.last_run.max(earlier_runs_max);
        let placed = assignments.iter();
        unit.begin_run(placed.map(|(index, worker, _)| (*index, worker.clone())));
        let (run, checkpoint) = (unit.last_run, unit.checkpoint.clone());
        for (index, worker, ticket) in assignments {
            let Some(worker) = self.workers.get_mut(worker) else {
                continue;
            };
            let Some(lease_until) = worker.lease_until(self.settings.lease, now) else {
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
                lease_until,
                token: worker.token(self.token_base),
            };
            info!("task placed", kv: {
                job = name.job.as_str(), step = name.step, task = *index, run = run,
                worker = worker.id().as_str(), resumed = !checkpoint.is_empty()
            });
            worker.lease_sent = worker.lease_sent.max(order.lease_until);
            let new_run = Run {
                run,
                charged: Some(spec.charged_resources()),
                phase: RunPhase::Starting,
                start_outcome_unknown: false,
                seen_running: false,
                answered_clock: None,
                known_since: now,
                expected_end: spec
                    .ends_by_itself()
                    .then(|| now + expected.mul_f64(worker.health.slowness.max(0.5))),
                order_under_way: true,
                stop_sent: false,
                retry_at: None,
                start_order: Some(Box::new(order.clone())),
                progress: None,
            };
            if worker.is_idle() {
                // The next renewal of an idle worker may be due much later.
                worker.renewal_next_at = now;
            }
            worker.runs.insert(order.task.clone(), new_run);
            self.effects.push(Effect::Start(order));
        }
    }
}

/// Returns how many gangs may hold a reservation at a time, by the number of workers in the cell.
fn reservations_max(workers: usize) -> usize {
    ((workers as f64).sqrt() * RESERVATIONS_PER_ROOT)
        .round()
        .max(1.0) as usize
}
