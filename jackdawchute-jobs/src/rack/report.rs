//! What a worker's report says about its tasks.

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
    /// Takes in a report, or its failure, and renews what is to go on.
    pub fn reported(
        &mut self,
        worker: &WorkerId,
        report: Option<WorkerReport>,
        now: Instant,
    ) -> Vec<Effect> {
        if !self.note_answer(worker, report.as_ref(), now) {
            self.refresh_worker(worker, now);
            return Vec::new();
        }
        let report = report.unwrap_or_default();
        let mut effects = self.note_boot(worker, &report);
        effects.extend(self.note_tasks(worker, &report.tasks, now));
        self.note_missing(worker, &report, now);
        self.charge_unknown(worker, &report.tasks);
        self.refresh_worker(worker, now);
        effects.extend(self.renew(worker, now));
        effects
    }

    /// Whether there is a report to take in; sets when the next one is due.
    fn note_answer(
        &mut self,
        worker: &WorkerId,
        report: Option<&WorkerReport>,
        now: Instant,
    ) -> bool {
        let busy = !self.on_worker(worker).is_empty();
        let period = self.settings.report_period_for(busy);
        let Some(state) = self.workers.get_mut(worker) else {
            return false;
        };
        state.asked = None;
        state.due = Some(now + period);
        state.trusted = report.is_some();
        let Some(report) = report else { return false };
        if state.seen.is_some() && state.boot == report.boot && report.clock < state.clock {
            return false;
        }
        state.seen = Some(now);
        state.clock = report.clock;
        true
    }

    /// A restarted worker runs nothing of before. A start of before may still arrive, with an
    /// instant of the old clock, so the worker is told never to start it.
    fn note_boot(&mut self, worker: &WorkerId, report: &WorkerReport) -> Vec<Effect> {
        let Some(state) = self.workers.get_mut(worker) else {
            return Vec::new();
        };
        state.boot = report.boot.clone();
        let mut effects = Vec::new();
        for id in self.on_worker(worker) {
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

    fn note_tasks(&mut self, worker: &WorkerId, tasks: &[TaskReport], now: Instant) -> Vec<Effect> {
        tasks
            .iter()
            .filter_map(|task| self.note_task(worker, task, now))
            .collect()
    }

    fn note_task(&mut self, worker: &WorkerId, task: &TaskReport, now: Instant) -> Option<Effect> {
        let id = attempt_of(task);
        let intent = self.intents.get_mut(&id)?;
        if intent.record.worker != *worker {
            return None;
        }
        match (intent.phase, task.end) {
            (IntentPhase::Ended(_) | IntentPhase::Journaling, _) => None,
            (_, Some(end)) => {
                self.end(&id, attempt_end(end), now);
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

    /// What the worker does not report is surely over once its clock passed the lease: a start
    /// would be refused by then, and a renewal extends only what runs.
    fn note_missing(&mut self, worker: &WorkerId, report: &WorkerReport, now: Instant) {
        for id in self.on_worker(worker) {
            if report.tasks.iter().any(|task| attempt_of(task) == id) {
                continue;
            }
            let Some(intent) = self.intents.get(&id) else {
                continue;
            };
            if report.boot != intent.record.boot || report.clock <= intent.until {
                continue;
            }
            match intent.phase {
                IntentPhase::Sent => {
                    let end = AttemptEnd::NotStarted(NotStartedReason::NotDelivered);
                    self.end(&id, end, now);
                }
                IntentPhase::Running => self.end(&id, AttemptEnd::Lost, now),
                IntentPhase::Stopping(_) => self.end(&id, AttemptEnd::Stopped, now),
                IntentPhase::Journaling | IntentPhase::Ended(_) => {}
            }
        }
    }

    /// Charges tasks that nobody here knows, so that the worker is not overfilled.
    fn charge_unknown(&mut self, worker: &WorkerId, tasks: &[TaskReport]) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let running = tasks.iter().filter(|task| task.end.is_none());
        let unknown: HashMap<TaskAttempt, Resources> = running
            .map(|task| (attempt_of(task), task.used))
            .filter(|(id, _)| !open(&self.intents, id))
            .collect();
        let before = std::mem::take(&mut state.unknown);
        state.unknown = unknown.keys().cloned().collect();
        for id in before {
            self.fleet.release(&unknown_key(&id));
        }
        for (id, used) in unknown {
            self.fleet.charge(worker, &unknown_key(&id), used);
        }
    }
}

fn open(intents: &HashMap<TaskAttempt, crate::rack::Intent>, id: &TaskAttempt) -> bool {
    let phase = intents.get(id).map(|intent| intent.phase);
    phase.is_some_and(|phase| !matches!(phase, IntentPhase::Ended(_)))
}

fn unknown_key(id: &TaskAttempt) -> TaskId {
    format_smolstr!("{}#{}#unknown", id.task, id.attempt)
}

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
