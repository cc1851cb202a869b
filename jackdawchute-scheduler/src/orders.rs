//! Orders to workers.

use std::time::{Duration, Instant};

use jackdawchute_types::{FencingToken, RunNumber, WorkerId};
use spdlog::{info, warn};

use crate::{
    extensions::RenewalKind,
    worker::{Run, RunPhase, Worker},
    Effect, RenewOrder, Scheduler, Settings, StopOrder, TaskName,
};

/// The delay before an order without an answer is sent again.
pub(crate) const ORDER_RETRY_DELAY: Duration = Duration::from_millis(150);
/// The delay before the next renewal of a worker that did not answer the last one.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// How long an order to start without an answer is repeated before the run is stopped instead.
const START_RETRY_MAX: Duration = Duration::from_millis(2_000);
/// The delay before a renewal that an answer to a stop makes due, so that several run ends share
/// one renewal.
const RENEWAL_DELAY: Duration = Duration::from_millis(15);
/// The highest number of renewals under way to workers that have not reported their runs or do not
/// answer. An instance with a quarter of a core opens 400 connections within a third of the
/// time that workers have to answer.
const FIRST_RENEWALS_MAX: usize = 400;
/// The number of workers in a cell up to which idle workers are renewed without a pause; the
/// renewals of 500 workers take a tenth of an instance's core.
const WORKERS_WITHOUT_IDLE_PAUSE: usize = 500;
/// The pause between two renewals of an idle worker, for each worker of the cell above
/// [`WORKERS_WITHOUT_IDLE_PAUSE`]. Renewals of idle workers then take at most twice as much
/// processor time in a cell of any size as in one with that number of workers.
const IDLE_PAUSE_PER_WORKER: Duration = Duration::from_millis(4);

/// How long the next renewal waits at least for the run ends of the last answer to be saved; before
/// that it would list them again.
const COMMIT_WAIT_MIN: Duration = Duration::from_millis(400);
/// How long it waits for each worker of the cell, so that a slow store or a busy leader does not
/// raise the number of renewals: as many workers get them in this time as have run ends in it.
const COMMIT_WAIT_PER_WORKER: Duration = Duration::from_millis(1);
/// The longest such wait; a renewal comes well before the lease lapses.
const COMMIT_WAIT_MAX: Duration = Duration::from_millis(1_200);

impl Scheduler {
    /// Handles the answer to an order to stop run `number` of a task: the worker's clock when it
    /// answered, or `None` if no answer came.
    pub fn stop_answered(
        &mut self,
        worker: &WorkerId,
        task: &TaskName,
        number: RunNumber,
        clock: Option<Duration>,
        now: Instant,
    ) {
        let Some(run) = self.run_mut(worker, task).filter(|run| run.run == number) else {
            return;
        };
        run.order_under_way = false;
        match clock {
            Some(clock) => {
                run.start_outcome_unknown = false;
                run.answered_clock = Some(clock);
                run.retry_at = None;
                self.schedule_renewal(worker, now);
            }
            None => run.retry_at = Some(now + ORDER_RETRY_DELAY),
        }
    }

    pub(crate) fn run_mut(&mut self, worker: &WorkerId, task: &TaskName) -> Option<&mut Run> {
        self.workers.get_mut(worker)?.runs.get_mut(task)
    }

    /// Marks a run as stopping and orders its stop.
    fn stop_run(&mut self, worker: &WorkerId, task: &TaskName) {
        if let Some(run) = self.run_mut(worker, task) {
            run.phase = RunPhase::Stopping;
            self.send_stop(worker, task);
        }
    }

    /// Stops a run, or prevents its start if that is still possible, and the rest of its gang.
    pub(crate) fn stop_with_gang(&mut self, worker: &WorkerId, task: &TaskName) {
        self.stop_run(worker, task);
        self.stop_rest_of_gang(task);
    }

