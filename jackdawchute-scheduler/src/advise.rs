//! Advice requests: which workers an advisor is asked about, and when.
//!
//! An answer costs the advisor a fixed time and some for each worker named, and a ticket lapses
//! within seconds. A request about single tasks names workers with room, other ones for each step;
//! later requests of a step name only those on which a task fits at that moment. A gang needs all
//! its tickets at once: it asks several advisors at the same time, about the workers with the most
//! free capacity, until they have several times what it needs.

use std::{
    cmp::{Ordering, Reverse},
    collections::BTreeMap,
    hash::BuildHasher,
    time::{Duration, Instant},
};

use jackdawchute_types::WorkerId;
use rustc_hash::FxBuildHasher;
use spdlog::info;

use crate::{
    free_capacity::{can_run, tasks_fitting, FreeCapacity, FITTING_TASKS_MAX},
    job::{Advice, GangReservation, Job, StepRun},
    rank::RankedStep,
    worker::Worker,
    AdviceAnswer, AdviceCost, AdviceRequest, Effect, Scheduler, StepName, StepSpec,
};

/// The highest number of workers that a request may name, a limit of the advisor's protocol.
const REQUEST_WORKERS_MAX: usize = 100;
/// The part of a ticket's validity that is not used, so that a slow order arrives in time.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// How long before a gang's expected start its tickets are requested, in addition to the time that
/// the advisor takes.
const REQUEST_LEAD: Duration = Duration::from_millis(300);
/// How long to wait for an advisor's answers before advice for a step is requested again.
const ANSWER_WAIT_MAX: Duration = Duration::from_millis(2_500);
/// The highest time that an advisor may spend on the named workers, as a multiple of the fixed time
/// of a request.
const WORKERS_COST_FACTOR_MAX: f64 = 0.6;
/// The highest number of requests about a gang at a time. An advisor answers one at a time, and
/// other gangs need answers too.
const GANG_REQUESTS_MAX: usize = 8;
/// The capacity that the workers allowed for a gang should have when idle, as a multiple of what
/// the gang needs; most of it is in use at any time. In the load model of the stand-ins (repair
/// desk), gangs earned 0.69 of their worth with a factor of six and 0.74 with twelve.
const GANG_CAPACITY_FACTOR: f64 = 12.0;
/// The free capacity of the allowed workers at which a gang without a reservation requests its
/// lapsed tickets again, as a multiple of what the gang needs; some of the capacity is used by
/// others before the answer arrives.
const GANG_FREE_FACTOR: f64 = 1.5;
/// The number of a step's tasks from which a worker's room counts as plenty when a request about
/// single tasks names workers.
const SEVERAL_TASKS: u32 = 3;
/// The pause between two searches of a step for workers to request advice about, for each worker
/// of the cell, if the first finds none: under load hundreds of steps wait, and each search looks
/// at all workers.
const CHECK_PAUSE_PER_WORKER: Duration = Duration::from_micros(180);
/// The lowest number of workers that the first request about single tasks names, if there are so
/// many.
const FIRST_REQUEST_WORKERS_MIN: usize = 24;

/// The starts of steps with a better rank up to which a step requests advice, as a multiple of those
/// that may be under way: its tickets would lapse before its turn comes.
const STARTS_AHEAD_FACTOR: usize = 8;

impl Scheduler {
    /// Requests advice for each step that has tasks to place and no valid ticket to place them
    /// with.
    pub(crate) fn request_advice(
        &mut self,
        ranked: &[RankedStep],
        free_capacity: &FreeCapacity,
        now: Instant,
    ) {
        let mut starts_ahead = 0;
        let starts_ahead_max = self
            .settings
            .starts_under_way_max
            .saturating_mul(STARTS_AHEAD_FACTOR);
        for ranked in ranked {
            if starts_ahead >= starts_ahead_max {
                break;
            }
            let job = self.jobs.get(&ranked.name.job);
            if let Some((spec, step)) = job.and_then(|job| job.step(&ranked.name)) {
                let waiting = step.units.iter().filter(|unit| unit.is_waiting()).count();
                starts_ahead += waiting * spec.unit_size() as usize;
            }
            for request in self.advice_requests(&ranked.name, free_capacity, now) {
                info!("advice requested", kv: {
                    job = request.step.job.as_str(), step = request.step.step,
                    workers = request.workers.len(),
                    expected_ms = request.expected.as_millis() as u64
                });
                self.effects.push(Effect::Advise(request));
            }
        }
    }

