//! Leases: renewed from a worker's own clock, and given up for a worker that is silent.

use std::time::{Duration, Instant};

use jackdawchute_ownership::LeaseState;
use jackdawchute_ports::{Lease, WorkerClock};
use jackdawchute_types::WorkerId;

use crate::{
    effect::{Effect, WorkerCall},
    rack::state::{IntentPhase, RackGroups},
    AttemptEnd, TaskAttempt,
};

/// A task without a tick for this long was paused: its standing may be out of date, and it renews
/// nothing until as much time has passed again.
const PAUSE_MIN: Duration = Duration::from_secs(1);
/// Leases are renewed this many times within their length.
const RENEWALS_PER_LEASE: u32 = 3;

impl RackGroups {
    /// Asks workers for reports, gives up silent ones, drops what lapsed and tells home owners.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        self.note_tick(now);
        self.lapse_holds(now);
        self.forget_closed(now);
        self.refresh_accepting(now);
        self.end_on_silent_workers(now);
        let mut effects = self.ask_for_reports(now);
        effects.extend(self.report_events(now));
        effects
    }

    fn ask_for_reports(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (id, worker) in &mut self.workers {
            let due = worker.due.is_none_or(|due| due <= now);
            if !due || worker.asked.is_some() {
                continue;
            }
            worker.asked = Some(now);
            effects.push(Effect::Worker {
                worker: id.clone(),
                call: WorkerCall::Report,
            });
        }
        effects
    }

    /// The leases on a worker lapse at the latest one lease after its last report: none is
    /// granted beyond that report's clock plus the lease, and a former owner has stopped by
    /// `former_until`.
    fn end_on_silent_workers(&mut self, now: Instant) {
        let silent: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                let former = self.owned.get(&worker.group).map(|rack| rack.former_until);
                let base = worker.seen.max(former);
                let lapsed = self.settings.lease + self.settings.clock_margin;
                base.is_some_and(|base| now.saturating_duration_since(base) > lapsed)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for worker in silent {
            self.end_all_on(&worker, now);
        }
    }

    fn end_all_on(&mut self, worker: &WorkerId, now: Instant) {
        for id in self.on_worker(worker) {
            let open = self.intents.get(&id).map(|intent| intent.phase);
            if open.is_some_and(|phase| phase != IntentPhase::Journaling) {
                self.end(&id, AttemptEnd::Lost, now);
            }
        }
    }

    /// The attempts on a worker that are not ended.
    pub(crate) fn on_worker(&self, worker: &WorkerId) -> Vec<TaskAttempt> {
        let open = self.workers.get(worker).map(|state| &state.open);
        open.into_iter().flatten().cloned().collect()
    }

    fn note_tick(&mut self, now: Instant) {
        let gap = |at: Instant| now.saturating_duration_since(at) >= PAUSE_MIN;
        if self.ticked.is_some_and(gap) {
            self.resumed = Some(now);
        }
        self.ticked = Some(now);
    }

    /// Whether this process stood still so recently that a change of its standing may not have
    /// come through.
    fn was_paused(&self, now: Instant) -> bool {
        let stands_still = |at: Instant| now.saturating_duration_since(at) >= PAUSE_MIN;
        let just_resumed = |at: Instant| now.saturating_duration_since(at) < PAUSE_MIN;
        self.ticked.is_some_and(stands_still) || self.resumed.is_some_and(just_resumed)
    }

    /// Renews what runs on a worker up to one lease after the clock it just reported.
    ///
    /// Nothing is renewed while a successor may exist.
    pub(crate) fn renew(&mut self, worker: &WorkerId, now: Instant) -> Option<Effect> {
        if !matches!(
            self.lease_state,
            LeaseState::Confirmed | LeaseState::StoreDown
        ) {
            return None;
        }
        if self.was_paused(now) {
            return None;
        }
        let state = self.workers.get(worker)?;
        let period = self.settings.lease / RENEWALS_PER_LEASE;
        let due = |at: Instant| now.saturating_duration_since(at) >= period;
        if !state.renewed.is_none_or(due) {
            return None;
        }
        let epoch = self.owned.get(&state.group)?.epoch;
        let until = state.clock + self.settings.lease;
        let mut tasks = self.on_worker(worker);
        tasks.retain(|id| self.extend(id, until));
        if tasks.is_empty() {
            return None;
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.renewed = Some(now);
        }
        Some(Effect::Worker {
            worker: worker.clone(),
            call: WorkerCall::Renew(tasks, Lease { epoch, until }),
        })
    }

    /// Notes the lease of a running task, or tells that it does not run.
    fn extend(&mut self, id: &TaskAttempt, until: WorkerClock) -> bool {
        let intent = self.intents.get_mut(id);
        let Some(intent) = intent.filter(|intent| intent.phase == IntentPhase::Running) else {
            return false;
        };
        intent.until = intent.until.max(until);
        true
    }
}