    /// Stops the other tasks of a gang if this one does not run, since they would only wait for it.
    pub(crate) fn stop_rest_of_gang(&mut self, task: &TaskName) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let spec = job.graph.steps.get(task.step.step as usize);
        if !spec.is_some_and(|spec| spec.gang) {
            return;
        }
        let Some(unit) = job.unit_mut(&task.step, task.index) else {
            return;
        };
        if unit.done || std::mem::replace(&mut unit.stopping, true) {
            return;
        }
        info!("gang stopped because one of its tasks does not run", kv: {
            job = task.step.job.as_str(), step = task.step.step, task = task.index
        });
        for (index, worker) in unit.placed.clone() {
            let other_task = task.step.task(index);
            self.stop_run(&worker, &other_task);
        }
    }

    /// Orders the stop of a run, unless another order for the run is under way.
    pub(crate) fn send_stop(&mut self, worker: &WorkerId, task: &TaskName) {
        let base = self.token_base;
        let Some(target) = self.workers.get_mut(worker) else {
            return;
        };
        let token = target.token(base);
        let address = target.entry.address;
        let Some(run) = target.runs.get_mut(task) else {
            return;
        };
        if run.order_under_way {
            return;
        }
        run.order_under_way = true;
        run.stop_sent = true;
        run.retry_at = None;
        self.effects.push(Effect::Stop(StopOrder {
            worker: worker.clone(),
            address,
            task: task.clone(),
            run: run.run,
            token,
        }));
    }

    /// Repeats orders that got no answer and are due again; a start that was repeated for too long
    /// is stopped instead.
    pub(crate) fn retry_orders(&mut self, now: Instant) {
        let mut stops = Vec::new();
        let base = self.token_base;
        let lease_length = self.settings.lease;
        let may_act = self.authority.may_act;
        for worker in self.workers.values_mut() {
            let lease_until = worker.lease_until(lease_length, now);
            let Some(lease_until) = lease_until.filter(|_| worker.reported) else {
                continue;
            };
            let token = worker.token(base);
            let has_known_kind = worker.has_known_kind();
            for (task, run) in &mut worker.runs {
                if run.order_under_way || run.retry_at.is_none_or(|at| at > now) {
                    continue;
                }
                let may_retry = now.saturating_duration_since(run.known_since) < START_RETRY_MAX;
                match (&run.phase, &run.start_order) {
                    (RunPhase::Starting, Some(_)) if !may_act => {}
                    // The worker may have become one that cannot run the task.
                    (RunPhase::Starting, Some(_))
                        if may_retry && worker.listed && !has_known_kind => {}
                    (RunPhase::Starting, Some(start)) if may_retry && worker.listed => {
                        let mut start = start.clone();
                        start.token = token;
                        start.lease_until = lease_until;
                        worker.lease_sent = worker.lease_sent.max(start.lease_until);
                        run.order_under_way = true;
                        run.retry_at = None;
                        run.start_order = Some(start.clone());
                        self.effects.push(Effect::Start(*start));
                    }
                    (RunPhase::Running, _) => run.retry_at = None,
                    _ => {
                        run.phase = RunPhase::Stopping;
                        stops.push((worker.entry.worker.clone(), task.clone()));
                    }
                }
            }
        }
        for (worker, task) in stops {
            self.stop_with_gang(&worker, &task);
        }
    }

    /// Sends the lease renewals that are due.
    pub fn issue_due_renewals(&mut self, now: Instant) {
        let base = self.token_base;
        let Self {
            workers,
            effects,
            settings,
            authority,
            ..
        } = self;
        let is_first = |worker: &&Worker| worker.renewal_under_way && !worker.is_responsive();
        let first_under_way = workers.values().filter(is_first).count();
        let (mut renewed, mut first): (Vec<&mut Worker>, Vec<&mut Worker>) = workers
            .values_mut()
            .filter(|worker| !worker.renewal_under_way && worker.renewal_next_at <= now)
            .partition(|worker| worker.is_responsive());
        // Silent workers are due again and again, and must keep none from its turn.
        first.sort_by_key(|worker| worker.renewal_next_at);
        first.truncate(FIRST_RENEWALS_MAX.saturating_sub(first_under_way));
        renewed.append(&mut first);
        for worker in renewed {
            let order = begin_renewal(worker, settings, authority.may_act, base, now);
            effects.push(Effect::Renew(order));
        }
    }

    /// Sends the lease renewal of a worker that answers, if none is under way.
    pub(crate) fn issue_renewal(&mut self, worker: &WorkerId, now: Instant) {
        let base = self.token_base;
        let worker = self.workers.get_mut(worker);
        if let Some(worker) =
            worker.filter(|worker| worker.is_responsive() && !worker.renewal_under_way)
        {
            let may_act = self.authority.may_act;
            let order = begin_renewal(worker, &self.settings, may_act, base, now);
            self.effects.push(Effect::Renew(order));
        }
    }

    /// Extends the lease of a worker that was heard just now, if that is due.
    pub(crate) fn issue_extension(&mut self, worker: &WorkerId, now: Instant) {
        let may_act = self.authority.may_act;
        let target = self.workers.get(worker);
        let kind = target.map(|target| target.renewal_kind(&self.settings, may_act, now));
        if kind == Some(RenewalKind::Extend) {
            self.issue_renewal(worker, now);
        }
    }

    /// Handles a renewal that was sent at `sent_at` and got no answer.
    ///
    /// One that a later renewal has followed since a restart was noticed changes nothing: it may have
    /// been sent to the former incarnation.
    pub fn renew_failed(&mut self, order: &RenewOrder, sent_at: Instant, now: Instant) {
        let target = self.workers.get_mut(&order.worker);
        let Some(target) = target.filter(|target| sent_at >= target.renewal_ordered_at) else {
            return;
        };
        target.renewal_under_way = false;
        target.extensions.under_way = false;
        target.renewal_next_at = now + RENEWAL_RETRY_DELAY;
        self.record_no_answer(&order.worker, now);
    }

    /// Handles the refusal of an order with a fencing token.
    ///
    /// The worker has seen a higher one: that of a later leader, unless this leader has raised the
    /// token since, after a restart of the worker.
    pub fn order_fenced(&mut self, worker: &WorkerId, token: FencingToken) {
        let base = self.token_base;
        let current = self.workers.get(worker).map(|worker| worker.token(base));
        if current == Some(token) {
            self.effects.push(Effect::Fenced {
                worker: worker.clone(),
            });
        }
    }

    /// Records that a worker did not answer; it gets no start until it answers a renewal.
    pub(crate) fn record_no_answer(&mut self, worker: &WorkerId, now: Instant) {
        if let Some(target) = self.workers.get_mut(worker) {
            if target.unanswered_since.is_none() {
                warn!("worker does not answer", kv: {
                    worker = worker.as_str(), runs = target.runs.len(), listed = target.listed
                });
                target.unanswered_since = Some(now);
                let renewal_at = now + RENEWAL_RETRY_DELAY;
                target.renewal_next_at = target.renewal_next_at.min(renewal_at);
            }
        }
    }

    /// Returns the pause between two renewals of an idle worker.
    pub(crate) fn idle_pause(&self) -> Duration {
        let workers_above = self
            .workers
            .len()
            .saturating_sub(WORKERS_WITHOUT_IDLE_PAUSE);
        IDLE_PAUSE_PER_WORKER * u32::try_from(workers_above).unwrap_or(u32::MAX)
    }

    /// Returns how long the renewal of a worker waits for the worker's run ends to be saved.
    pub(crate) fn commit_wait(&self) -> Duration {
        let workers = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        COMMIT_WAIT_PER_WORKER
            .saturating_mul(workers)
            .clamp(COMMIT_WAIT_MIN, COMMIT_WAIT_MAX)
    }

    /// Makes the next renewal of a worker due soon.
    pub(crate) fn schedule_renewal(&mut self, worker: &WorkerId, now: Instant) {
        if let Some(target) = self.workers.get_mut(worker) {
            target.renewal_next_at = target.renewal_next_at.min(now + RENEWAL_DELAY);
        }
    }
}