    /// Returns the advice requests for a step: at most one for single tasks, and for a gang several
    /// that different advisors answer at the same time, since all its tickets must be valid at
    /// once.
    fn advice_requests(
        &mut self,
        name: &StepName,
        free_capacity: &FreeCapacity,
        now: Instant,
    ) -> Vec<AdviceRequest> {
        let Some(job) = self.jobs.get(&name.job) else {
            return Vec::new();
        };
        let (Some(cost), Some((spec, step))) = (job.queue.advice, job.step(name)) else {
            return Vec::new();
        };
        let is_pending = |at: Instant| now < at + ANSWER_WAIT_MAX;
        let is_later = |at: Instant| now < at;
        let waiting = step.units.iter().filter(|unit| unit.is_waiting()).count();
        if job.recovering
            || waiting == 0
            || step.advice_requested_at.is_some_and(is_pending)
            || step.advice_check_at.is_some_and(is_later)
        {
            return Vec::new();
        }
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        if !spec.gang && fits_with_ticket(spec, step, free_capacity, (now, now + expected)) {
            return Vec::new();
        }
        let known = known_advice(
            &self.workers,
            job,
            spec,
            step,
            free_capacity,
            (now, now + expected),
        );
        let (workers, per_request) = if spec.gang {
            let allowed_share = self.allowed_shares.expected(&job.queue.queue);
            let workers = gang_request_workers(
                known,
                spec,
                step.gang_reservation.as_ref(),
                allowed_share,
                &cost,
                now,
            );
            (
                workers,
                affordable_workers(&cost).clamp(1, REQUEST_WORKERS_MAX),
            )
        } else {
            let is_first = step.advice.is_empty();
            let candidates = if is_first {
                known.not_asked
            } else {
                known.fitting_without_ticket()
            };
            let workers = spread_over(
                candidates,
                name,
                single_task_request_workers(&cost, waiting, is_first),
            );
            (workers, REQUEST_WORKERS_MAX)
        };
        let to_request = |workers: &[WorkerId]| AdviceRequest {
            step: name.clone(),
            workers: workers.to_vec(),
            expected: cost.duration(workers.len()),
        };
        let chunks = workers.chunks(per_request).take(GANG_REQUESTS_MAX);
        let requests: Vec<AdviceRequest> = chunks.map(to_request).collect();
        let workers_count = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        let check_at = now + CHECK_PAUSE_PER_WORKER.saturating_mul(workers_count);
        let step = self.jobs.get_mut(&name.job);
        if let Some(step) = step.and_then(|job| job.step_mut(name)) {
            step.advice_unanswered = requests.len();
            step.advice_requested_at = (!requests.is_empty()).then_some(now);
            step.advice_check_at = requests.is_empty().then_some(check_at);
        }
        requests
    }

    /// Handles an advisor's answer, or `None` if no answer came.
    pub fn advice_answered(
        &mut self,
        request: &AdviceRequest,
        answer: Option<AdviceAnswer>,
        now: Instant,
    ) {
        self.placement_needed = true;
        let Self { jobs, workers, .. } = self;
        let Some(job) = jobs.get_mut(&request.step.job) else {
            return;
        };
        let queue = job.queue.queue.clone();
        let valid = job.queue.advice.map(|cost| cost.valid).unwrap_or_default();
        let Some(step) = job.step_mut(&request.step) else {
            return;
        };
        step.advice_unanswered = step.advice_unanswered.saturating_sub(1);
        if step.advice_unanswered == 0 {
            step.advice_requested_at = None;
        }
        let Some(answer) = answer else {
            return;
        };
        info!("advice answered", kv: {
            job = request.step.job.as_str(), step = request.step.step,
            asked = request.workers.len(), allowed = answer.allowed.len()
        });
        self.allowed_shares
            .record(&queue, request.workers.len(), answer.allowed.len());
        for worker in &request.workers {
            step.advice.insert(worker.clone(), Advice::Denied);
        }
        let usable_until = now + valid.saturating_sub(TICKET_MARGIN);
        for (worker, ticket) in answer.allowed {
            let started_unix_ms = workers
                .get(&worker)
                .map_or(0, |worker| worker.entry.started_unix_ms);
            let advice = Advice::Allowed {
                ticket,
                usable_until,
                started_unix_ms,
            };
            step.advice.insert(worker, advice);
        }
    }

    /// Removes the ticket for a worker that refused it, so that advice is requested again.
    pub(crate) fn drop_ticket(&mut self, step: &StepName, worker: &WorkerId) {
        let step_run = self
            .jobs
            .get_mut(&step.job)
            .and_then(|job| job.step_mut(step));
        if let Some(step_run) = step_run {
            step_run.advice.remove(worker);
        }
    }
}

/// Returns whether a task of a step, from now until `ends_at`, fits on a worker with a valid ticket.
fn fits_with_ticket(
    spec: &StepSpec,
    step: &StepRun,
    free_capacity: &FreeCapacity,
    (now, ends_at): (Instant, Instant),
) -> bool {
    let size = spec.charged_resources();
    step.advice.iter().any(|(worker, advice)| {
        let Some(worker_capacity) = free_capacity.worker(worker) else {
            return false;
        };
        let ticket = advice.ticket(worker_capacity.started_unix_ms, now);
        ticket.is_some() && size.fits_in(&worker_capacity.usable(ends_at))
    })
}

