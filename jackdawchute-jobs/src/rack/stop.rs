//! Stops of attempts: by a call to the worker if the task may run, else by closing the attempt.

use std::time::Instant;

use jackdawchute_types::{Refusal, WorkerId};

use crate::{
    effect::Effect,
    rack::{
        report::stop_call,
        state::{IntentPhase, RackGroups},
    },
    AttemptEnd, AttemptState, GroupEpoch, NotStartedReason, Reply, TaskAnswer, TaskAttempt,
};

impl RackGroups {
    /// Stops attempts. An attempt without an intent is closed, so that a start of it that arrives
    /// later is refused.
    ///
    /// # Errors
    /// Refuses calls for another epoch or from a home owner that has a successor.
    pub fn stop(
        &mut self,
        rack: &GroupEpoch,
        home: &GroupEpoch,
        tasks: Vec<TaskAttempt>,
        now: Instant,
    ) -> Result<(Reply, Vec<Effect>), Refusal> {
        self.check_epoch(rack)?;
        self.check_home(home)?;
        let mut effects = Vec::new();
        let mut answers = Vec::new();
        for id in tasks {
            if let Some(state) = self.stop_attempt(&id, &mut effects, now) {
                answers.push(TaskAnswer { id, state });
            }
        }
        Ok((self.rack_reply(rack, answers, false), effects))
    }

    /// Stops one attempt and returns its state, or returns `None` while its intent is being
    /// journaled, or without one while a successor may have started it: the home owner repeats the
    /// stop.
    fn stop_attempt(
        &mut self,
        id: &TaskAttempt,
        effects: &mut Vec<Effect>,
        now: Instant,
    ) -> Option<AttemptState> {
        let Some(intent) = self.intents.get_mut(id) else {
            self.release_hold(id);
            self.close_attempt(id, now);
            return self.not_started(NotStartedReason::Closed, now);
        };
        match intent.phase {
            IntentPhase::Journaling => None,
            IntentPhase::Ended(end) => Some(AttemptState::Ended(end)),
            IntentPhase::Stopping(_) => Some(AttemptState::Journaled),
            IntentPhase::Sent | IntentPhase::Running => {
                intent.phase = IntentPhase::Stopping(false);
                effects.push(stop_call(&intent.record.worker, id));
                Some(AttemptState::Journaled)
            }
        }
    }

    /// Applies a worker's answer to a stop; a stop that failed, or that was answered while a process
    /// at a former address may run the task, is repeated after the next report if the task may still
    /// run.
    pub fn stopped(&mut self, worker: &WorkerId, id: &TaskAttempt, confirmed: bool, now: Instant) {
        let Some(intent) = self.intents.get(id) else {
            return;
        };
        let IntentPhase::Stopping(lost) = intent.phase else {
            return;
        };
        if !confirmed || intent.record.worker != *worker {
            return;
        }
        // Whoever confirmed it is not known to be the process that runs the task.
        if self.has_former_leases(worker, now) {
            return;
        }
        let end = if lost {
            AttemptEnd::Lost
        } else {
            AttemptEnd::Stopped
        };
        self.end_attempt(id, end, now);
    }
}
