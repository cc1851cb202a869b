//! Starts of tasks: charged to the worker, then journaled as intents, and only then sent.

use std::time::Instant;

use jackdawchute_ownership::{JournalEntry, LeaseState};
use jackdawchute_ports::{Error as PlatformError, Lease, StartOutcome, StartTask};
use jackdawchute_types::{GroupId, WorkerId};

use crate::{
    effect::{AfterAppend, CallId, Effect, WorkerCall},
    rack::state::{charge_key, Intent, IntentPhase, RackGroups},
    record::{intent_key, put_entry, IntentRecord},
    AttemptEnd, AttemptState, GroupEpoch, NotStartedReason, TaskAnswer, TaskAttempt, TaskStart,
};

impl RackGroups {
    /// Charges the tasks that fit their workers and journals an intent for each; the call is
    /// answered once the intents are journaled.
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
            if let Some(state) = self.start_task(rack, home, &task, &mut entries, now) {
                let id = task.id;
                answers.push(TaskAnswer { id, state });
            }
        }
        if entries.is_empty() {
            let result = Ok(self.rack_reply(rack, answers, false));
            return vec![Effect::Answer { call, result }];
        }
        let after = AfterAppend::Intents {
            call,
            rack: rack.group.clone(),
            answers,
        };
        vec![Effect::Append { entries, after }]
    }

    /// Returns the state of one attempt after adding its intent to `entries` if it may start, or
    /// `None` while an earlier call for the same attempt is still being journaled, or if the attempt
    /// does not start here and a successor may have started it.
    fn start_task(
        &mut self,
        rack: &GroupEpoch,
        home: &GroupEpoch,
        task: &TaskStart,
        entries: &mut Vec<JournalEntry>,
        now: Instant,
    ) -> Option<AttemptState> {
        if let Some(intent) = self.intents.get(&task.id) {
            return attempt_state(intent.phase);
        }
        if self.is_closed(&task.id) {
            return self.not_started(NotStartedReason::Closed, now);
        }
        match self.record_intent(rack, home, task, now) {
            Ok(entry) => {
                entries.push(entry);
                Some(AttemptState::Journaled)
            }
            Err(reason) => {
                let state = self.not_started(reason, now)?;
                self.close_attempt(&task.id, now);
                Some(state)
            }
        }
    }

    /// Charges a task to its worker and returns the entry of its intent, or the reason why the task
    /// cannot start.
    fn record_intent(
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
            .is_some_and(|worker| worker.accepting);
        let Some(worker) = self.workers.get(&task.worker).filter(|_| accepting) else {
            return Err(NotStartedReason::NotAccepting);
        };
        if worker.group != rack.group {
            return Err(NotStartedReason::NotAccepting);
        }
        let lease_until = worker.clock + self.settings.lease;
        let (boot, worker_address) = (worker.boot.clone(), worker.address);
        if !self.has_capacity(task) {
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
            address: worker_address,
            lease_until,
            lease: self.settings.lease,
            resources: task.resources,
            command: task.command.clone(),
        };
        let entry = put_entry(&rack.group, intent_key(&task.id), &record);
        let intent = Intent {
            record,
            group: rack.group.clone(),
            phase: IntentPhase::Journaling,
            lease_until,
        };
        self.intents.insert(task.id.clone(), intent);
        self.charge_team(&rack.group, &task.team, &task.resources);
        self.add_open_attempt(&task.worker, &task.id);
        // A worker being probed after quarantine accepts one task at a time.
        self.refresh_worker(&task.worker, now);
        Ok(entry)
    }

    /// Returns that an attempt was not started, which the home owner takes as final; `None` while a
    /// successor may have started it.
    pub(crate) fn not_started(
        &self,
        reason: NotStartedReason,
        now: Instant,
    ) -> Option<AttemptState> {
        let state = AttemptState::Ended(AttemptEnd::NotStarted(reason));
        self.is_sole_owner(now).then_some(state)
    }

    /// Sends the starts of a call whose intents are `committed`, or else releases their capacity,
    /// and answers the call.
    pub fn intents_journaled(
        &mut self,
        call: CallId,
        rack: &GroupId,
        answers: Vec<TaskAnswer>,
        committed: bool,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut definite = Vec::new();
        for mut answer in answers {
            if answer.state == AttemptState::Journaled && committed {
                effects.extend(self.send_start(&answer.id, now));
            } else if answer.state == AttemptState::Journaled {
                self.drop_intent(&answer.id, now);
                let Some(state) = self.not_started(NotStartedReason::StoreUnavailable, now) else {
                    continue;
                };
                answer.state = state;
            }
            definite.push(answer);
        }
        let rack = GroupEpoch {
            group: rack.clone(),
            epoch: self.epoch_of(rack),
        };
        let result = Ok(self.rack_reply(&rack, definite, false));
        effects.push(Effect::Answer { call, result });
        effects
    }

    /// Returns the start of a journaled intent, or `None` if the group was lost or the worker
    /// restarted meanwhile.
    fn send_start(&mut self, id: &TaskAttempt, now: Instant) -> Option<Effect> {
        let intent = self.intents.get_mut(id)?;
        if intent.phase != IntentPhase::Journaling {
            return None;
        }
        let worker = self.workers.get(&intent.record.worker);
        if worker.map(|worker| &worker.boot) != Some(&intent.record.boot) {
            let end = AttemptEnd::NotStarted(NotStartedReason::NotDelivered);
            self.end_attempt(id, end, now);
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
                boot: intent.record.boot.clone(),
                until: intent.lease_until,
            },
            command: intent.record.command.clone(),
        };
        Some(Effect::Worker {
            worker: intent.record.worker.clone(),
            call: WorkerCall::Start(start),
        })
    }

    /// Drops an intent whose append failed: the journal reports a failure only once the entry can
    /// never get into it.
    fn drop_intent(&mut self, id: &TaskAttempt, now: Instant) {
        if let Some(intent) = self.intents.remove(id) {
            let record = &intent.record;
            self.release_from_team(&intent.group, &record.team, &record.resources);
            self.remove_open_attempt(&record.worker, id);
            self.fleet.release(&charge_key(id));
            self.close_attempt(id, now);
        }
    }

    /// Applies a worker's answer to a start. After a lost answer the attempt stays open: the next
    /// reports show whether it runs.
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
                self.mark_unresponsive(worker, now);
            }
            Err(_) => self.mark_unresponsive(worker, now),
        }
    }

    fn end_not_started(&mut self, id: &TaskAttempt, now: Instant) {
        let end = AttemptEnd::NotStarted(NotStartedReason::NotDelivered);
        self.end_attempt(id, end, now);
    }

    /// Gives a worker no new tasks until its next report, which is requested at once.
    fn mark_unresponsive(&mut self, worker: &WorkerId, now: Instant) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.responsive = false;
            state.next_report_due = Some(now);
        }
        self.refresh_worker(worker, now);
    }
}

/// Returns the state to answer for an attempt in this phase, or `None` while its intent is being
/// journaled.
fn attempt_state(phase: IntentPhase) -> Option<AttemptState> {
    match phase {
        IntentPhase::Journaling => None,
        IntentPhase::Sent | IntentPhase::Stopping(_) => Some(AttemptState::Journaled),
        IntentPhase::Running => Some(AttemptState::Running),
        IntentPhase::Ended(end) => Some(AttemptState::Ended(end)),
    }
}
