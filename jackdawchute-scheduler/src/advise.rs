//! Which workers an advisor is asked about, and when.
//!
//! An answer costs the advisor a fixed time and some for each worker named, and a ticket lapses
//! within seconds. A step's first question names the workers with the most room; later ones only
//! those where it would fit at that moment. A gang needs all its tickets at once: it asks several
//! advisors side by side, about workers with room for it several times over.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_types::WorkerId;
use spdlog::info;

use crate::{
    free_capacity::{can_run, times_fitting, FreeCapacity, PLACES_AHEAD_MAX},
    job::{Advice, GangPlan, Job, StepRun},
    rank::Ranked,
    worker::Worker,
    AdviceAnswer, AdviceCost, AdviceRequest, Effect, Scheduler, StepName, StepSpec,
};

/// The most workers that one question may name, a limit of the advisor's protocol.
const WORKERS_MAX: usize = 100;
/// How much of a ticket's validity is left unused, for orders that take long.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// How long before a gang's expected start its tickets are asked for, beyond the advisor's time.
const ASK_AHEAD: Duration = Duration::from_millis(300);
/// How long to wait for an advisor before the question is asked again, beyond its expected time.
const ANSWER_PATIENCE: Duration = Duration::from_millis(2_500);
/// The time that an advisor may spend on the named workers, as a multiple of the fixed time.
const NAMED_SHARE_MAX: f64 = 0.6;
/// The most questions about a gang at a time; an advisor answers one at a time, and other gangs
/// ask too.
const GANG_QUESTIONS_MAX: usize = 8;
/// How many times the places that a gang needs the workers that may run it are to have when empty;
/// most of these are in use at a time. The load model (repair desk) gave gangs 0.69 of their worth
/// with six times and 0.74 with twelve.
const GANG_SURPLUS: f64 = 12.0;
/// A gang without kept places asks again once the workers that may run it have room for it so many
/// times over; some of that is taken until the answer is there.
const ROOM_NOW_SURPLUS: f64 = 1.5;
/// The fewest workers that a first question names.
const NAMED_MIN: usize = 24;

impl Scheduler {
    /// Asks about each step that has something to place and no valid ticket to place it with.
    pub(crate) fn ask_for_advice(
        &mut self,
        ranked: &[Ranked],
        free_capacity: &FreeCapacity,
        now: Instant,
    ) {
        for ranked in ranked {
            for request in self.questions(&ranked.name, free_capacity, now) {
                info!("advice asked", kv: {
                    job = request.step.job.as_str(), step = request.step.step,
                    workers = request.workers.len(),
                    expected_ms = request.expected.as_millis() as u64
                });
                self.effects.push(Effect::Advise(request));
            }
        }
    }

    /// What is to be asked about a step: one question, or for a gang several that different
    /// advisors answer side by side, since all its tickets must be valid at once.
    fn questions(
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
        let asking = |at: Instant| now < at + ANSWER_PATIENCE;
        let waiting = step.units.iter().filter(|unit| unit.waiting()).count();
        if job.uncertain || waiting == 0 || step.advice_asked_at.is_some_and(asking) {
            return Vec::new();
        }
        let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
        let known = known_advice(
            &self.workers,
            job,
            spec,
            step,
            free_capacity,
            (now, now + expected),
        );
        let (workers, per_question) = if spec.gang {
            let allowed_share = self.allowed_shares.expected(&job.queue.queue);
            let workers = gang_workers(known, spec, step.plan.as_ref(), allowed_share, &cost, now);
            (workers, affordable(&cost).clamp(1, WORKERS_MAX))
        } else {
            let first = step.advice.is_empty();
            let candidates = if first {
                known.unknown
            } else {
                known.fitting_without_ticket()
            };
            let workers = most_room(candidates, named(&cost, waiting, first));
            (workers, WORKERS_MAX)
        };
        let request = |workers: &[WorkerId]| AdviceRequest {
            step: name.clone(),
            workers: workers.to_vec(),
            expected: cost.duration(workers.len()),
        };
        let chunks = workers.chunks(per_question).take(GANG_QUESTIONS_MAX);
        let requests: Vec<AdviceRequest> = chunks.map(request).collect();
        let step = self.jobs.get_mut(&name.job);
        if let Some(step) = step.and_then(|job| job.step_mut(name)) {
            step.advice_open = requests.len();
            step.advice_asked_at = (!requests.is_empty()).then_some(now);
        }
        requests
    }

