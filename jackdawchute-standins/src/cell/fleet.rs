//! The state of all in-memory workers, and what orders change in it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_cell::{Error, Result};
use jackdawchute_scheduler::{
    EndReason, EndedRun, RenewAnswer, RenewOrder, RunningTask, StartAnswer, StartOrder,
    StartRefusal, StepName, StopOrder, TaskName,
};
use jackdawchute_types::{FencingToken, JobId, WorkerId};

use super::{
    late_orders::{LateOrders, Order},
    start_ages::StartAges,
    worker::{Ended, Running, Worker},
    Overload, WorkerRecord,
};

/// The most run ends in an answer, as the users' platform states it.
const ENDS_PER_ANSWER: usize = 500;
/// The longest lease that a worker takes, unless a test sets another.
const HOLD_MAX: Duration = Duration::from_secs(10);

/// The state of all workers. Each change has the time at which it was due, so that it does not
/// matter when it is made.
#[derive(Debug)]
pub(super) struct Fleet {
    /// How long the runs take that begin from now on.
    pub(super) task_time: Duration,
    /// How long a run takes to end after an order to stop.
    pub(super) stop_time: Duration,
    pub(super) hold_max: Duration,
    pub(super) workers: BTreeMap<WorkerId, Worker>,
    /// What the clocks of the next incarnations show at their start.
    pub(super) start_ages: StartAges,
    pub(super) records: Vec<WorkerRecord>,
    pub(super) overloads: Vec<Overload>,
    pub(super) late_orders: LateOrders,
    /// The processor that each task of a job's steps uses.
    pub(super) step_millicores: BTreeMap<JobId, Vec<u64>>,
}

impl Fleet {
    pub(super) fn new(
        workers: BTreeMap<WorkerId, Worker>,
        start_ages: StartAges,
        task_time: Duration,
    ) -> Self {
        Self {
            task_time,
            stop_time: Duration::ZERO,
            hold_max: HOLD_MAX,
            workers,
            start_ages,
            records: Vec::new(),
            overloads: Vec::new(),
            late_orders: LateOrders::default(),
            step_millicores: BTreeMap::new(),
        }
    }

    /// Makes all changes that are due by `now`: late orders, and the ends of runs whose task time
    /// or stop time has passed or whose worker lease has lapsed.
    pub(super) fn advance(&mut self, now: Instant) {
        while let Some(late) = self.late_orders.take_due(now) {
            let due_at = late.due_at;
            self.end_due_runs(due_at);
            match late.order {
                Order::Start(order) => {
                    self.start(&order, due_at, true);
                }
                Order::Stop(order) => {
                    // Nobody waits for the answer.
                    let _ = self.stop(&order, due_at);
                }
                Order::Renewal(mut order) => {
                    // The lease counts from now.
                    order.lease_until = order.lease_until.map(|until| until + late.delay);
                    self.renew(&order, due_at);
                }
            }
        }
        self.end_due_runs(now);
    }

    fn end_due_runs(&mut self, now: Instant) {
        let mut ends = Vec::new();
        for (id, worker) in &self.workers {
            let lapses_at = worker.lapses_at();
            for (task, running) in &worker.running {
                let (at, reason) = running.end(lapses_at);
                if at <= now {
                    ends.push((at, id.clone(), task.clone(), reason));
                }
            }
        }
        ends.sort_by_key(|end| end.0);
        for (at, worker, task, reason) in ends {
            self.end(&worker, &task, reason, at);
        }
        for worker in self.workers.values_mut() {
            if now >= worker.lapses_at() {
                worker.ended.iter_mut().for_each(|it| it.lapsed = true);
            }
        }
    }

    fn end(&mut self, id: &WorkerId, task: &TaskName, reason: EndReason, at: Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(running) = worker.running.remove(task) else {
            return;
        };
        worker.ends_count += 1;
        let end = EndedRun {
            number: worker.ends_count,
            task: task.clone(),
            run: running.run,
            reason,
            checkpoint: "".into(),
        };
        worker.refuse_up_to(task, running.run);
        worker.ended.push(Ended {
            end,
            record: running.record,
            lapsed: false,
        });
        let record = &mut self.records[running.record];
        record.ended_at = Some(at);
        record.reason = Some(reason);
    }

