//! Reports of running and ended attempts to home owners, repeated until acknowledged.

use std::{collections::BTreeMap, time::Instant};

use jackdawchute_ownership::{Directory, LeaseState};
use jackdawchute_types::GroupId;

use crate::{
    effect::{AfterAppend, AfterCall, Effect},
    rack::state::{IntentPhase, RackGroups},
    record::{delete_entry, intent_key},
    AttemptState, Call, TaskAttempt, TaskEvent,
};

/// The most events in one call to a home owner.
const EVENTS_MAX: usize = 1_000;

impl RackGroups {
    /// Reports changed attempts to their home owners, and again what was not acknowledged within
    /// the resend time.
    pub fn report_events(&mut self, now: Instant) -> Vec<Effect> {
        let mut by_home: BTreeMap<GroupId, Vec<TaskEvent>> = BTreeMap::new();
        for (id, reported_at) in &self.unacknowledged {
            let waits = |at: Instant| now.saturating_duration_since(at) < self.settings.resend;
            let Some(intent) = self
                .intents
                .get(id)
                .filter(|_| !reported_at.is_some_and(waits))
            else {
                continue;
            };
            let events = by_home.entry(intent.record.home.clone()).or_default();
            if let Some(state) = reported_state(intent.phase).filter(|_| events.len() < EVENTS_MAX)
            {
                let id = id.clone();
                events.push(TaskEvent { id, state });
            }
        }
        let calls = by_home.into_iter();
        calls
            .filter_map(|(home, events)| self.report_to_home(home, events, now))
            .collect()
    }

    /// Makes the reports due again whose home group has a later owner than in the `former`
    /// directory: that one acknowledges nothing any more.
    pub(crate) fn report_to_replaced_homes_again(&mut self, former: &Directory) {
        for (id, reported_at) in &mut self.unacknowledged {
            let Some(intent) = self.intents.get(id) else {
                continue;
            };
            let home = &intent.record.home;
            let epoch = |directory: &Directory| directory.owners.get(home).map(|o| o.epoch);
            if epoch(&self.directory) > epoch(former) {
                *reported_at = None;
            }
        }
    }

    /// Returns the report call for a home group, or `None` without an owner or events.
    fn report_to_home(
        &mut self,
        home: GroupId,
        events: Vec<TaskEvent>,
        now: Instant,
    ) -> Option<Effect> {
        let owner = self.directory.owners.get(&home)?.clone();
        if events.is_empty() {
            return None;
        }
        for event in &events {
            self.unacknowledged.insert(event.id.clone(), Some(now));
        }
        let after = AfterCall::EventsReported(events.clone());
        let call = Call::Report { home, events };
        Some(Effect::Call { owner, call, after })
    }

    /// Removes acknowledged events, and closes the attempts that ended and deletes their intents.
    pub fn events_acknowledged(&mut self, events: Vec<TaskEvent>, now: Instant) -> Vec<Effect> {
        let mut entries = Vec::new();
        for event in events {
            let Some(intent) = self.intents.get(&event.id) else {
                continue;
            };
            if reported_state(intent.phase) != Some(event.state) {
                continue;
            }
            self.unacknowledged.remove(&event.id);
            if matches!(event.state, AttemptState::Ended(_)) {
                entries.push(delete_entry(&intent.group, intent_key(&event.id)));
                self.intents.remove(&event.id);
                self.close_attempt(&event.id, now);
            }
        }
        if entries.is_empty() || self.lease_state == LeaseState::Fenced {
            return Vec::new();
        }
        let after = AfterAppend::Nothing;
        vec![Effect::Append { entries, after }]
    }

    /// Returns the attempts whose current state the home owner has not acknowledged.
    pub fn unacknowledged(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.unacknowledged.keys()
    }
}

/// Returns the state to report in a phase, or `None` if the phase is not reported.
fn reported_state(phase: IntentPhase) -> Option<AttemptState> {
    match phase {
        IntentPhase::Running => Some(AttemptState::Running),
        IntentPhase::Ended(end) => Some(AttemptState::Ended(end)),
        IntentPhase::Journaling | IntentPhase::Sent | IntentPhase::Stopping(_) => None,
    }
}
