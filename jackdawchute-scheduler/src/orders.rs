//! Orders to workers and what their answers mean.

use std::time::{Duration, Instant};

use jackdawchute_types::{RunNumber, WorkerId};
use spdlog::{info, warn};

use crate::{
    worker::{Run, RunPhase, Worker},
    Effect, RenewOrder, Scheduler, StartAnswer, StartRefusal, StopOrder, TaskName,
};

/// How long to wait before an order that got no answer is sent again.
const ORDER_RETRY: Duration = Duration::from_millis(150);
/// How long to wait before the next look at a worker that did not answer.
const RENEWAL_RETRY: Duration = Duration::from_millis(250);
/// How long a start without an answer is repeated before it is given up and barred.
const START_PATIENCE: Duration = Duration::from_millis(2_000);
/// The pause between two looks, so that several ends share one.
const RENEWAL_PAUSE: Duration = Duration::from_millis(15);
/// The most looks under way at workers that have not told what they run, or do not answer: an
/// instance with a quarter of a core opens so many connections within a third of an answer's time.
const FIRST_RENEWALS_MAX: usize = 400;
/// So many workers are looked at all the time, whether anything runs there or not; their looks take
/// a tenth of a core of an instance.
const WATCHED_WORKERS: usize = 500;
/// The pause between two looks at a worker that runs nothing, for each worker above that: looks at
/// idle workers then take no more than twice as much in a fleet of any size.
const IDLE_PAUSE_PER_WORKER: Duration = Duration::from_millis(4);

impl Scheduler {
    /// Takes the answer to an order to start.
    pub fn start_answered(
        &mut self,
        worker: &WorkerId,
        task: &TaskName,
        number: RunNumber,
        answer: StartAnswer,
        now: Instant,
    ) {
        let Some(run) = self.run_mut(worker, task).filter(|run| run.run == number) else {
            return;
        };
        run.order_under_way = false;
        match answer {
            StartAnswer::Started { clock } => {
                run.settled_clock = Some(clock);
                run.loose = false;
                run.seen_running = true;
                if run.phase == RunPhase::Starting {
                    run.phase = RunPhase::Running;
                } else {
                    self.send_stop(worker, task);
                }
            }
            StartAnswer::Refused { reason, clock } => {
                let loose = run.loose;
                info!("start refused", kv: {
                    job = task.step.job.as_str(), step = task.step.step, task = task.index,
                    run = number, worker = worker.as_str(), reason:? = reason, loose = loose
                });
                if reason == StartRefusal::Fenced {
                    self.effects.push(Effect::Fenced {
                        worker: worker.clone(),
                    });
                    return;
                }
                // `Superseded`: its end is listed, or it was barred by an order of ours.
                let to_bar = loose || reason == StartRefusal::Superseded;
                if to_bar && clock.is_some() {
                    run.settled_clock = clock;
                }
                if reason == StartRefusal::Ticket {
                    self.drop_ticket(&task.step, worker);
                }
                if to_bar {
                    self.bar(worker, task);
                } else {
                    self.remove_run(worker, task, now);
                    self.stop_rest_of_gang(task);
                }
            }
            StartAnswer::OtherIncarnation => {
                // The next look tells which life it is; what the old one ran is gone.
                run.retry_at = Some(now + ORDER_RETRY);
            }
            StartAnswer::NotDelivered if !run.loose => {
                info!("worker did not accept the connection", kv: {
                    job = task.step.job.as_str(), task = task.index, run = number,
                    worker = worker.as_str()
                });
                self.note_silence(worker, now);
                self.remove_run(worker, task, now);
                self.stop_rest_of_gang(task);
            }
            StartAnswer::Unknown | StartAnswer::NotDelivered => {
                if answer == StartAnswer::Unknown {
                    run.loose = true;
                }
                warn!("start without an answer", kv: {
                    job = task.step.job.as_str(), task = task.index, run = number,
                    worker = worker.as_str()
                });
                run.retry_at = Some(now + ORDER_RETRY);
            }
        }
        self.place_needed = true;
    }

