//! Which workers an advisor is asked about, and when.
//!
//! An answer costs the advisor a fixed time and some for each worker named, and a ticket lapses
//! within seconds. A step's first question names the workers with the most room; later ones only
//! those where it would fit at that moment.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_types::WorkerId;
use spdlog::info;

use crate::{
    job::{Advice, GangPlan, Job, StepRun},
    rank::Ranked,
    room::{can_run, Room},
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
/// The time that an advisor may spend on the named workers, as a multiple of the fixed time;
/// below it all workers are named.
const NAMED_SHARE_MAX: f64 = 0.6;
/// The fewest workers that a first question names.
const NAMED_MIN: usize = 24;

impl Scheduler {
    /// Asks about each step that has something to place and no valid ticket to place it with.
    pub(crate) fn ask_for_advice(&mut self, ranked: &[Ranked], room: &Room, now: Instant) {
        for ranked in ranked {
            if let Some(request) = self.question(&ranked.name, room, now) {
                info!("advice asked", kv: {
                    job = request.step.job.as_str(), step = request.step.step,
                    workers = request.workers.len(),
                    expected_ms = request.expected.as_millis() as u64
                });
                self.effects.push(Effect::Advise(request));
            }
        }
    }

    fn question(&mut self, name: &StepName, room: &Room, now: Instant) -> Option<AdviceRequest> {
        let job = self.jobs.get(&name.job)?;
        let cost = job.queue.advice?;
        let (spec, step) = job.step(name)?;
        let asking = |at: Instant| now < at + ANSWER_PATIENCE;
        if job.uncertain || step.advice_asked_at.is_some_and(asking) {
            return None;
        }
        let waiting = step.units.iter().filter(|unit| unit.waiting()).count();
        if waiting == 0 {
            return None;
        }
        let known = known_advice(&self.workers, job, spec, step, room, now);
        let candidates = if step.advice.is_empty() {
            known.unknown
        } else if spec.gang {
            gang_candidates(known, step.plan.as_ref(), &cost, now)
        } else {
            known.fitting_without_ticket()
        };
        if candidates.is_empty() {
            return None;
        }
        let first = step.advice.is_empty();
        let members = waiting * spec.unit_size() as usize;
        let workers = most_room(candidates, named(&cost, members, first || spec.gang));
        let expected = cost.duration(workers.len());
        self.jobs
            .get_mut(&name.job)?
            .step_mut(name)?
            .advice_asked_at = Some(now);
        Some(AdviceRequest {
            step: name.clone(),
            workers,
            expected,
        })
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
        let valid = job.queue.advice.map(|cost| cost.valid).unwrap_or_default();
        let Some(step) = job.step_mut(&request.step) else {
            return;
        };
        step.advice_asked_at = None;
        let Some(answer) = answer else {
            return;
        };
        info!("advice answered", kv: {
            job = request.step.job.as_str(), step = request.step.step,
            asked = request.workers.len(), allowed = answer.allowed.len()
        });
        for worker in &request.workers {
            step.advice.insert(worker.clone(), Advice::Denied);
        }
        let until = now + valid.saturating_sub(TICKET_MARGIN);
        for (worker, ticket) in answer.allowed {
            let born_unix_ms = workers.get(&worker).map_or(0, |it| it.entry.born_unix_ms);
            let advice = Advice::Allowed {
                ticket,
                until,
                born_unix_ms,
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
    room: &Room,
    now: Instant,
) -> Known {
    let size = spec.reserved();
    let mut known = Known::default();
    for (worker, spot) in room.spots() {
        let fits = size.fits_in(&spot.free);
        // Tasks without a gang start one by one, and need no advice on workers without room.
        let of_use = fits || spec.gang || step.advice.is_empty();
        if !of_use || !can_run(workers, worker, spot, job, spec) {
            continue;
        }
        let candidate = || Candidate {
            worker: worker.clone(),
            free_millicores: spot.free.processor_millicores,
            fits,
        };
        match step.advice.get(worker) {
            Some(Advice::Denied) => {}
            Some(advice) if advice.ticket(spot.born_unix_ms, now).is_some() => {
                known.fresh_fits |= fits;
            }
            Some(Advice::Allowed { .. }) => known.stale.push(candidate()),
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
}

/// The workers that could run a step, without those that may not.
#[derive(Debug, Default)]
struct Known {
    /// A task fits on a worker with a valid ticket.
    fresh_fits: bool,
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

/// Whom to ask about for a gang: the places kept for it shortly before it can start, and workers
/// that nobody was asked about as long as there are no such places.
fn gang_candidates(
    known: Known,
    plan: Option<&GangPlan>,
    cost: &AdviceCost,
    now: Instant,
) -> Vec<Candidate> {
    let Some(plan) = plan else {
        return known.unknown;
    };
    let ahead = cost.duration(plan.workers.len()) + ASK_AHEAD;
    if plan.starts_at > now + ahead {
        return Vec::new();
    }
    let planned = |it: &Candidate| plan.workers.contains(&it.worker);
    known.stale.into_iter().filter(planned).collect()
}

fn most_room(mut candidates: Vec<Candidate>, count: usize) -> Vec<WorkerId> {
    candidates.sort_unstable_by(|left, right| {
        let by_room = right.free_millicores.cmp(&left.free_millicores);
        by_room.then_with(|| left.worker.cmp(&right.worker))
    });
    candidates.truncate(count);
    candidates.into_iter().map(|it| it.worker).collect()
}

/// How many workers a question names.
fn named(cost: &AdviceCost, members: usize, first: bool) -> usize {
    let affordable = if cost.per_worker_ms > 0.0 {
        (cost.fixed_ms * NAMED_SHARE_MAX / cost.per_worker_ms) as usize
    } else {
        WORKERS_MAX
    };
    let wanted = if first {
        affordable.max(NAMED_MIN)
    } else {
        affordable.min(members.max(4) * 2)
    };
    wanted.clamp(1, WORKERS_MAX)
}