/// Groups the workers that could run a step by the advice that is known about them, with the free
/// capacity that a task from now until `ends_at` could use.
fn known_advice(
    workers: &BTreeMap<WorkerId, Worker>,
    job: &Job,
    spec: &StepSpec,
    step: &StepRun,
    free_capacity: &FreeCapacity,
    (now, ends_at): (Instant, Instant),
) -> KnownAdvice {
    let size = spec.charged_resources();
    let starts_at = step
        .gang_reservation
        .as_ref()
        .map_or(now, |reservation| reservation.starts_at.max(now));
    let per_worker_max = spec.per_worker_max.unwrap_or(FITTING_TASKS_MAX);
    let per_worker_max = per_worker_max.min(FITTING_TASKS_MAX);
    let mut known = KnownAdvice::default();
    for (worker, worker_capacity) in free_capacity.workers() {
        let usable = worker_capacity.usable(ends_at);
        let fits = size.fits_in(&usable);
        // Single tasks need no further advice about workers that they do not fit on now.
        let is_useful = fits || spec.gang || step.advice.is_empty();
        if !is_useful || !can_run(workers, worker, worker_capacity, job, spec) {
            continue;
        }
        let candidate = || AdviceCandidate {
            worker: worker.clone(),
            free_millicores: usable.processor_millicores,
            fits,
            tasks_when_idle: tasks_fitting(&size, worker_capacity.capacity).min(per_worker_max),
            tasks_now: tasks_fitting(&size, usable).min(per_worker_max),
        };
        match step.advice.get(worker) {
            Some(Advice::Denied) => {}
            Some(advice @ Advice::Allowed { .. }) => {
                let candidate = candidate();
                known.allowed_tasks_when_idle += candidate.tasks_when_idle;
                let ticket = advice.ticket(worker_capacity.started_unix_ms, starts_at);
                if ticket.is_none() {
                    known.lapsed.push(candidate);
                }
            }
            None => known.not_asked.push(candidate()),
        }
    }
    known
}

/// A worker that an advice request may name.
#[derive(Debug)]
struct AdviceCandidate {
    worker: WorkerId,
    free_millicores: u64,
    /// Whether at least one task of the step fits now.
    fits: bool,
    /// How many tasks of the step fit when nothing else runs on the worker.
    tasks_when_idle: u32,
    /// How many tasks of the step fit now.
    tasks_now: u32,
}

/// The workers that could run a step, by the advice that is known about them; without those that an
/// advisor has denied.
#[derive(Debug, Default)]
struct KnownAdvice {
    /// How many tasks of the step fit on all allowed workers when nothing else runs there.
    allowed_tasks_when_idle: u32,
    /// The allowed workers whose tickets have lapsed, or lapse before the step can start.
    lapsed: Vec<AdviceCandidate>,
    /// The workers that no advisor was asked about.
    not_asked: Vec<AdviceCandidate>,
}

impl KnownAdvice {
    /// Returns the workers on which a task fits and only the ticket is missing.
    fn fitting_without_ticket(self) -> Vec<AdviceCandidate> {
        let without_ticket = self.lapsed.into_iter().chain(self.not_asked);
        without_ticket.filter(|candidate| candidate.fits).collect()
    }
}

/// Returns the workers to name in requests for a gang.
///
/// While the gang has no reservation, these are workers that no advisor was asked about, until the
/// allowed ones have several times the capacity that the gang needs, or the lapsed ones once enough
/// of theirs is free. With a reservation, they are the reserved workers, shortly before the gang
/// can start.
fn gang_request_workers(
    known: KnownAdvice,
    spec: &StepSpec,
    reservation: Option<&GangReservation>,
    allowed_share: f64,
    cost: &AdviceCost,
    now: Instant,
) -> Vec<WorkerId> {
    let Some(reservation) = reservation else {
        let lapsed_tasks_now: u32 = known
            .lapsed
            .iter()
            .map(|candidate| candidate.tasks_now)
            .sum();
        if f64::from(lapsed_tasks_now) >= f64::from(spec.tasks) * GANG_FREE_FACTOR {
            let with_free_capacity = known
                .lapsed
                .into_iter()
                .filter(|candidate| candidate.fits)
                .collect();
            return with_most_free(with_free_capacity, affordable_workers(cost));
        }
        let tasks_wanted =
            f64::from(spec.tasks) * GANG_CAPACITY_FACTOR - f64::from(known.allowed_tasks_when_idle);
        let workers_min = affordable_workers(cost);
        return with_enough_capacity(known.not_asked, tasks_wanted, allowed_share, workers_min);
    };
    let lead = cost.duration(reservation.workers.len()) + REQUEST_LEAD;
    if reservation.starts_at > now + lead {
        return Vec::new();
    }
    let is_reserved = |candidate: &AdviceCandidate| reservation.workers.contains(&candidate.worker);
    if !known.lapsed.iter().any(is_reserved) {
        return Vec::new();
    }
    // The request also names other workers that a task fits on: the fixed time is most of a
    // request, and the reservation may change until the gang starts.
    let workers_min = affordable_workers(cost);
    let (mut workers, others): (Vec<_>, Vec<_>) = known.lapsed.into_iter().partition(is_reserved);
    let others_max = workers_min.saturating_sub(workers.len());
    let others = others
        .into_iter()
        .filter(|candidate| candidate.fits)
        .collect();
    workers.extend(sort_by_free(others).into_iter().take(others_max));
    workers
        .into_iter()
        .map(|candidate| candidate.worker)
        .collect()
}

