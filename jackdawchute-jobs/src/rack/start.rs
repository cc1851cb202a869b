//! Starts: charged, journaled, and only then sent.

use std::time::Instant;

use jackdawchute_ownership::{JournalEntry, LeaseState};
use jackdawchute_ports::{Error as PlatformError, Lease, StartOutcome, StartTask};
use jackdawchute_types::{GroupId, WorkerId};

use crate::{
    effect::{AfterAppend, CallId, Effect, WorkerCall},
    rack::state::{charge_key, Intent, IntentPhase, RackGroups},
    record::{intent_key, put, IntentRecord},
    AttemptEnd, AttemptState, GroupEpoch, NotStartedReason, TaskAnswer, TaskAttempt, TaskStart,
};

impl RackGroups {
    /// Takes the tasks that have room and journals an intent for each; the caller is answered
    /// once the journal holds them.
    pub fn start(
        &mut self,
        call: CallId,
        rack: &GroupEpoch,
        home: &GroupEpoch,
        tasks: Vec<TaskStart>,
        now: Instant,
    ) -> Vec<Effect> {
        let checked = self.check_epoch(rack).and_then(|()| self.check_home(home));
        if let Err(refusal) = checked {
            return vec![Effect::Answer {
                call,
                result: Err(refusal),
            }];
        }
        let mut answers = Vec::new();
        let mut entries = Vec::new();
        for task in tasks {
            if let Some(state) = self.start_one(rack, home, &task, &mut entries, now) {
                let id = task.id;
                answers.push(TaskAnswer { id, state });
            }
        }
        if entries.is_empty() {
            let result = Ok(self.answer(rack, answers, false));
            return vec![Effect::Answer { call, result }];
        }
        let after = AfterAppend::Intents {
            call,
            rack: rack.group.clone(),
            answers,
        };
        vec![Effect::Append { entries, after }]
    }

    /// No state while an earlier call for the same attempt waits for the journal.
    fn start_one(
        &mut self,
        rack: &GroupEpoch,
        home: &GroupEpoch,
        task: &TaskStart,
        entries: &mut Vec<JournalEntry>,
        now: Instant,
    ) -> Option<AttemptState> {
        if let Some(intent) = self.intents.get(&task.id) {
            return known_state(intent.phase);
        }
        if self.is_closed(&task.id) {
            return Some(not_started(NotStartedReason::Closed));
        }
        match self.take(rack, home, task, now) {
            Ok(entry) => {
                entries.push(entry);
                Some(AttemptState::Journaled)
            }
            Err(reason) => {
                self.close(&task.id, now);
                Some(not_started(reason))
            }
        }
    }

    fn take(
        &mut self,
        rack: &GroupEpoch,
        home: &GroupEpoch,
        task: &TaskStart,
        now: Instant,
    ) -> Result<JournalEntry, NotStartedReason> {
        self.release_hold(&task.id);
        if self.lease_state != LeaseState::Confirmed {
            return Err(NotStartedReason::StoreUnavailable);
        }
        let accepting = self
            .fleet
            .get(&task.worker)
            .is_some_and(|slot| slot.accepting);
        let Some(worker) = self.workers.get(&task.worker).filter(|_| accepting) else {
            return Err(NotStartedReason::NotAccepting);
        };
        if worker.group != rack.group {
            return Err(NotStartedReason::NotAccepting);
        }
        let until = worker.clock + self.settings.lease;
        let boot = worker.boot.clone();
        if !self.has_room(task) {
            return Err(NotStartedReason::NoRoom);
        }
        self.fleet
            .charge(&task.worker, &charge_key(&task.id), task.resources);
        let record = IntentRecord {
            id: task.id.clone(),
            job: task.job.clone(),
            team: task.team.clone(),
            home: home.group.clone(),
            worker: task.worker.clone(),
            boot,
            until,
            resources: task.resources,
            command: task.command.clone(),
        };
        let entry = put(&rack.group, intent_key(&task.id), &record);
        let intent = Intent {
            record,
            group: rack.group.clone(),
            phase: IntentPhase::Journaling,
            until,
        };
        self.intents.insert(task.id.clone(), intent);
        self.charge_team(&rack.group, &task.team, &task.resources);
        self.note_open(&task.worker, &task.id);
        // A probed worker takes one task.
        self.refresh_worker(&task.worker, now);
        Ok(entry)
    }

