//! The workers that an advice request names.
//!
//! An answer costs the advisor a fixed time and some for each worker named, and a ticket lapses
//! within seconds. A request about single tasks names workers with room, other ones for each step;
//! later requests of a step name only those on which a task fits at that moment. A gang needs all
//! its tickets at once: it asks several advisors at the same time, about the workers with the most
//! free capacity. Where it may fit now, these have room for somewhat more than it needs; where it has
//! to wait, they have several times that when idle.

use std::{
    cmp::{Ordering, Reverse},
    collections::BTreeMap,
    hash::BuildHasher,
    time::{Duration, Instant},
};

use jackdawchute_speeds::PlaceRank;
use jackdawchute_types::WorkerId;
use rustc_hash::FxBuildHasher;

use crate::{
    free_capacity::{can_run, tasks_fitting, FreeCapacity, WorkerCapacity, FITTING_TASKS_MAX},
    job::{Advice, GangReservation, Job, StepRun},
    planned_room::PlannedRoom,
    worker::Worker,
    AdviceCost, StepName, StepSpec,
};

/// The highest number of workers that a request may name, a limit of the advisor's protocol.
pub(crate) const REQUEST_WORKERS_MAX: usize = 100;
/// How long before a gang's expected start its tickets are requested, in addition to the time that
/// the advisor takes.
const REQUEST_LEAD: Duration = Duration::from_millis(300);
/// The highest time that an advisor may spend on the named workers, as a multiple of the fixed time
/// of a request.
const WORKERS_COST_FACTOR_MAX: f64 = 0.6;
/// The capacity that the workers allowed for a gang should have when idle, as a multiple of what
/// the gang needs; most of it is in use at any time. In the load model of the stand-ins (repair
/// desk), gangs earned 0.69 of their worth with a factor of six and 0.74 with twelve.
const GANG_CAPACITY_FACTOR: f64 = 12.0;
/// The free capacity of the allowed workers for which a gang without a reservation needs valid
/// tickets, so that it requests lapsed ones again, as a multiple of what the gang needs; some of the
/// capacity is used by others before the answer arrives.
const GANG_FREE_FACTOR: f64 = 1.5;
/// The number of a step's tasks from which a worker's room counts as plenty when a request about
/// single tasks names workers.
const SEVERAL_TASKS: u32 = 3;
/// The lowest number of workers that the first request about single tasks names, if there are so
/// many.
const FIRST_REQUEST_WORKERS_MIN: usize = 24;

/// What the workers of a round have room for, and when tickets have to be valid.
pub(crate) struct AdviceView<'a> {
    pub(crate) workers: &'a BTreeMap<WorkerId, Worker>,
    pub(crate) free_capacity: &'a FreeCapacity,
    /// What steps with a better rank are about to use.
    pub(crate) planned_room: &'a PlannedRoom,
    pub(crate) now: Instant,
    /// When the answers are expected, or the step can start if that is later.
    pub(crate) needed_at: Instant,
}

/// Groups the workers that could run a step by the advice that is known about them, with the free
/// capacity that a task of the `expected` time there could use from now on and how well they suit it.
pub(crate) fn known_advice(
    view: &AdviceView<'_>,
    job: &Job,
    spec: &StepSpec,
    step: &StepRun,
    expected: impl Fn(&WorkerCapacity) -> Duration,
    rank: impl Fn(&WorkerCapacity) -> PlaceRank,
) -> KnownAdvice {
    let size = spec.charged_resources();
    let per_worker_max = spec.per_worker_max.unwrap_or(FITTING_TASKS_MAX);
    let per_worker_max = per_worker_max.min(FITTING_TASKS_MAX);
    let mut known = KnownAdvice::default();
    for (worker, worker_capacity) in view.free_capacity.workers() {
        let usable = worker_capacity.usable(view.now + expected(worker_capacity));
        let usable = match spec.gang {
            true => view.planned_room.left(worker, usable),
            // A single task also uses what is too little for a gang.
            false => usable,
        };
        let fits = size.fits_in(&usable);
        // Single tasks need no further advice about workers that they do not fit on now.
        let is_useful = fits || spec.gang || step.advice.is_empty();
        if !is_useful || !can_run(view.workers, worker, worker_capacity, job, spec) {
            continue;
        }
        let candidate = || AdviceCandidate {
            worker: worker.clone(),
            free_millicores: usable.processor_millicores,
            fits,
            rank: rank(worker_capacity).roughly(),
            tasks_when_idle: tasks_fitting(&size, worker_capacity.free_when_idle)
                .min(per_worker_max),
            tasks_now: tasks_fitting(&size, usable).min(per_worker_max),
        };
        match step.advice.get(worker) {
            Some(Advice::Denied) => {}
            Some(advice @ Advice::Allowed { .. }) => {
                let candidate = candidate();
                known.allowed_tasks_when_idle += candidate.tasks_when_idle;
                let ticket = advice.ticket(worker_capacity.started_unix_ms, view.needed_at);
                if ticket.is_none() {
                    known.lapsed.push(candidate);
                } else {
                    known.tasks_now_with_ticket += candidate.tasks_now;
                }
            }
            None => known.not_asked.push(candidate()),
        }
    }
    known
}

