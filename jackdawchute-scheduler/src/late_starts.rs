//! Starts without an answer that may begin a task in a later incarnation of their worker.
//!
//! An order to a worker that restarts is carried out by the new incarnation too, until a leader has
//! raised the token there. A ticket binds a start to the incarnation that the advisor knew, which may
//! be one that the leader has not heard. So the task starts nowhere else while the worker is silent
//! and the order may be carried out: as long as orders may be late, or its ticket is valid and the
//! platform lists an incarnation that was not heard. The progress rows name such starts, so that a
//! successor waits for their tasks alone.

use std::{collections::BTreeMap, time::Instant};

use jackdawchute_types::{whole_ms, WorkerId};
use spdlog::info;

use crate::{
    job::JobPhase,
    worker::{Worker, CLOCK_RATE_MIN},
    AdviceCost, Scheduler, Settings, TaskName,
};

/// A start without an answer that may begin a task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateStart {
    /// When it was known to have no answer, or when the epoch began if an earlier leader sent it.
    since: Instant,
    /// Until when its ticket may be valid; `None` without a ticket.
    ticket_until: Option<Instant>,
    /// Whether its worker answers and refuses it, so that only a later incarnation may carry it out.
    refused: bool,
}

/// What is known of a start without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outlook {
    /// It may begin its task at any time, so that the task starts nowhere else.
    MayBegin,
    /// Its worker answers and refuses it; a later incarnation may carry it out.
    Refused,
    /// It can't be carried out any more, and nothing that it may have begun goes on unknown.
    Over,
}

impl LateStart {
    /// Returns a start that was first sent at `sent_at` and is known to have no answer since `since`,
    /// for a queue with this advice.
    pub(crate) fn new(advice: Option<AdviceCost>, sent_at: Instant, since: Instant) -> Self {
        let ticket_until = advice.map(|advice| sent_at + advice.valid.div_f64(CLOCK_RATE_MIN));
        Self {
            since,
            ticket_until,
            refused: false,
        }
    }

    /// Returns until when a worker may carry out the order.
    fn until(&self, settings: &Settings) -> Instant {
        let until = self.since + settings.late_order_max;
        self.ticket_until.unwrap_or(until).min(until)
    }
}

/// The starts without an answer that may begin tasks, by worker.
#[derive(Debug, Default)]
pub(crate) struct LateStarts {
    by_worker: BTreeMap<WorkerId, BTreeMap<TaskName, LateStart>>,
}

impl LateStarts {
    pub(crate) fn insert(&mut self, worker: &WorkerId, task: TaskName, start: LateStart) {
        let tasks = self.by_worker.entry(worker.clone()).or_default();
        tasks.insert(task, start);
    }

    /// Returns whether a start may be under way to the worker.
    pub(crate) fn name_worker(&self, worker: &WorkerId) -> bool {
        self.by_worker.contains_key(worker)
    }

    /// Returns the tasks that may begin at any time, each with the worker that its start was sent to.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = (&WorkerId, &TaskName)> {
        let starts = self.by_worker.iter().flat_map(|(worker, tasks)| {
            let of_worker = tasks.iter();
            of_worker.map(move |(task, start)| (worker, task, start))
        });
        let may_begin = starts.filter(|(_, _, start)| !start.refused);
        may_begin.map(|(worker, task, _)| (worker, task))
    }
}

impl Scheduler {
    /// Records that an order that was first sent at `sent_at`, and last by now, may begin a task, in any
    /// incarnation of its worker.
    pub(crate) fn add_late_start(
        &mut self,
        worker: &WorkerId,
        task: &TaskName,
        sent_at: Instant,
        now: Instant,
    ) {
        let job = self.jobs.get_mut(&task.step.job);
        let advice = job.as_ref().and_then(|job| job.queue.advice);
        let start = LateStart::new(advice, sent_at, now);
        self.late_starts.insert(worker, task.clone(), start);
        let unit = job.and_then(|job| job.unit_mut(&task.step, task.index));
        if unit.is_some_and(|unit| unit.add_late_start(task.index, worker)) {
            self.save_progress_of(task);
        }
    }