/// Marks a renewal of a worker as under way, and returns the order.
fn begin_renewal(
    worker: &mut Worker,
    settings: &Settings,
    may_act: bool,
    token_base: FencingToken,
    now: Instant,
) -> RenewOrder {
    let is_responsive = worker.is_responsive();
    let kind = worker.renewal_kind(settings, may_act, now);
    let wait = match kind {
        RenewalKind::Wait(wait) => wait,
        RenewalKind::Extend | RenewalKind::Probe => Duration::ZERO,
    };
    let lease_until = worker
        .lease_until(settings.lease_max(), now)
        .filter(|_| kind == RenewalKind::Extend);
    if let Some(until) = lease_until {
        worker.lease_sent = worker.lease_sent.max(until);
    }
    worker.extensions.under_way = lease_until.is_some();
    worker.renewal_under_way = true;
    worker.renewal_ordered_at = now;
    RenewOrder {
        worker: worker.entry.worker.clone(),
        address: worker.entry.address,
        lease_until,
        // A new incarnation numbers its run ends from the start again, and a worker that does not
        // answer may have restarted.
        ends_saved: if is_responsive {
            worker.ends_to_delete()
        } else {
            0
        },
        ends_recorded: if is_responsive {
            worker.ends_recorded
        } else {
            0
        },
        wait,
        token: worker.token(token_base),
    }
}