    /// Takes the answer to an order to stop; `None` if there was none.
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
                run.loose = false;
                run.settled_clock = Some(clock);
                run.retry_at = None;
                self.renew_soon(worker, now);
            }
            None => run.retry_at = Some(now + ORDER_RETRY),
        }
    }

    fn run_mut(&mut self, worker: &WorkerId, task: &TaskName) -> Option<&mut Run> {
        self.workers.get_mut(worker)?.runs.get_mut(task)
    }

    fn stop_run(&mut self, worker: &WorkerId, task: &TaskName) {
        if let Some(run) = self.run_mut(worker, task) {
            run.phase = RunPhase::Stopping;
            self.send_stop(worker, task);
        }
    }

    /// Makes sure that a run never starts, or ends, at its worker.
    pub(crate) fn bar(&mut self, worker: &WorkerId, task: &TaskName) {
        self.stop_run(worker, task);
        self.stop_rest_of_gang(task);
    }

    /// Stops the members of a gang of which one will not run, before they wait in vain.
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
        info!("gang stopped for want of a member", kv: {
            job = task.step.job.as_str(), step = task.step.step, task = task.index
        });
        for (index, worker) in unit.placed.clone() {
            let member = task.step.task(index);
            self.stop_run(&worker, &member);
        }
    }

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
        run.retry_at = None;
        self.effects.push(Effect::Stop(StopOrder {
            worker: worker.clone(),
            address,
            task: task.clone(),
            run: run.run,
            token,
        }));
    }

    /// Sends again what got no answer.
    pub(crate) fn retry_orders(&mut self, now: Instant) {
        let mut stops = Vec::new();
        let base = self.token_base;
        let lease = self.settings.lease;
        for worker in self.workers.values_mut() {
            let Some(clock) = worker.clock_latest(now).filter(|_| worker.fenced) else {
                continue;
            };
            let token = worker.token(base);
            for (task, run) in &mut worker.runs {
                if run.order_under_way || run.retry_at.is_none_or(|at| at > now) {
                    continue;
                }
                let patient = now.saturating_duration_since(run.since) < START_PATIENCE;
                match (&run.phase, &run.start) {
                    (RunPhase::Starting, Some(start)) if patient && worker.listed => {
                        let mut start = start.clone();
                        start.token = token;
                        start.lease_until = clock + lease;
                        worker.lease_sent = worker.lease_sent.max(start.lease_until);
                        run.order_under_way = true;
                        run.retry_at = None;
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
            self.bar(&worker, &task);
        }
    }

    /// Asks each worker for a look whose turn it is.
    pub fn issue_due_renewals(&mut self, now: Instant) {
        let base = self.token_base;
        let Self {
            workers,
            effects,
            settings,
            ..
        } = self;
        let first = |worker: &&Worker| worker.renewal_under_way && !worker.is_known();
        let mut first_renewals = workers.values().filter(first).count();
        for worker in workers.values_mut() {
            if worker.renewal_under_way || worker.renewal_next_at > now {
                continue;
            }
            let known = worker.is_known();
            if !known {
                if first_renewals >= FIRST_RENEWALS_MAX {
                    continue;
                }
                first_renewals += 1;
            }
            let wait = if known && !worker.awaits_bar() {
                settings.renew_wait_max
            } else {
                Duration::ZERO
            };
            // A worker that does not answer gets no longer lease, so that it lapses at last.
            let lease_until = worker
                .clock_latest(now)
                .filter(|_| known)
                .map(|clock| clock + settings.lease);
            if let Some(until) = lease_until {
                worker.lease_sent = worker.lease_sent.max(until);
            }
            worker.renewal_under_way = true;
            effects.push(Effect::Renew(RenewOrder {
                worker: worker.entry.worker.clone(),
                address: worker.entry.address,
                lease_until,
                // A new life numbers its ends anew, and silence may hide that one has begun.
                ends_saved: if known { worker.ends_saved } else { 0 },
                wait,
                token: worker.token(base),
            }));
        }
    }

    /// Takes note that a look got no answer.
    pub fn renew_failed(&mut self, worker: &WorkerId, now: Instant) {
        if let Some(target) = self.workers.get_mut(worker) {
            target.renewal_under_way = false;
            target.renewal_next_at = now + RENEWAL_RETRY;
        }
        self.note_silence(worker, now);
    }

    pub(crate) fn note_silence(&mut self, worker: &WorkerId, now: Instant) {
        if let Some(target) = self.workers.get_mut(worker) {
            if target.unanswered_since.is_none() {
                warn!("worker does not answer", kv: {
                    worker = worker.as_str(), runs = target.runs.len(), listed = target.listed
                });
                target.unanswered_since = Some(now);
            }
        }
    }

    /// How long a worker that runs nothing is left alone.
    pub(crate) fn idle_pause(&self) -> Duration {
        let above = self.workers.len().saturating_sub(WATCHED_WORKERS);
        IDLE_PAUSE_PER_WORKER * u32::try_from(above).unwrap_or(u32::MAX)
    }

    /// Schedules the next look at a worker.
    pub(crate) fn renew_soon(&mut self, worker: &WorkerId, now: Instant) {
        if let Some(target) = self.workers.get_mut(worker) {
            target.renewal_next_at = target.renewal_next_at.min(now + RENEWAL_PAUSE);
        }
    }
}