    /// Replaces a worker by its next incarnation, without any state of this one.
    pub(super) fn restart(&mut self, id: &WorkerId, millicores: Option<u64>, now: Instant) {
        self.advance(now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        for running in worker.running.values() {
            self.records[running.record].ended_at = Some(now);
        }
        let capacity = millicores.unwrap_or(worker.capacity_millicores);
        let age = self.start_ages.next(worker.clock(now));
        *worker = worker.next_incarnation(capacity, age, now);
    }

    /// Returns the worker if it accepts the fencing token, which becomes its highest.
    fn accepting_worker(&mut self, id: &WorkerId, token: FencingToken) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(id)?;
        if token < worker.token {
            return None;
        }
        worker.token = token;
        Some(worker)
    }

    /// Returns the processor that a task uses; 0 if no test has registered its job.
    fn millicores(&self, step: &StepName) -> u64 {
        let steps = self.step_millicores.get(&step.job);
        let millicores = steps.and_then(|steps| steps.get(step.step as usize));
        millicores.copied().unwrap_or_default()
    }

    /// Carries out an order to start, `late` or as it arrives.
    pub(super) fn start(&mut self, order: &StartOrder, now: Instant, late: bool) -> StartAnswer {
        let (record, task_time) = (self.records.len(), self.task_time);
        let (hold_max, millicores) = (self.hold_max, self.millicores(&order.task.step));
        let Some(worker) = self.accepting_worker(&order.worker, order.token) else {
            return StartAnswer::Refused {
                reason: StartRefusal::Fenced,
                clock: None,
            };
        };
        let clock = worker.clock(now);
        if let Some(reason) = worker.refusal(order, now) {
            if reason == StartRefusal::Superseded {
                worker.extend_lease(order.lease_until, hold_max, now);
            }
            let clock = Some(clock);
            return StartAnswer::Refused { reason, clock };
        }
        worker.extend_lease(order.lease_until, hold_max, now);
        let running = worker.running.get(&order.task);
        if running.is_some_and(|running| running.run == order.run) {
            return StartAnswer::Started { clock };
        }
        let running = Running {
            run: order.run,
            began_at: now,
            task_time,
            stops_at: None,
            millicores,
            record,
        };
        worker.running.insert(order.task.clone(), running);
        let (used, capacity) = (worker.used_millicores(), worker.capacity_millicores);
        if used > capacity {
            self.overloads.push(Overload {
                worker: order.worker.clone(),
                task: order.task.clone(),
                began_at: now,
                used_millicores: used,
                capacity_millicores: capacity,
                late,
            });
        }
        self.records.push(WorkerRecord {
            worker: order.worker.clone(),
            task: order.task.clone(),
            run: order.run,
            began_at: now,
            ended_at: None,
            reason: None,
            saved: false,
            late,
        });
        StartAnswer::Started { clock }
    }

    /// Carries out an order to stop, and returns the worker's clock.
    pub(super) fn stop(&mut self, order: &StopOrder, now: Instant) -> Result<Duration> {
        let stops_at = now + self.stop_time;
        let Some(worker) = self.accepting_worker(&order.worker, order.token) else {
            return Err(Error::Fenced("stop", order.worker.to_string()));
        };
        let clock = worker.clock(now);
        worker.refuse_up_to(&order.task, order.run);
        let running = worker.running.get_mut(&order.task);
        if let Some(running) = running.filter(|running| running.run <= order.run) {
            running.stops_at.get_or_insert(stops_at);
        }
        self.end_due_runs(now);
        Ok(clock)
    }

    /// Applies a renewal's lease and acknowledged ends, and answers it; `None` if its token is
    /// refused.
    pub(super) fn renew(&mut self, order: &RenewOrder, now: Instant) -> Option<RenewAnswer> {
        let hold_max = self.hold_max;
        let worker = self.accepting_worker(&order.worker, order.token)?;
        if let Some(until) = order.lease_until {
            worker.extend_lease(until, hold_max, now);
        }
        let all = std::mem::take(&mut worker.ended).into_iter();
        let (saved, ended): (Vec<_>, Vec<_>) =
            all.partition(|it| it.end.number <= order.ends_saved);
        worker.ended = ended;
        let running = worker.running.iter().map(|(task, running)| RunningTask {
            task: task.clone(),
            run: running.run,
            checkpoint: "".into(),
            percent: running.percent(now),
        });
        let answer = RenewAnswer {
            started_unix_ms: worker.started_unix_ms,
            clock: worker.clock(now),
            running: running.collect(),
            ended: worker
                .ended
                .iter()
                .take(ENDS_PER_ANSWER)
                .map(|it| it.end.clone())
                .collect(),
            ends_left_out: 0,
            ended_complete: worker.ended.len() < ENDS_PER_ANSWER,
        };
        for it in saved.iter().filter(|it| !it.lapsed) {
            self.records[it.record].saved = true;
        }
        Some(answer)
    }
}