/// Returns the workers with the most free capacity, until as many tasks as wanted are expected to
/// fit on those that the advisors allow.
///
/// At least `workers_min` workers are named if any are, since the fixed time is most of a request.
fn with_enough_capacity(
    candidates: Vec<AdviceCandidate>,
    tasks_wanted: f64,
    allowed_share: f64,
    workers_min: usize,
) -> Vec<WorkerId> {
    if tasks_wanted <= 0.0 {
        return Vec::new();
    }
    let mut expected_tasks = 0.0;
    let candidates = sort_by_free(candidates).into_iter().enumerate();
    let enough_workers = candidates.take_while(|(index, candidate)| {
        let needs_more = expected_tasks < tasks_wanted || *index < workers_min;
        expected_tasks += f64::from(candidate.tasks_when_idle) * allowed_share;
        needs_more
    });
    enough_workers
        .map(|(_, candidate)| candidate.worker)
        .collect()
}

/// Returns the `count` workers with the most free processors, the most first.
fn with_most_free(mut candidates: Vec<AdviceCandidate>, count: usize) -> Vec<WorkerId> {
    if count < candidates.len() {
        candidates.select_nth_unstable_by(count, by_free);
        candidates.truncate(count);
    }
    let workers = sort_by_free(candidates).into_iter();
    workers.map(|candidate| candidate.worker).collect()
}

/// Returns `count` workers, other ones for each step, those with room for several tasks first.
///
/// Were all steps to name the workers with the most free capacity, hundreds of them would get
/// tickets for the same few workers, find these taken and ask again.
fn spread_over(candidates: Vec<AdviceCandidate>, name: &StepName, count: usize) -> Vec<WorkerId> {
    let mut keyed: Vec<((Reverse<u32>, u64), AdviceCandidate)> = candidates
        .into_iter()
        .map(|candidate| {
            let room = Reverse(candidate.tasks_now.min(SEVERAL_TASKS));
            let spread = FxBuildHasher.hash_one((name, &candidate.worker));
            ((room, spread), candidate)
        })
        .collect();
    if count < keyed.len() {
        keyed.select_nth_unstable_by_key(count, |(key, _)| *key);
        keyed.truncate(count);
    }
    keyed
        .into_iter()
        .map(|(_, candidate)| candidate.worker)
        .collect()
}

/// Sorts workers by their free processors, the most first.
fn sort_by_free(mut candidates: Vec<AdviceCandidate>) -> Vec<AdviceCandidate> {
    candidates.sort_unstable_by(by_free);
    candidates
}

/// Orders workers by their free processors, the most first, and equal ones by their ids.
fn by_free(left: &AdviceCandidate, right: &AdviceCandidate) -> Ordering {
    let by_free = right.free_millicores.cmp(&left.free_millicores);
    by_free.then_with(|| left.worker.cmp(&right.worker))
}

/// Returns how many workers a request may name so that the fixed time stays most of its cost.
fn affordable_workers(cost: &AdviceCost) -> usize {
    if cost.per_worker_ms > 0.0 {
        (cost.fixed_ms * WORKERS_COST_FACTOR_MAX / cost.per_worker_ms) as usize
    } else {
        REQUEST_WORKERS_MAX
    }
}

/// Returns how many workers a request about single tasks names: a later one at least half as many
/// as the first, since its fixed time is most of its cost too.
fn single_task_request_workers(cost: &AdviceCost, waiting: usize, is_first: bool) -> usize {
    let affordable = affordable_workers(cost);
    let workers_wanted = if is_first {
        affordable.max(FIRST_REQUEST_WORKERS_MIN)
    } else {
        affordable.min(waiting.max(FIRST_REQUEST_WORKERS_MIN / 4) * 2)
    };
    workers_wanted.clamp(1, REQUEST_WORKERS_MAX)
}
