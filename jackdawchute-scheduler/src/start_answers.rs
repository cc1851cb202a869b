//! The handling of answers to orders to start, and of their absence.

use std::time::Instant;

use jackdawchute_types::{whole_ms, RunNumber, WorkerId};
use spdlog::{info, warn};

use crate::{
    orders::ORDER_RETRY_DELAY, worker::RunPhase, Scheduler, StartAnswer, StartRefusal, TaskName,
};

impl Scheduler {
    /// Handles the answer to an order to start run `number` of a task.
    pub fn start_answered(
        &mut self,
        worker: &WorkerId,
        task: &TaskName,
        number: RunNumber,
        answer: StartAnswer,
        now: Instant,
    ) {
        self.note_clock_of_start(worker, task, number, &answer, now);
        let Some(run) = self.run_mut(worker, task).filter(|run| run.run == number) else {
            return;
        };
        run.order_under_way = false;
        let has_begun = run.seen_running && !matches!(answer, StartAnswer::Started { .. });
        if has_begun {
            self.repeated_start_failed(worker, task, answer, now);
            return;
        }
        match answer {
            StartAnswer::Started { clock } => {
                run.answered_clock = Some(clock);
                run.start_outcome_unknown = false;
                run.seen_running = true;
                let lease_until = run.start_order.as_ref().map(|order| order.lease_until);
                match run.phase {
                    RunPhase::Starting => run.phase = RunPhase::Running,
                    // The worker has listed the run before this answer arrived.
                    RunPhase::Running => {}
                    RunPhase::Stopping => self.send_stop(worker, task),
                }
                if let Some(job) = self.jobs.get_mut(&task.step.job) {
                    job.begun = true;
                }
                if let Some(worker) = self.workers.get_mut(worker) {
                    let confirmed = lease_until.unwrap_or_default();
                    worker.lease_confirmed = worker.lease_confirmed.max(confirmed);
                }
            }
            StartAnswer::Refused { reason, clock } => {
                let outcome_unknown = run.start_outcome_unknown;
                info!("start refused", kv: {
                    job = task.step.job.as_str(), step = task.step.step, task = task.index,
                    run = number, worker = worker.as_str(), reason:? = reason,
                    loose = outcome_unknown
                });
                if reason == StartRefusal::Fenced {
                    let token = run.start_order.as_ref().map_or(0, |order| order.token);
                    run.retry_at = Some(now + ORDER_RETRY_DELAY);
                    self.order_fenced(worker, token);
                    return;
                }
                // A superseded run has ended, and its end is reported, or an order of this leader
                // has prevented its start.
                let must_stop = outcome_unknown || reason == StartRefusal::Superseded;
                if must_stop && clock.is_some() {
                    run.answered_clock = clock;
                }
                if reason == StartRefusal::Ticket {
                    self.drop_ticket(&task.step, worker);
                }
                if must_stop {
                    self.stop_with_gang(worker, task);
                } else {
                    self.remove_run(worker, task, now);
                    self.stop_rest_of_gang(task);
                }
            }
            StartAnswer::NotDelivered | StartAnswer::OtherIncarnation
                if !run.start_outcome_unknown =>
            {
                info!("start not delivered to the worker", kv: {
                    job = task.step.job.as_str(), task = task.index, run = number,
                    worker = worker.as_str(), answer:? = answer
                });
                self.record_no_answer(worker, now);
                self.remove_run(worker, task, now);
                self.stop_rest_of_gang(task);
            }
            // An earlier copy of the order, which got no answer, may have begun the task.
            StartAnswer::OtherIncarnation => run.retry_at = Some(now + ORDER_RETRY_DELAY),
            StartAnswer::NotSent if !run.start_outcome_unknown => {
                info!("start not sent: the epoch is not confirmed", kv: {
                    job = task.step.job.as_str(), task = task.index, run = number,
                    worker = worker.as_str()
                });
                self.remove_run(worker, task, now);
                self.stop_rest_of_gang(task);
            }
            StartAnswer::Unknown | StartAnswer::NotDelivered | StartAnswer::NotSent => {
                if answer == StartAnswer::Unknown {
                    run.start_outcome_unknown = true;
                }
                run.retry_at = Some(now + ORDER_RETRY_DELAY);
                let ordered_at = run.known_since;
                let ordered_ms = whole_ms(now.saturating_duration_since(ordered_at));
                let order = run.start_order.as_ref();
                let token = order.map(|order| order.token);
                let has_ticket = order.is_some_and(|order| order.ticket.is_some());
                let incarnation = self.workers.get(worker).and_then(|it| it.incarnation);
                warn!("order to start got no answer", kv: {
                    job = task.step.job.as_str(), step = task.step.step, task = task.index,
                    run = number, worker = worker.as_str(), ordered_ms = ordered_ms,
                    token:? = token, has_ticket = has_ticket,
                    born_unix_ms:? = incarnation.map(|it| it.started_unix_ms)
                });
                match answer {
                    StartAnswer::Unknown => self.add_late_start(worker, task, ordered_at, now),
                    StartAnswer::NotDelivered => self.record_no_answer(worker, now),
                    _ => {}
                }
            }
        }
        self.placement_needed = true;
    }

