//! The advice requests that a step makes in a scheduling round.

use std::time::{Duration, Instant};

use jackdawchute_types::WorkerId;

use crate::{
    advice_workers::{
        affordable_workers, gang_request_workers, known_advice, request_lead,
        single_task_request_workers, spread_over, AdviceView, GangSearch, REQUEST_WORKERS_MAX,
    },
    advisors::Advisors,
    free_capacity::{FreeCapacity, WorkerCapacity},
    job::{Job, StepRun},
    planned_room::PlannedRoom,
    AdviceCost, AdviceRequest, Scheduler, StepName, StepSpec,
};

/// How many gangs that don't fit now know which workers are allowed, for each that may hold a
/// reservation: the next ones in rank take its turn when it starts.
pub(crate) const AHEAD_PER_RESERVATION: usize = 2;
/// The highest number of requests about a gang at a time. An advisor answers one at a time, and
/// other gangs need answers too.
const GANG_REQUESTS_MAX: usize = 8;

/// The requests of a step, and what is known already.
#[derive(Debug, Default)]
pub(crate) struct WantedAdvice {
    pub(crate) requests: Vec<AdviceRequest>,
    /// Whether a gang has no room now, and knows of enough workers that may become free or asks for
    /// more.
    pub(crate) is_ahead: bool,
}

/// What is left to give out in a round's search for steps that need advice.
pub(crate) struct AdviceRound<'a> {
    pub(crate) free_capacity: &'a FreeCapacity,
    pub(crate) advisors: Advisors,
    pub(crate) planned_room: PlannedRoom,
    /// How many of the best ranked steps have their room planned.
    pub(crate) planned_steps: usize,
    /// When recovered jobs may be placed at the latest; `None` once they may.
    pub(crate) recovered_by: Option<Instant>,
    /// How many more gangs that don't fit now may ask which workers will be allowed.
    pub(crate) ahead_left: usize,
}

impl AdviceRound<'_> {
    /// Returns when tasks of a job may start at the latest, as far as recovery delays them.
    pub(crate) fn may_start_at(&self, job: &Job, now: Instant) -> Instant {
        let recovered_by = self.recovered_by.filter(|_| job.recovering);
        recovered_by.map_or(now, |recovered_by| recovered_by.max(now))
    }
}

impl Scheduler {
    /// Returns the advice requests for a step: at most one for single tasks, and for a gang several
    /// that different advisors answer at the same time, since all its tickets must be valid at
    /// once.
    pub(crate) fn wanted_advice(
        &self,
        name: &StepName,
        cost: &AdviceCost,
        round: &AdviceRound<'_>,
        now: Instant,
    ) -> WantedAdvice {
        let Some(job) = self.jobs.get(&name.job) else {
            return WantedAdvice::default();
        };
        let Some((spec, step)) = job.step(name) else {
            return WantedAdvice::default();
        };
        let may_start_at = round.may_start_at(job, now);
        let estimate = self.estimate(job, spec);
        let expected =
            |worker_capacity: &WorkerCapacity| self.expected_on(spec, &estimate, worker_capacity);
        let free_capacity = round.free_capacity;
        if !spec.gang && fits_with_ticket(spec, step, free_capacity, may_start_at, expected) {
            return WantedAdvice::default();
        }
        let time_left = self.time_left(job, spec, now);
        let per_request = match spec.gang {
            true => affordable_workers(cost).clamp(1, REQUEST_WORKERS_MAX),
            false => REQUEST_WORKERS_MAX,
        };
        // A gang may fit elsewhere long before its reservation starts.
        let reserved = step.gang_reservation.as_ref();
        let reservation = reserved.filter(|it| it.starts_at <= now + request_lead(it, cost));
        let starts_at = reservation.map_or(may_start_at, |reservation| reservation.starts_at);
        let view = AdviceView {
            workers: &self.workers,
            free_capacity,
            planned_room: &round.planned_room,
            now,
            needed_at: starts_at.max(now + cost.duration(per_request)),
        };
        let known = known_advice(&view, job, spec, step, expected, |worker_capacity| {
            let far = self.far_slowdown(spec, worker_capacity.rack.as_ref());
            estimate.rank(worker_capacity.slowness, far, time_left)
        });
        let may_wait = spec.gang && !known.may_fit_now(spec);
        let suffices = known.suffices_when_idle(spec);
        let workers = if spec.gang {
            let search = GangSearch {
                spec,
                reservation,
                cost,
                allowed_share: self.allowed_shares.expected(&job.queue.queue),
                // The workers that recovery waits for may have room when it ends.
                asks_ahead: reserved.is_none() && (round.ahead_left > 0 || job.recovering),
            };
            gang_request_workers(known, &search)
        } else {
            let waiting = step.units.iter().filter(|unit| unit.is_waiting()).count();
            let is_first = step.advice.is_empty();
            let candidates = if is_first {
                known.not_asked
            } else {
                known.fitting_without_ticket()
            };
            let count = single_task_request_workers(cost, waiting, is_first);
            spread_over(candidates, name, count)
        };
        let to_request = |workers: &[WorkerId]| AdviceRequest {
            // Given when the request is sent.
            number: 0,
            step: name.clone(),
            workers: workers.to_vec(),
            expected: cost.duration(workers.len()),
        };
        let chunks = workers.chunks(per_request).take(GANG_REQUESTS_MAX);
        WantedAdvice {
            requests: chunks.map(to_request).collect(),
            is_ahead: may_wait && (suffices || !workers.is_empty()),
        }
    }
}

/// Returns whether a task of a step, of the `expected` time there, fits now on a worker with a valid
/// ticket.
fn fits_with_ticket(
    spec: &StepSpec,
    step: &StepRun,
    free_capacity: &FreeCapacity,
    now: Instant,
    expected: impl Fn(&WorkerCapacity) -> Duration,
) -> bool {
    let size = spec.charged_resources();
    step.advice.iter().any(|(worker, advice)| {
        let Some(worker_capacity) = free_capacity.worker(worker) else {
            return false;
        };
        let ticket = advice.ticket(worker_capacity.started_unix_ms, now);
        let usable = worker_capacity.usable(now + expected(worker_capacity));
        ticket.is_some() && size.fits_in(&usable)
    })
}
