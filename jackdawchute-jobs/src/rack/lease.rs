//! Task leases: renewed by the clock of the worker, and counted as lapsed after its silence.

use std::time::{Duration, Instant};

use jackdawchute_ownership::LeaseState;
use jackdawchute_ports::{Lease, WorkerClock};
use jackdawchute_types::WorkerId;

use crate::{
    effect::{Effect, WorkerCall},
    rack::state::{IntentPhase, RackGroups},
    AttemptEnd, TaskAttempt,
};

/// The shortest time without a tick that counts as a pause of this process. After a pause the known
/// lease state may be out of date, so leases are not renewed until this time has passed again.
const PAUSE_MIN: Duration = Duration::from_secs(1);
/// The number of renewals within the length of a lease.
const RENEWALS_PER_LEASE: u32 = 3;

impl RackGroups {
    /// Requests due reports from workers, ends the attempts on silent ones, drops lapsed holds and
    /// expired closed attempts, and reports to home owners.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        self.record_tick(now);
        self.lapse_holds(now);
        self.forget_closed(now);
        self.refresh_accepting(now);
        self.end_on_silent_workers(now);
        let mut effects = self.request_reports(now);
        effects.extend(self.report_events(now));
        effects
    }

    /// Requests the reports that are due, one at a time from each worker.
    fn request_reports(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (id, worker) in &mut self.workers {
            let due = worker.next_report_due.is_none_or(|due| due <= now);
            if !due || worker.report_requested_at.is_some() {
                continue;
            }
            worker.report_requested_at = Some(now);
            effects.push(Effect::Worker {
                worker: id.clone(),
                call: WorkerCall::Report,
            });
        }
        effects
    }

    /// Ends the attempts on workers whose leases have all lapsed. They lapse at the latest one
    /// lease after the last report: no lease goes beyond that report's clock plus the lease time,
    /// and a fenced predecessor renews none after `predecessor_renews_until`.
    fn end_on_silent_workers(&mut self, now: Instant) {
        let silent: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                let predecessor = self
                    .owned
                    .get(&worker.group)
                    .map(|rack| rack.predecessor_renews_until);
                let counted_from = worker.reported_at.max(predecessor);
                let lapse_after = self.settings.lease + self.settings.clock_margin;
                counted_from.is_some_and(|at| now.saturating_duration_since(at) > lapse_after)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for worker in silent {
            self.end_open_attempts_on(&worker, now);
        }
    }

    /// Ends all attempts on a worker as lost, except those whose start was not sent yet.
    fn end_open_attempts_on(&mut self, worker: &WorkerId, now: Instant) {
        for id in self.open_attempts_on(worker) {
            let phase = self.intents.get(&id).map(|intent| intent.phase);
            if phase.is_some_and(|phase| phase != IntentPhase::Journaling) {
                self.end_attempt(&id, AttemptEnd::Lost, now);
            }
        }
    }

    /// Returns the attempts on a worker that have not ended.
    pub(crate) fn open_attempts_on(&self, worker: &WorkerId) -> Vec<TaskAttempt> {
        let open = self.workers.get(worker).map(|state| &state.open_attempts);
        open.into_iter().flatten().cloned().collect()
    }

    /// Records the time of a tick, and of the end of a pause if there was one before it.
    fn record_tick(&mut self, now: Instant) {
        let paused = |at: Instant| now.saturating_duration_since(at) >= PAUSE_MIN;
        if self.last_tick.is_some_and(paused) {
            self.resumed_at = Some(now);
        }
        self.last_tick = Some(now);
    }

    /// Returns whether this process is or was paused so recently that a change of its lease state
    /// may not have arrived yet.
    fn was_paused(&self, now: Instant) -> bool {
        let is_paused = |at: Instant| now.saturating_duration_since(at) >= PAUSE_MIN;
        let just_resumed = |at: Instant| now.saturating_duration_since(at) < PAUSE_MIN;
        self.last_tick.is_some_and(is_paused) || self.resumed_at.is_some_and(just_resumed)
    }

    /// Renews the leases of the tasks that run on a worker, up to one lease time after the clock
    /// that it just reported.
    ///
    /// Renews nothing while a successor may exist.
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
        if !state.renewed_at.is_none_or(due) {
            return None;
        }
        let epoch = self.owned.get(&state.group)?.epoch;
        let until = state.clock + self.settings.lease;
        let mut tasks = self.open_attempts_on(worker);
        tasks.retain(|id| self.extend_lease(id, until));
        if tasks.is_empty() {
            return None;
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.renewed_at = Some(now);
        }
        Some(Effect::Worker {
            worker: worker.clone(),
            call: WorkerCall::Renew(tasks, Lease { epoch, until }),
        })
    }

    /// Records the extended lease of a running task; returns whether the task runs.
    fn extend_lease(&mut self, id: &TaskAttempt, until: WorkerClock) -> bool {
        let intent = self.intents.get_mut(id);
        let Some(intent) = intent.filter(|intent| intent.phase == IntentPhase::Running) else {
            return false;
        };
        intent.lease_until = intent.lease_until.max(until);
        true
    }
}