    /// Handles the failure of a repeated order to start whose run the worker has listed meanwhile: an
    /// earlier copy of the order has begun it.
    fn repeated_start_failed(
        &mut self,
        worker: &WorkerId,
        task: &TaskName,
        answer: StartAnswer,
        now: Instant,
    ) {
        let Some(run) = self.run_mut(worker, task) else {
            return;
        };
        let token = run.start_order.as_ref().map_or(0, |order| order.token);
        let must_stop = run.phase == RunPhase::Stopping;
        let ordered_at = run.known_since;
        info!("repeated start of a running task failed", kv: {
            job = task.step.job.as_str(), step = task.step.step, task = task.index, run = run.run,
            worker = worker.as_str(), answer:? = answer
        });
        match answer {
            StartAnswer::Refused {
                reason: StartRefusal::Fenced,
                ..
            } => self.order_fenced(worker, token),
            StartAnswer::Refused {
                reason: StartRefusal::Ticket,
                ..
            } => self.drop_ticket(&task.step, worker),
            StartAnswer::NotDelivered => self.record_no_answer(worker, now),
            StartAnswer::Unknown => self.add_late_start(worker, task, ordered_at, now),
            _ => {}
        }
        if must_stop {
            self.send_stop(worker, task);
        }
        self.placement_needed = true;
    }

    /// Compares the clock in the answer to an order to start with that of the known incarnation.
    ///
    /// A worker that restarts while no renewal is under way takes the next start in its new
    /// incarnation, and the next renewal must not mark the former one's run ends as saved.
    fn note_clock_of_start(
        &mut self,
        id: &WorkerId,
        task: &TaskName,
        number: RunNumber,
        answer: &StartAnswer,
        now: Instant,
    ) {
        let clock = match answer {
            StartAnswer::Started { clock } => Some(*clock),
            StartAnswer::Refused { clock, .. } => *clock,
            _ => None,
        };
        let (Some(worker), Some(clock)) = (self.workers.get_mut(id), clock) else {
            return;
        };
        let run = worker.runs.get(task).filter(|run| run.run == number);
        let ordered_at = run.map(|run| run.known_since);
        if let Some(ordered_at) = ordered_at.filter(|at| worker.shows_restart(*at, clock)) {
            warn!("worker has restarted, as the clock in its answer shows", kv: {
                worker = id.as_str(), runs = worker.runs.len()
            });
            worker.note_restart(now);
            // The run has begun in an incarnation whose runs are not listed yet.
            self.add_late_start(id, task, ordered_at, now);
        }
    }
}