    /// Sends the starts whose intents are journaled, or gives their capacity back.
    pub fn journaled(
        &mut self,
        call: CallId,
        rack: &GroupId,
        mut answers: Vec<TaskAnswer>,
        in_journal: bool,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for answer in &mut answers {
            if answer.state != AttemptState::Journaled {
                continue;
            }
            if in_journal {
                effects.extend(self.send(&answer.id, now));
            } else {
                self.abandon(&answer.id, now);
                answer.state = not_started(NotStartedReason::StoreUnavailable);
            }
        }
        let rack = GroupEpoch {
            group: rack.clone(),
            epoch: self.epoch_of(rack),
        };
        let result = Ok(self.answer(&rack, answers, false));
        effects.push(Effect::Answer { call, result });
        effects
    }

    /// The start of a journaled intent, unless the group was lost or the worker restarted.
    fn send(&mut self, id: &TaskAttempt, now: Instant) -> Option<Effect> {
        let intent = self.intents.get_mut(id)?;
        if intent.phase != IntentPhase::Journaling {
            return None;
        }
        let worker = self.workers.get(&intent.record.worker);
        if worker.map(|worker| &worker.boot) != Some(&intent.record.boot) {
            let end = AttemptEnd::NotStarted(NotStartedReason::NotDelivered);
            self.end(id, end, now);
            return None;
        }
        intent.phase = IntentPhase::Sent;
        let epoch = self.owned.get(&intent.group)?.epoch;
        let start = StartTask {
            task: id.task.clone(),
            attempt: id.attempt,
            resources: intent.record.resources,
            lease: Lease {
                epoch,
                until: intent.until,
            },
            command: intent.record.command.clone(),
        };
        Some(Effect::Worker {
            worker: intent.record.worker.clone(),
            call: WorkerCall::Start(start),
        })
    }

    /// Drops an intent that is surely not in the journal and never will be.
    fn abandon(&mut self, id: &TaskAttempt, now: Instant) {
        if let Some(intent) = self.intents.remove(id) {
            let record = &intent.record;
            self.release_team(&intent.group, &record.team, &record.resources);
            self.note_over(&record.worker, id);
            self.fleet.release(&charge_key(id));
            self.close(id, now);
        }
    }

    /// Takes in a worker's answer to a start.
    pub fn started(
        &mut self,
        worker: &WorkerId,
        id: &TaskAttempt,
        result: Result<StartOutcome, PlatformError>,
        now: Instant,
    ) {
        let Some(intent) = self.intents.get_mut(id) else {
            return;
        };
        if intent.phase != IntentPhase::Sent {
            return;
        }
        match result {
            Ok(StartOutcome::Started) => {
                intent.phase = IntentPhase::Running;
                self.unacknowledged.insert(id.clone(), None);
            }
            Ok(StartOutcome::LeaseLapsed) => self.end_not_started(id, now),
            Err(PlatformError::Unavailable(..)) => {
                self.end_not_started(id, now);
                self.distrust(worker, now);
            }
            Err(_) => self.distrust(worker, now),
        }
    }

    fn end_not_started(&mut self, id: &TaskAttempt, now: Instant) {
        let end = AttemptEnd::NotStarted(NotStartedReason::NotDelivered);
        self.end(id, end, now);
    }

    /// A worker gets no new tasks until its next report.
    fn distrust(&mut self, worker: &WorkerId, now: Instant) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.trusted = false;
            state.due = Some(now);
        }
        self.refresh_worker(worker, now);
    }
}

fn known_state(phase: IntentPhase) -> Option<AttemptState> {
    match phase {
        IntentPhase::Journaling => None,
        IntentPhase::Sent | IntentPhase::Stopping(_) => Some(AttemptState::Journaled),
        IntentPhase::Running => Some(AttemptState::Running),
        IntentPhase::Ended(end) => Some(AttemptState::Ended(end)),
    }
}

fn not_started(reason: NotStartedReason) -> AttemptState {
    AttemptState::Ended(AttemptEnd::NotStarted(reason))
}
