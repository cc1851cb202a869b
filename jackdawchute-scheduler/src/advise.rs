//! Advice requests: when an advisor is asked about a step, and what its answers mean.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use jackdawchute_types::WorkerId;
use spdlog::info;

use crate::{
    advice_counts::AdviceCounts,
    advice_requests::{AdviceRound, WantedAdvice, AHEAD_PER_RESERVATION},
    advisors::Advisors,
    free_capacity::FreeCapacity,
    job::Advice,
    place::reservations_max,
    planned_room::PlannedRoom,
    rank::RankedStep,
    AdviceAnswer, AdviceCost, AdviceRequest, Effect, Scheduler, StepName,
};

/// The part of a ticket's validity that is not used, so that a slow order arrives in time.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// How long to wait for an advisor's answers before advice for a step is requested again.
const ANSWER_WAIT_MAX: Duration = Duration::from_millis(2_500);
/// How long after the end of recovery the last recovered tasks are expected to be ordered to start.
const RECOVERED_START_MAX: Duration = Duration::from_millis(500);
/// The pause between two searches of a step for workers to request advice about, for each worker
/// of the cell, if the first finds none: under load hundreds of steps wait, and each search looks
/// at all workers.
const CHECK_PAUSE_PER_WORKER: Duration = Duration::from_micros(180);

/// The starts of steps with a better rank up to which a step requests advice, as a multiple of those
/// that may be under way: its tickets would lapse before its turn comes.
const STARTS_AHEAD_FACTOR: usize = 8;

impl Scheduler {
    /// Requests advice for each step that has tasks to place and no valid ticket to place them
    /// with, as long as its turn may come before the tickets lapse.
    ///
    /// Work without room has no turn and keeps none from others. Steps behind a great deal of work
    /// are looked at less often, since each look counts the room of all steps before.
    pub(crate) fn request_advice(
        &mut self,
        ranked: &[RankedStep],
        free_capacity: &FreeCapacity,
        mut advisors: Advisors,
        now: Instant,
    ) {
        advisors.allow_for_pause(now.saturating_duration_since(self.advice_round_at));
        self.advice_round_at = now;
        self.advice_counts.steps_waiting = 0;
        let starts_ahead_max = self
            .settings
            .starts_under_way_max
            .saturating_mul(STARTS_AHEAD_FACTOR);
        // A step that is split at its tenant's share asks for all its tasks where it stands first.
        let is_split = ranked.iter().any(|ranked| ranked.starts_max.is_some());
        let mut asked = HashSet::new();
        let ranked: Vec<&RankedStep> = ranked
            .iter()
            .filter(|ranked| !is_split || asked.insert(&ranked.name))
            .collect();
        let ranked = ranked.as_slice();
        let mut starts_ahead = 0;
        let is_near = |ranked: &&&RankedStep| {
            let is_near = starts_ahead < starts_ahead_max;
            starts_ahead += self.waiting_tasks(&ranked.name);
            is_near
        };
        let near_steps = ranked.iter().take_while(is_near).count();
        let (near, far) = ranked.split_at(near_steps);
        let mut round = AdviceRound {
            free_capacity,
            advisors,
            planned_room: PlannedRoom::default(),
            planned_steps: 0,
            recovered_by: self.recovery_complete_by(),
            ahead_left: reservations_max(self.workers.len()) * AHEAD_PER_RESERVATION,
        };
        for (index, step) in near.iter().enumerate() {
            let better = near.get(round.planned_steps..index).unwrap_or_default();
            self.request_advice_for(&step.name, better, &mut round, now);
            let is_ahead = usize::from(self.is_ahead(&step.name));
            round.ahead_left = round.ahead_left.saturating_sub(is_ahead);
        }
        if far.is_empty() || now < self.far_advice_next_at {
            return;
        }
        self.far_advice_next_at = now + self.advice_check_pause();
        let by_label = self.capacity_by_label(free_capacity);
        let mut starts_ahead = 0;
        for (index, ranked) in ranked.iter().enumerate() {
            if starts_ahead >= starts_ahead_max {
                break;
            }
            if self.has_room(&ranked.name, free_capacity, &by_label, now) {
                starts_ahead += self.waiting_tasks(&ranked.name);
                if index >= near_steps {
                    self.request_advice_for(&ranked.name, &[], &mut round, now);
                }
            }
        }
    }

    /// Returns the number of a step's tasks that wait for workers.
    pub(crate) fn waiting_tasks(&self, name: &StepName) -> usize {
        let job = self.jobs.get(&name.job);
        job.and_then(|job| job.step(name))
            .map_or(0, |(spec, step)| {
                let waiting = step.units.iter().filter(|unit| unit.is_waiting()).count();
                waiting * spec.unit_size() as usize
            })
    }

    /// Returns the pause between two searches for workers to request advice about, or to reserve, if
    /// the first finds none.
    pub(crate) fn advice_check_pause(&self) -> Duration {
        let workers = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        CHECK_PAUSE_PER_WORKER.saturating_mul(workers)
    }