/// A worker that an advice request may name.
#[derive(Debug)]
pub(crate) struct AdviceCandidate {
    worker: WorkerId,
    free_millicores: u64,
    /// Whether at least one task of the step fits now.
    fits: bool,
    /// How well the worker suits the step, by when its tasks would end there.
    rank: PlaceRank,
    /// How many tasks of the step fit when nothing else runs on the worker.
    tasks_when_idle: u32,
    /// How many tasks of the step fit now.
    tasks_now: u32,
}

/// The workers that could run a step, by the advice that is known about them; without those that an
/// advisor has denied.
#[derive(Debug, Default)]
pub(crate) struct KnownAdvice {
    /// How many tasks of the step fit on all allowed workers when nothing else runs there.
    allowed_tasks_when_idle: u32,
    /// How many tasks of the step fit now on the workers with a valid ticket.
    tasks_now_with_ticket: u32,
    /// The allowed workers whose tickets have lapsed, or lapse before the step can start.
    lapsed: Vec<AdviceCandidate>,
    /// The workers that no advisor was asked about.
    pub(crate) not_asked: Vec<AdviceCandidate>,
}

impl KnownAdvice {
    /// Returns whether a gang fits on the allowed workers when nothing else runs there.
    pub(crate) fn suffices_when_idle(&self, spec: &StepSpec) -> bool {
        self.allowed_tasks_when_idle >= spec.tasks
    }

    /// Returns whether a gang fits now on the workers that no advisor has denied.
    pub(crate) fn may_fit_now(&self, spec: &StepSpec) -> bool {
        let without_ticket = tasks_now(&self.lapsed).saturating_add(tasks_now(&self.not_asked));
        self.tasks_now_with_ticket.saturating_add(without_ticket) >= spec.tasks
    }

    /// Returns the workers on which a task fits and only the ticket is missing.
    pub(crate) fn fitting_without_ticket(self) -> Vec<AdviceCandidate> {
        let without_ticket = self.lapsed.into_iter().chain(self.not_asked);
        without_ticket.filter(|candidate| candidate.fits).collect()
    }
}

/// Returns how long before its start the tickets of a reservation are requested.
pub(crate) fn request_lead(reservation: &GangReservation, cost: &AdviceCost) -> Duration {
    cost.duration(reservation.workers.len()) + REQUEST_LEAD
}

/// A gang that looks for workers to ask about.
pub(crate) struct GangSearch<'a> {
    pub(crate) spec: &'a StepSpec,
    /// The reservation, if it starts soon.
    pub(crate) reservation: Option<&'a GangReservation>,
    pub(crate) cost: &'a AdviceCost,
    /// The share of the workers that advisors are expected to allow.
    pub(crate) allowed_share: f64,
    /// Whether the gang may ask about workers that have no room for it now.
    pub(crate) asks_ahead: bool,
}

