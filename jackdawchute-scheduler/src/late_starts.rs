//! Starts without an answer that may begin a task in a later incarnation of their worker.
//!
//! A ticket binds a start to an incarnation. Without one, an order to a worker that restarts is
//! carried out by the new incarnation too, until a leader has raised the token there. So the task
//! starts nowhere else while the worker is silent and the order may be carried out. The progress rows
//! name such starts, so that a successor waits for their tasks alone.

use std::{collections::BTreeMap, time::Instant};

use jackdawchute_types::{whole_ms, WorkerId};
use spdlog::info;

use crate::{authority::hold_time, Scheduler, TaskName};

/// The starts without an answer that may begin tasks, by worker.
#[derive(Debug, Default)]
pub(crate) struct LateStarts {
    /// When each was known to have no answer, or when the epoch began if an earlier leader sent it.
    by_worker: BTreeMap<WorkerId, BTreeMap<TaskName, Instant>>,
}

impl LateStarts {
    pub(crate) fn insert(&mut self, worker: &WorkerId, task: TaskName, since: Instant) {
        let tasks = self.by_worker.entry(worker.clone()).or_default();
        tasks.insert(task, since);
    }

    /// Returns the tasks that may begin, each with the worker that its start was sent to.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = (&WorkerId, &TaskName)> {
        let workers = self.by_worker.iter();
        workers.flat_map(|(worker, tasks)| tasks.keys().map(move |task| (worker, task)))
    }
}

impl Scheduler {
    /// Records that the order to start a run got no answer, unless it has a ticket.
    pub(crate) fn record_late_start(&mut self, worker: &WorkerId, task: &TaskName, now: Instant) {
        let target = self.workers.get(worker);
        let run = target.and_then(|target| target.runs.get(task));
        let order = run.and_then(|run| run.start_order.as_ref());
        if order.is_some_and(|order| order.ticket.is_none()) {
            self.add_late_start(worker, task, now);
        }
    }

    /// Records that an order that was sent by now may begin a task, in any incarnation of its worker.
    pub(crate) fn add_late_start(&mut self, worker: &WorkerId, task: &TaskName, now: Instant) {
        self.late_starts.insert(worker, task.clone(), now);
        let job = self.jobs.get_mut(&task.step.job);
        let unit = job.and_then(|job| job.unit_mut(&task.step, task.index));
        if unit.is_some_and(|unit| unit.add_late_start(task.index, worker)) {
            self.save_progress_of(task);
        }
    }

    /// Drops the starts that can't be carried out any more, once what they may have begun is known or
    /// has lapsed.
    pub(crate) fn drop_late_starts(&mut self, now: Instant) {
        let mut dropped = Vec::new();
        for (id, tasks) in &self.late_starts.by_worker {
            for (task, since) in tasks {
                if self.is_over(id, task, *since) {
                    dropped.push((id.clone(), task.clone()));
                }
            }
        }
        for (worker, task) in dropped {
            if let Some(tasks) = self.late_starts.by_worker.get_mut(&worker) {
                tasks.remove(&task);
                if tasks.is_empty() {
                    self.late_starts.by_worker.remove(&worker);
                }
            }
            self.remove_late_start(&worker, &task, now);
        }
    }

    /// Returns whether a start can't be carried out any more and nothing that it may have begun goes
    /// on unknown.
    fn is_over(&self, worker: &WorkerId, task: &TaskName, since: Instant) -> bool {
        let order_max = self.settings.late_order_max;
        let worker = self.workers.get(worker);
        if let Some((worker, listed_at)) = worker.and_then(|it| Some((it, it.listed_runs_at()?))) {
            // The incarnation that lists its runs does not begin the run any more.
            let is_gone = worker.is_responsive() && !worker.runs.contains_key(task);
            if listed_at >= since + order_max || (is_gone && listed_at >= since) {
                return true;
            }
        }
        // Renewals that were under way when the worker fell silent may extend the lease of a run, as
        // may those of an earlier leader.
        let silent_since = worker.and_then(|worker| worker.unanswered_since);
        let sent_until = silent_since.map_or(since, |at| at.max(since));
        let orders_until = (sent_until + order_max).max(self.authority.earlier_until);
        self.authority.confirmed_at > orders_until + hold_time(&self.settings)
    }

    fn remove_late_start(&mut self, worker: &WorkerId, task: &TaskName, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let waited = job.waited(now);
        let unit = job.unit_mut(&task.step, task.index);
        if !unit.is_some_and(|unit| unit.remove_late_start(task.index, worker)) {
            return;
        }
        info!("start without an answer is over", kv: {
            job = task.step.job.as_str(), step = task.step.step, task = task.index,
            worker = worker.as_str(), waited_ms = whole_ms(waited)
        });
        self.save_progress_of(task);
        self.make_placeable(&task.step.job, now);
    }
}
