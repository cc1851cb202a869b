//! Reports of workers: their effect on open attempts, charges and leases.

use std::{collections::HashMap, time::Instant};

use jackdawchute_ports::{TaskEnd, TaskReport, WorkerReport};
use jackdawchute_types::{Resources, TaskId, WorkerId};
use smol_str::format_smolstr;

use crate::{
    effect::{Effect, WorkerCall},
    rack::state::{charge_key, IntentPhase, RackGroups},
    AttemptEnd, NotStartedReason, TaskAttempt,
};

impl RackGroups {
    /// Applies a worker's report, or `None` if the call for it failed, and renews the leases of the
    /// tasks that run.
    pub fn reported(
        &mut self,
        worker: &WorkerId,
        report: Option<WorkerReport>,
        now: Instant,
    ) -> Vec<Effect> {
        if !self.record_report(worker, report.as_ref(), now) {
            self.refresh_worker(worker, now);
            return Vec::new();
        }
        let report = report.unwrap_or_default();
        let mut effects = self.stop_starts_of_earlier_boot(worker, &report);
        effects.extend(self.apply_task_reports(worker, &report.tasks, now));
        self.end_unreported(worker, &report, now);
        self.charge_unknown(worker, &report.tasks);
        self.refresh_worker(worker, now);
        effects.extend(self.renew(worker, now));
        effects
    }

    /// Records the arrival of a report and schedules the next one. Returns whether the report is to
    /// be applied: one that is older than the last applied one is not.
    fn record_report(
        &mut self,
        worker: &WorkerId,
        report: Option<&WorkerReport>,
        now: Instant,
    ) -> bool {
        let busy = !self.open_attempts_on(worker).is_empty();
        let period = self.settings.report_period_for(busy);
        let Some(state) = self.workers.get_mut(worker) else {
            return false;
        };
        state.report_requested_at = None;
        state.next_report_due = Some(now + period);
        state.responsive = report.is_some();
        let Some(report) = report else { return false };
        if state.reported_at.is_some() && state.boot == report.boot && report.clock < state.clock {
            return false;
        }
        state.reported_at = Some(now);
        state.clock = report.clock;
        true
    }

    /// Stops the attempts that were sent to an earlier incarnation of a worker that restarted. The
    /// restart ended their tasks, but a delayed start may still arrive with a lease by the old
    /// clock, so the worker is asked to refuse it.
    fn stop_starts_of_earlier_boot(
        &mut self,
        worker: &WorkerId,
        report: &WorkerReport,
    ) -> Vec<Effect> {
        let Some(state) = self.workers.get_mut(worker) else {
            return Vec::new();
        };
        state.boot = report.boot.clone();
        let mut effects = Vec::new();
        for id in self.open_attempts_on(worker) {
            let Some(intent) = self.intents.get_mut(&id) else {
                continue;
            };
            if intent.record.boot == report.boot || intent.phase == IntentPhase::Journaling {
                continue;
            }
            intent.phase = IntentPhase::Stopping(true);
            effects.push(stop_call(worker, &id));
        }
        effects
    }

    fn apply_task_reports(
        &mut self,
        worker: &WorkerId,
        tasks: &[TaskReport],
        now: Instant,
    ) -> Vec<Effect> {
        tasks
            .iter()
            .filter_map(|task| self.apply_task_report(worker, task, now))
            .collect()
    }

    /// Applies the reported state of one task. Returns a stop call if the task still runs but is to
    /// be stopped.
    fn apply_task_report(
        &mut self,
        worker: &WorkerId,
        task: &TaskReport,
        now: Instant,
    ) -> Option<Effect> {
        let id = attempt_of(task);
        let intent = self.intents.get_mut(&id)?;
        if intent.record.worker != *worker {
            return None;
        }
        match (intent.phase, task.end) {
            (IntentPhase::Ended(_) | IntentPhase::Journaling, _) => None,
            (_, Some(end)) => {
                self.end_attempt(&id, attempt_end(end), now);
                None
            }
            (IntentPhase::Stopping(_), None) => Some(stop_call(worker, &id)),
            (phase, None) => {
                let amount = intent.record.resources.max(&task.used);
                intent.phase = IntentPhase::Running;
                self.fleet.charge(worker, &charge_key(&id), amount);
                if phase == IntentPhase::Sent {
                    self.unacknowledged.insert(id, None);
                }
                None
            }
        }
    }

    /// Ends the attempts that a worker does not report, once its clock has passed their leases. By
    /// then they are over: the worker would refuse the start, and a renewal extends only what runs.
    fn end_unreported(&mut self, worker: &WorkerId, report: &WorkerReport, now: Instant) {
        for id in self.open_attempts_on(worker) {
            if report.tasks.iter().any(|task| attempt_of(task) == id) {
                continue;
            }
            let Some(intent) = self.intents.get(&id) else {
                continue;
            };
            if report.boot != intent.record.boot || report.clock <= intent.lease_until {
                continue;
            }
            match intent.phase {
                IntentPhase::Sent => {
                    let end = AttemptEnd::NotStarted(NotStartedReason::NotDelivered);
                    self.end_attempt(&id, end, now);
                }
                IntentPhase::Running => self.end_attempt(&id, AttemptEnd::Lost, now),
                IntentPhase::Stopping(_) => self.end_attempt(&id, AttemptEnd::Stopped, now),
                IntentPhase::Journaling | IntentPhase::Ended(_) => {}
            }
        }
    }

    /// Charges reported tasks that have no open intent, so that the worker is not overfilled.
    fn charge_unknown(&mut self, worker: &WorkerId, tasks: &[TaskReport]) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let running = tasks.iter().filter(|task| task.end.is_none());
        let unknown: HashMap<TaskAttempt, Resources> = running
            .map(|task| (attempt_of(task), task.used))
            .filter(|(id, _)| !is_open(&self.intents, id))
            .collect();
        let previous = std::mem::take(&mut state.unknown_attempts);
        state.unknown_attempts = unknown.keys().cloned().collect();
        for id in previous {
            self.fleet.release(&unknown_key(&id));
        }
        for (id, used) in unknown {
            self.fleet.charge(worker, &unknown_key(&id), used);
        }
    }
}

/// Returns whether an attempt has an intent and has not ended.
fn is_open(intents: &HashMap<TaskAttempt, crate::rack::Intent>, id: &TaskAttempt) -> bool {
    let phase = intents.get(id).map(|intent| intent.phase);
    phase.is_some_and(|phase| !matches!(phase, IntentPhase::Ended(_)))
}

/// Returns the key under which the fleet holds the charge of a task without an intent.
fn unknown_key(id: &TaskAttempt) -> TaskId {
    format_smolstr!("{}#{}#unknown", id.task, id.attempt)
}

/// Returns the call that asks a worker to stop an attempt.
pub(crate) fn stop_call(worker: &WorkerId, id: &TaskAttempt) -> Effect {
    Effect::Worker {
        worker: worker.clone(),
        call: WorkerCall::Stop(id.clone()),
    }
}

fn attempt_of(task: &TaskReport) -> TaskAttempt {
    TaskAttempt {
        task: task.task.clone(),
        attempt: task.attempt,
    }
}

fn attempt_end(end: TaskEnd) -> AttemptEnd {
    match end {
        TaskEnd::Succeeded => AttemptEnd::Succeeded,
        TaskEnd::Failed => AttemptEnd::Failed,
        TaskEnd::Stopped => AttemptEnd::Stopped,
        TaskEnd::LeaseLapsed => AttemptEnd::Lost,
    }
}
