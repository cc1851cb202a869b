//! Which workers an advisor is asked about, and when.
//!
//! An answer costs the advisor a fixed time and some for each worker named, and a ticket lapses
//! within seconds. A step's first question names the workers with the most room; later ones only
//! those where it would fit at that moment.

use std::time::{Duration, Instant};

use jackdawchute_types::{Resources, WorkerId};
use spdlog::info;

use crate::{job::Advice, AdviceAnswer, AdviceCost, AdviceRequest, Effect, Scheduler, StepName};

/// The most workers that one question may name, a limit of the advisor's protocol.
const WORKERS_MAX: usize = 100;
/// How much of a ticket's validity is left unused, for orders that take long.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// How long to wait for an advisor before the question is asked again, beyond its expected time.
const ANSWER_PATIENCE: Duration = Duration::from_millis(2_500);
/// The time that an advisor may spend on the named workers, as a multiple of the fixed time;
/// below it all workers are named.
const NAMED_SHARE_MAX: f64 = 0.6;
/// The fewest workers that a first question names.
const NAMED_MIN: usize = 24;

impl Scheduler {
    /// Asks about each step that has something to place and no valid ticket to place it with.
    pub(crate) fn ask_for_advice(&mut self, now: Instant) {
        for ranked in self.ranked_steps(now, true) {
            if let Some(request) = self.question(&ranked.name, now) {
                info!("advice asked", kv: {
                    job = request.step.job.as_str(), step = request.step.step,
                    workers = request.workers.len(),
                    expected_ms = request.expected.as_millis() as u64
                });
                self.effects.push(Effect::Advise(request));
            }
        }
    }

    fn question(&mut self, name: &StepName, now: Instant) -> Option<AdviceRequest> {
        let silence = self.settings.silence;
        let job = self.jobs.get(&name.job)?;
        let cost = job.queue.advice?;
        let (spec, step) = job.step(name)?;
        if step
            .advice_asked_at
            .is_some_and(|at| now < at + ANSWER_PATIENCE)
        {
            return None;
        }
        let size = spec.reserved();
        let first = step.advice.is_empty();
        let mut fresh: u32 = 0;
        let mut candidates: Vec<(WorkerId, Resources)> = Vec::new();
        for worker in self.workers.values() {
            let usable = worker.entry.service == job.queue.service
                && worker.takes_tasks(now, silence)
                && spec
                    .required_label
                    .as_ref()
                    .is_none_or(|label| worker.entry.labels.contains(label));
            let Some(free) = worker.free().filter(|_| usable) else {
                continue;
            };
            let fits = size.fits_in(&free);
            match step.advice.get(worker.id()) {
                Some(Advice::Denied) => {}
                Some(Advice::Allowed {
                    until,
                    born_unix_ms,
                    ..
                }) if *until > now && worker.entry.born_unix_ms == *born_unix_ms => {
                    fresh += u32::from(fits);
                }
                _ if fits || first => candidates.push((worker.id().clone(), free)),
                _ => {}
            }
        }
        let wanted = step.units.iter().filter(|unit| unit.waiting()).count() as u32;
        let enough = if spec.gang {
            fresh * 3 >= spec.tasks
        } else {
            fresh >= 1
        };
        if candidates.is_empty() || (!first && enough) {
            return None;
        }
        candidates.sort_by_key(|(_, free)| std::cmp::Reverse(free.processor_millicores));
        let members = wanted * spec.unit_size();
        candidates.truncate(named(&cost, members as usize, first));
        let workers: Vec<WorkerId> = candidates.into_iter().map(|(id, _)| id).collect();
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