    /// Takes an advisor's answer; `None` if there was none.
    pub fn advice_answered(
        &mut self,
        request: &AdviceRequest,
        answer: Option<AdviceAnswer>,
        now: Instant,
    ) {
        self.place_needed = true;
        let Self { jobs, workers, .. } = self;
        let Some(job) = jobs.get_mut(&request.step.job) else {
            return;
        };
        let queue = job.queue.queue.clone();
        let valid = job.queue.advice.map(|cost| cost.valid).unwrap_or_default();
        let Some(step) = job.step_mut(&request.step) else {
            return;
        };
        step.advice_open = step.advice_open.saturating_sub(1);
        if step.advice_open == 0 {
            step.advice_asked_at = None;
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
        let until = now + valid.saturating_sub(TICKET_MARGIN);
        for (worker, ticket) in answer.allowed {
            let started_unix_ms = workers
                .get(&worker)
                .map_or(0, |it| it.entry.started_unix_ms);
            let advice = Advice::Allowed {
                ticket,
                until,
                started_unix_ms,
            };
            step.advice.insert(worker, advice);
        }
    }

    /// Forgets a ticket that its worker did not accept.
    pub(crate) fn drop_ticket(&mut self, step: &StepName, worker: &WorkerId) {
        let run = self
            .jobs
            .get_mut(&step.job)
            .and_then(|job| job.step_mut(step));
        if let Some(run) = run {
            run.advice.remove(worker);
        }
    }
}

/// Sorts the workers that could run a step by what is known of them.
fn known_advice(
    workers: &BTreeMap<WorkerId, Worker>,
    job: &Job,
    spec: &StepSpec,
    step: &StepRun,
    free_capacity: &FreeCapacity,
    (now, ends_at): (Instant, Instant),
) -> Known {
    let size = spec.reserved();
    let starts_at = step
        .plan
        .as_ref()
        .map_or(now, |plan| plan.starts_at.max(now));
    let per_worker_max = spec.per_worker_max.unwrap_or(PLACES_AHEAD_MAX);
    let per_worker_max = per_worker_max.min(PLACES_AHEAD_MAX);
    let mut known = Known::default();
    for (worker, worker_capacity) in free_capacity.workers() {
        let usable = worker_capacity.usable(ends_at);
        let fits = size.fits_in(&usable);
        // Tasks without a gang start one by one, and need no advice on workers without room.
        let of_use = fits || spec.gang || step.advice.is_empty();
        if !of_use || !can_run(workers, worker, worker_capacity, job, spec) {
            continue;
        }
        let candidate = || Candidate {
            worker: worker.clone(),
            free_millicores: usable.processor_millicores,
            fits,
            places: times_fitting(&size, worker_capacity.capacity).min(per_worker_max),
            places_now: times_fitting(&size, usable).min(per_worker_max),
        };
        match step.advice.get(worker) {
            Some(Advice::Denied) => {}
            Some(advice @ Advice::Allowed { .. }) => {
                let candidate = candidate();
                known.allowed_places += candidate.places;
                if advice
                    .ticket(worker_capacity.started_unix_ms, starts_at)
                    .is_some()
                {
                    known.fresh_fits |= fits;
                } else {
                    known.stale.push(candidate);
                }
            }
            None => known.unknown.push(candidate()),
        }
    }
    known
}

/// A worker that a question may name.
#[derive(Debug)]
struct Candidate {
    worker: WorkerId,
    free_millicores: u64,
    fits: bool,
    /// How many tasks of the step the worker has room for when nothing else runs there.
    places: u32,
    /// How many it has room for now.
    places_now: u32,
}

/// The workers that could run a step, without those that may not.
#[derive(Debug, Default)]
struct Known {
    /// A task fits on a worker with a valid ticket.
    fresh_fits: bool,
    /// How many tasks the workers that may run the step have room for when empty.
    allowed_places: u32,
    /// They may run it, and their tickets have lapsed.
    stale: Vec<Candidate>,
    /// Nobody was asked about them.
    unknown: Vec<Candidate>,
}

impl Known {
    /// The workers where a task fits and only the ticket is missing.
    fn fitting_without_ticket(self) -> Vec<Candidate> {
        if self.fresh_fits {
            return Vec::new();
        }
        let both = self.stale.into_iter().chain(self.unknown);
        both.filter(|it| it.fits).collect()
    }
}

/// Whom to ask about for a gang: as long as no places are kept for it, workers that nobody was
/// asked about, until those that may run it have room for it more than once; later the places
/// kept for it, shortly before it can start.
fn gang_workers(
    known: Known,
    spec: &StepSpec,
    plan: Option<&GangPlan>,
    allowed_share: f64,
    cost: &AdviceCost,
    now: Instant,
) -> Vec<WorkerId> {
    let Some(plan) = plan else {
        let room_now: u32 = known.stale.iter().map(|it| it.places_now).sum();
        if f64::from(room_now) >= f64::from(spec.tasks) * ROOM_NOW_SURPLUS {
            let with_room = known.stale.into_iter().filter(|it| it.fits).collect();
            return most_room(with_room, affordable(cost));
        }
        let wanted = f64::from(spec.tasks) * GANG_SURPLUS - f64::from(known.allowed_places);
        let least = affordable(cost);
        return enough_places(known.unknown, wanted, allowed_share, least);
    };
    let ahead = cost.duration(plan.workers.len()) + ASK_AHEAD;
    if plan.starts_at > now + ahead {
        return Vec::new();
    }
    let planned = |it: &Candidate| plan.workers.contains(&it.worker);
    if !known.stale.iter().any(planned) {
        return Vec::new();
    }
    // Whoever is asked anyway is asked about other workers with room too: the fixed time is most
    // of a question, and a plan changes until the gang starts.
    let least = affordable(cost);
    let (mut workers, others): (Vec<_>, Vec<_>) = known.stale.into_iter().partition(planned);
    let spare = least.saturating_sub(workers.len());
    let others = others.into_iter().filter(|it| it.fits).collect();
    workers.extend(most_room_first(others).into_iter().take(spare));
    workers.into_iter().map(|it| it.worker).collect()
}

/// The workers with the most room, until so many places are expected on them.
/// A question that is asked at all names `least` workers, since its fixed time is most of it.
fn enough_places(
    candidates: Vec<Candidate>,
    wanted: f64,
    allowed_share: f64,
    least: usize,
) -> Vec<WorkerId> {
    if wanted <= 0.0 {
        return Vec::new();
    }
    let mut expected = 0.0;
    let candidates = most_room_first(candidates).into_iter().enumerate();
    let enough = candidates.take_while(|(index, it)| {
        let more = expected < wanted || *index < least;
        expected += f64::from(it.places) * allowed_share;
        more
    });
    enough.map(|(_, it)| it.worker).collect()
}

fn most_room(candidates: Vec<Candidate>, count: usize) -> Vec<WorkerId> {
    let first = most_room_first(candidates).into_iter().take(count);
    first.map(|it| it.worker).collect()
}

fn most_room_first(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    candidates.sort_unstable_by(|left, right| {
        let by_room = right.free_millicores.cmp(&left.free_millicores);
        by_room.then_with(|| left.worker.cmp(&right.worker))
    });
    candidates
}

/// How many workers may be named so that the fixed time stays most of a question.
fn affordable(cost: &AdviceCost) -> usize {
    if cost.per_worker_ms > 0.0 {
        (cost.fixed_ms * NAMED_SHARE_MAX / cost.per_worker_ms) as usize
    } else {
        WORKERS_MAX
    }
}

/// How many workers a question about single tasks names.
fn named(cost: &AdviceCost, waiting: usize, first: bool) -> usize {
    let affordable = affordable(cost);
    let wanted = if first {
        affordable.max(NAMED_MIN)
    } else {
        affordable.min(waiting.max(4) * 2)
    };
    wanted.clamp(1, WORKERS_MAX)
}