    /// Drops the starts that can't be carried out any more, once what they may have begun is known or
    /// has lapsed, and notes which of the others their workers refuse.
    pub(crate) fn update_late_starts(&mut self, now: Instant) {
        let mut changed = Vec::new();
        for (id, tasks) in &self.late_starts.by_worker {
            // Each of them may extend the lease of what the others have begun.
            let all_until = tasks.values().map(|start| self.orders_until(id, start));
            let orders_until = all_until.max().unwrap_or(now);
            for (task, start) in tasks {
                let outlook = self.outlook(id, task, start, orders_until);
                let known = if start.refused {
                    Outlook::Refused
                } else {
                    Outlook::MayBegin
                };
                if outlook != known {
                    changed.push((id.clone(), task.clone(), outlook));
                }
            }
        }
        for (worker, task, outlook) in changed {
            if outlook == Outlook::Over {
                self.remove_late_start(&worker, &task, now);
            } else {
                self.set_late_start_refused(&worker, &task, outlook == Outlook::Refused, now);
            }
        }
    }

    /// Returns what is known of a start, where orders may extend the lease of its worker until
    /// `orders_until`.
    fn outlook(
        &self,
        worker: &WorkerId,
        task: &TaskName,
        start: &LateStart,
        orders_until: Instant,
    ) -> Outlook {
        let worker = self.workers.get(worker);
        if let Some((worker, listed_at)) = worker.and_then(|it| Some((it, it.listed_runs_at()?))) {
            if listed_at >= start.until(&self.settings) {
                return Outlook::Over;
            }
            // A later run of the task may be there once the start was refused.
            let is_gone = start.refused || !worker.runs.contains_key(task);
            if worker.is_responsive() && is_gone && listed_at >= start.since {
                // A ticket is refused by any later incarnation.
                let is_over = start.ticket_until.is_some() || !self.may_start_again(task);
                return if is_over {
                    Outlook::Over
                } else {
                    Outlook::Refused
                };
            }
        }
        let view = self.lapse_view();
        // A ticket for an incarnation that was not heard is for one that the platform has listed.
        let ends_with_lease =
            |worker: &Worker| !worker.may_have_restarted_unheard() && worker.lease_lapsed(view);
        let is_over = (start.ticket_until.is_some() && worker.is_some_and(ends_with_lease))
            || view.as_of > orders_until + view.hold_time;
        if is_over {
            Outlook::Over
        } else {
            Outlook::MayBegin
        }
    }

    fn may_start_again(&self, task: &TaskName) -> bool {
        let job = self.jobs.get(&task.step.job);
        let live = job.filter(|job| job.phase == JobPhase::Live);
        let unit = live.and_then(|job| job.unit(&task.step, task.index));
        unit.is_some_and(|unit| !unit.done)
    }

    /// Returns until when a silent worker may carry out a start, or another order that extends the
    /// lease of what that has begun.
    fn orders_until(&self, worker: &WorkerId, start: &LateStart) -> Instant {
        let worker = self.workers.get(worker);
        // Renewals that were under way when the worker fell silent may extend the lease of a run, as
        // may those of an earlier leader.
        let silent_since = worker.and_then(|worker| worker.unanswered_since);
        let sent_until = silent_since.map_or(start.since, |at| at.max(start.since));
        let may_extend = worker.is_some_and(|it| it.extensions.may_be_carried_out());
        let orders_until = match start.ticket_until {
            Some(_) if !may_extend => start.until(&self.settings),
            _ => sent_until + self.settings.late_order_max,
        };
        orders_until.max(self.authority.earlier_until)
    }

    /// Records whether the worker of a start refuses it from now on.
    fn set_late_start_refused(
        &mut self,
        worker: &WorkerId,
        task: &TaskName,
        refused: bool,
        now: Instant,
    ) {
        let starts = self.late_starts.by_worker.get_mut(worker);
        if let Some(start) = starts.and_then(|tasks| tasks.get_mut(task)) {
            start.refused = refused;
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let waited_ms = whole_ms(job.waited(now));
        let Some(unit) = job.unit_mut(&task.step, task.index) else {
            return;
        };
        unit.set_late_start_refused(task.index, worker, refused);
        if !unit.placed.is_empty() {
            return;
        }
        info!("start without an answer", kv: {
            job = task.step.job.as_str(), step = task.step.step, task = task.index,
            worker = worker.as_str(), refused = refused, waited_ms = waited_ms
        });
        if refused {
            self.make_placeable(&task.step.job, now);
        }
    }

    fn remove_late_start(&mut self, worker: &WorkerId, task: &TaskName, now: Instant) {
        if let Some(tasks) = self.late_starts.by_worker.get_mut(worker) {
            tasks.remove(task);
            if tasks.is_empty() {
                self.late_starts.by_worker.remove(worker);
            }
        }
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
