//! Starts without an answer that may begin a run in a later incarnation of their worker.
//!
//! A ticket binds a start to an incarnation. Without one, an order to a worker that restarts is
//! carried out by the new incarnation too, until a leader has raised the token there.

use std::time::Instant;

use jackdawchute_types::WorkerId;

use crate::{Scheduler, TaskName};

impl Scheduler {
    /// Records that the order to start a run got no answer, unless it has a ticket.
    pub(crate) fn record_late_start(&mut self, worker: &WorkerId, task: &TaskName, now: Instant) {
        let run = self
            .workers
            .get(worker)
            .and_then(|worker| worker.runs.get(task));
        let order = run.and_then(|run| run.start_order.as_ref());
        if order.is_some_and(|order| order.ticket.is_none()) {
            let until = now + self.settings.late_order_max;
            self.extend_late_start(worker, task, until);
        }
    }

    /// Records that an order may begin a run, or has begun it in an unknown incarnation, until then.
    pub(crate) fn extend_late_start(&mut self, worker: &WorkerId, task: &TaskName, until: Instant) {
        let target = self.workers.get_mut(worker);
        if let Some(run) = target.and_then(|target| target.runs.get_mut(task)) {
            run.late_start_until = run.late_start_until.max(Some(until));
        }
    }
}
