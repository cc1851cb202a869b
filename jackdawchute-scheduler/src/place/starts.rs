//! Orders the start of placed tasks.

use std::time::Instant;

use jackdawchute_types::{Ticket, WorkerId};
use spdlog::info;

use crate::{
    job::Advice,
    worker::{Run, RunPhase},
    Effect, Scheduler, StartOrder, StepName, StepSpec,
};

impl Scheduler {
    /// Orders the start of a unit's tasks, each on its worker.
    pub(super) fn start_unit(
        &mut self,
        name: &StepName,
        spec: &StepSpec,
        unit: usize,
        assignments: &[(u32, WorkerId, Option<Ticket>)],
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let (queue, declared) = (job.queue.queue.clone(), spec.estimate);
        let payload = job.graph.payload.clone();
        let earlier_runs_max = job.earlier_runs_max;
        let Some(step) = job.step_mut(name) else {
            return;
        };
        let with_ticket = assignments.iter().filter(|(_, _, ticket)| ticket.is_some());
        for (_, worker, _) in with_ticket {
            let advice = step.advice.get_mut(worker);
            let is_first_use = advice.is_some_and(Advice::mark_used);
            self.advice_counts.tickets_used += usize::from(is_first_use);
        }
        let Some(unit) = step.units.get_mut(unit) else {
            return;
        };
        // Failures are counted by the numbers of their runs, and an earlier leader may have used and
        // not saved those up to this one.
        unit.last_run = unit.last_run.max(earlier_runs_max);
        let placed = assignments.iter();
        unit.begin_run(placed.map(|(index, worker, _)| (*index, worker.clone())));
        let (run, checkpoint) = (unit.last_run, unit.checkpoint.clone());
        let expected = self.run_times.expected(&queue, declared);
        let slowdowns = self.slowdowns(spec, assignments, now);
        for ((index, worker, ticket), slowdown) in assignments.iter().zip(slowdowns) {
            let Some(worker) = self.workers.get_mut(worker) else {
                continue;
            };
            let Some(lease_until) = worker.lease_until(self.settings.lease, now) else {
                continue;
            };
            let order = StartOrder {
                worker: worker.id().clone(),
                address: worker.entry.address,
                task: name.task(*index),
                run,
                payload: payload.clone(),
                checkpoint: checkpoint.clone(),
                ticket: ticket.clone(),
                lease_until,
                token: worker.token(self.token_base),
            };
            info!("task placed", kv: {
                job = name.job.as_str(), step = name.step, task = *index, run = run,
                worker = worker.id().as_str(), resumed = !checkpoint.is_empty(),
                expected_ms = expected.mul_f64(slowdown).as_millis() as u64,
                slowdown_percent = (slowdown * 100.0) as u64
            });
            worker.lease_sent = worker.lease_sent.max(order.lease_until);
            let new_run = Run {
                run,
                charged: Some(spec.charged_resources()),
                phase: RunPhase::Starting,
                start_outcome_unknown: false,
                seen_running: false,
                answered_clock: None,
                known_since: now,
                expected_end: spec
                    .ends_by_itself()
                    .then(|| now + expected.mul_f64(slowdown)),
                slowdown,
                order_under_way: true,
                stop_sent: false,
                retry_at: None,
                start_order: Some(Box::new(order.clone())),
                progress: None,
            };
            if worker.is_idle() {
                // The next renewal of an idle worker may be due much later.
                worker.renewal_next_at = now;
            }
            worker.runs.insert(order.task.clone(), new_run);
            self.effects.push(Effect::Start(order));
        }
    }
}