/// Returns the workers to name in requests for a gang.
///
/// With a reservation that starts soon, these are the reserved workers.
pub(crate) fn gang_request_workers(known: KnownAdvice, search: &GangSearch<'_>) -> Vec<WorkerId> {
    let Some(reservation) = search.reservation else {
        return workers_without_reservation(known, search);
    };
    let cost = search.cost;
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

/// Returns the workers to name for a gang that has no reservation.
///
/// If it may fit now, these are workers with room: allowed ones whose tickets will have lapsed, and
/// as many others as are expected to be needed. If not, it has to know of the workers that become
/// free, and asks about several times what it needs.
fn workers_without_reservation(known: KnownAdvice, search: &GangSearch<'_>) -> Vec<WorkerId> {
    let GangSearch {
        spec,
        cost,
        allowed_share,
        ..
    } = *search;
    let workers_min = affordable_workers(cost);
    let tasks = f64::from(spec.tasks);
    let tasks_missing = tasks * GANG_FREE_FACTOR - f64::from(known.tasks_now_with_ticket);
    let lapsed_tasks_now = tasks_now(&known.lapsed);
    let mut workers = Vec::new();
    if tasks_missing > 0.0 && known.may_fit_now(spec) {
        let others_missing = tasks_missing - f64::from(lapsed_tasks_now);
        if others_missing <= 0.0 {
            return with_room_now(known.lapsed, tasks_missing, workers_min);
        }
        workers = with_room_now(known.lapsed, tasks_missing, 0);
        let others_min = workers_min.saturating_sub(workers.len());
        let wanted = others_missing / allowed_share;
        if f64::from(tasks_now(&known.not_asked)) >= wanted || !search.asks_ahead {
            workers.extend(with_room_now(known.not_asked, wanted, others_min));
            return workers;
        }
    }
    if !search.asks_ahead {
        return Vec::new();
    }
    let tasks_wanted = tasks * GANG_CAPACITY_FACTOR - f64::from(known.allowed_tasks_when_idle);
    let others = with_enough_capacity(known.not_asked, tasks_wanted, allowed_share, workers_min);
    workers.extend(others);
    workers
}

/// Returns how many tasks fit now on all candidates.
fn tasks_now(candidates: &[AdviceCandidate]) -> u32 {
    let tasks = candidates.iter().map(|candidate| candidate.tasks_now);
    tasks.fold(0, u32::saturating_add)
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

/// Returns the workers with the most free processors that as many tasks as wanted fit on now; at
/// least `workers_min` workers are named if a task fits on so many.
fn with_room_now(
    candidates: Vec<AdviceCandidate>,
    tasks_wanted: f64,
    workers_min: usize,
) -> Vec<WorkerId> {
    let fitting = candidates.into_iter().filter(|candidate| candidate.fits);
    let mut tasks_now = 0.0;
    let by_free = sort_by_free(fitting.collect()).into_iter().enumerate();
    let enough_workers = by_free.take_while(|(index, candidate)| {
        let needs_more = tasks_now < tasks_wanted || *index < workers_min;
        tasks_now += f64::from(candidate.tasks_now);
        needs_more
    });
    enough_workers
        .map(|(_, candidate)| candidate.worker)
        .collect()
}

/// Returns `count` workers, other ones for each step: those on which a task fits first, then those
/// that suit it, and of them those with room for several tasks.
///
/// Were all steps to name the workers with the most free capacity, hundreds of them would get
/// tickets for the same few workers, find these taken and ask again.
pub(crate) fn spread_over(
    candidates: Vec<AdviceCandidate>,
    name: &StepName,
    count: usize,
) -> Vec<WorkerId> {
    let mut keyed: Vec<(_, AdviceCandidate)> = candidates
        .into_iter()
        .map(|candidate| {
            let room = Reverse(candidate.tasks_now.min(SEVERAL_TASKS));
            let spread = FxBuildHasher.hash_one((name, &candidate.worker));
            ((!candidate.fits, candidate.rank, room, spread), candidate)
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
pub(crate) fn affordable_workers(cost: &AdviceCost) -> usize {
    if cost.per_worker_ms > 0.0 {
        (cost.fixed_ms * WORKERS_COST_FACTOR_MAX / cost.per_worker_ms) as usize
    } else {
        REQUEST_WORKERS_MAX
    }
}

/// Returns how many workers a request about single tasks names: a later one at least half as many
/// as the first, since its fixed time is most of its cost too.
pub(crate) fn single_task_request_workers(
    cost: &AdviceCost,
    waiting: usize,
    is_first: bool,
) -> usize {
    let affordable = affordable_workers(cost);
    let workers_wanted = if is_first {
        affordable.max(FIRST_REQUEST_WORKERS_MIN)
    } else {
        affordable.min(waiting.max(FIRST_REQUEST_WORKERS_MIN / 4) * 2)
    };
    workers_wanted.clamp(1, REQUEST_WORKERS_MAX)
}