    /// Requests advice for a step that lacks valid tickets, unless an answer is awaited or no advisor
    /// takes its requests now. The room of the `better` ranked steps that is not planned yet is planned
    /// first.
    fn request_advice_for(
        &mut self,
        name: &StepName,
        better: &[&RankedStep],
        round: &mut AdviceRound<'_>,
        now: Instant,
    ) {
        let Some(cost) = self.advice_cost_if_due(name, round, now) else {
            return;
        };
        // Whom to ask about takes a look at all workers.
        if !round.advisors.takes(cost.duration(1), now) {
            self.advice_counts.steps_waiting += 1;
            return;
        }
        for step in better {
            self.plan_room(&step.name, round, now);
        }
        round.planned_steps += better.len();
        let WantedAdvice {
            mut requests,
            is_ahead,
        } = self.wanted_advice(name, &cost, round, now);
        let expected: Vec<Duration> = requests.iter().map(|request| request.expected).collect();
        let assigned = round.advisors.assign(&expected, cost.valid / 2, now);
        let nobody_to_ask = requests.is_empty();
        requests.truncate(assigned.len());
        let is_sent = !requests.is_empty();
        self.advice_counts.steps_waiting += usize::from(!is_sent && !nobody_to_ask);
        let check_at = now + self.advice_check_pause();
        let job = self.jobs.get_mut(&name.job);
        if let Some(step) = job.and_then(|job| job.step_mut(name)) {
            step.advice_requested_at = is_sent.then_some(now);
            step.advice_check_at = nobody_to_ask.then_some(check_at);
            step.advice_is_ahead = is_ahead;
            for request in &mut requests {
                self.last_advice += 1;
                request.number = self.last_advice;
            }
            let named = requests.iter().map(|it| (it.number, it.workers.clone()));
            step.advice_under_way = named.collect();
        }
        let effects = assigned.into_iter().zip(requests);
        let effects = effects.map(|(advisor, request)| Effect::Advise { advisor, request });
        self.effects.extend(effects);
    }

    /// Returns whether a step is a gang without room that knows of workers to wait for.
    fn is_ahead(&self, name: &StepName) -> bool {
        let job = self.jobs.get(&name.job);
        let step = job.and_then(|job| job.step(name));
        step.is_some_and(|(_, step)| step.advice_is_ahead)
    }

    /// Returns the cost of a step's advice if the step has tasks to place, no request of it is under
    /// way, and it has not found a short time ago that there is nobody to ask about.
    ///
    /// A recovered step asks so early that it has valid tickets when it may be placed.
    fn advice_cost_if_due(
        &self,
        name: &StepName,
        round: &AdviceRound<'_>,
        now: Instant,
    ) -> Option<AdviceCost> {
        let job = self.jobs.get(&name.job)?;
        let (_, step) = job.step(name)?;
        let cost = job.queue.advice?;
        let is_pending = |at: Instant| now < at + ANSWER_WAIT_MAX;
        let is_later = |at: Instant| now < at;
        let usable_until = now + cost.duration(1) + usable_time(&cost);
        let may_start_at = round.may_start_at(job, now);
        let is_soon = may_start_at <= now || may_start_at + RECOVERED_START_MAX <= usable_until;
        let is_due = is_soon
            && step.units.iter().any(|unit| unit.is_waiting())
            && !step.advice_requested_at.is_some_and(is_pending)
            && !step.advice_check_at.is_some_and(is_later);
        is_due.then_some(cost)
    }

    /// Handles an advisor's answer, or `None` if no answer came.
    ///
    /// The outcome of a request that was given up, or that the step has replaced, ends no wait; its
    /// tickets are of use as those of any other.
    pub fn advice_answered(
        &mut self,
        request: &AdviceRequest,
        answer: Option<AdviceAnswer>,
        now: Instant,
    ) {
        self.placement_needed = true;
        let job = self.jobs.get_mut(&request.step.job);
        if let Some(step) = job.and_then(|job| job.step_mut(&request.step)) {
            let is_awaited = step.advice_under_way.remove(&request.number).is_some();
            if is_awaited && step.advice_under_way.is_empty() {
                step.advice_requested_at = None;
            }
        }
        if let Some(answer) = answer {
            self.record_advice(request, answer, now);
        }
    }

    /// Records what an advisor has told about a step's workers.
    fn record_advice(&mut self, request: &AdviceRequest, answer: AdviceAnswer, now: Instant) {
        self.advice_counts.tickets_received += answer.allowed.len();
        let Self { jobs, workers, .. } = self;
        let Some(job) = jobs.get_mut(&request.step.job) else {
            return;
        };
        let queue = job.queue.queue.clone();
        let usable = job.queue.advice.as_ref().map(usable_time);
        let usable_until = now + usable.unwrap_or_default();
        let Some(step) = job.step_mut(&request.step) else {
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
        for (worker, ticket) in answer.allowed {
            let started_unix_ms = workers
                .get(&worker)
                .map_or(0, |worker| worker.entry.started_unix_ms);
            let advice = Advice::Allowed {
                ticket,
                usable_until,
                started_unix_ms,
                used: false,
            };
            step.advice.insert(worker, advice);
        }
    }

    /// Returns the counts of tickets since the last call.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{AdviceCounts, Scheduler, Settings};
    ///
    /// let mut scheduler = Scheduler::new(Settings::default(), 1, Instant::now());
    /// assert_eq!(scheduler.take_advice_counts(), AdviceCounts::default());
    /// ```
    pub fn take_advice_counts(&mut self) -> AdviceCounts {
        std::mem::take(&mut self.advice_counts)
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

/// Returns how long after the answer a ticket is used.
fn usable_time(cost: &AdviceCost) -> Duration {
    cost.valid.saturating_sub(TICKET_MARGIN)
}
