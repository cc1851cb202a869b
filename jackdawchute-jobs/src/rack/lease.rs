//! Task leases: renewed by the clock of the worker, and counted as lapsed after its silence.

use std::{collections::BTreeMap, time::Instant};

use jackdawchute_ownership::LeaseState;
use jackdawchute_ports::{Lease, WorkerClock};
use jackdawchute_types::{GroupId, WorkerId};

use crate::{
    effect::{AfterAppend, Effect, WorkerCall},
    rack::state::{IntentPhase, RackGroups},
    record::{intent_key, put_entry},
    AttemptEnd, TaskAttempt,
};

/// The number of renewals within the length of a lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// The most lapsed attempts in one append.
const LAPSES_PER_APPEND_MAX: usize = 500;

impl RackGroups {
    /// Journals what later owners must know of fenced ones, requests due reports from workers,
    /// journals the lapse of the attempts on silent ones, drops lapsed holds and expired closed
    /// attempts, and reports to home owners.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        self.ticks.record(now);
        self.lapse_holds(now);
        self.forget_closed(now);
        self.refresh_accepting(now);
        let mut effects = self.journal_fenced_owners(now);
        effects.extend(self.journal_lapses(now));
        effects.extend(self.request_reports(now));
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

    /// Journals again the intents of the attempts on silent workers. They end as lost once the
    /// append has succeeded: silence shows that their leases have lapsed only if no other owner
    /// could renew them, and an append that is made after the lapse fails if a successor existed.
    fn journal_lapses(&mut self, now: Instant) -> Vec<Effect> {
        if self.lease_state != LeaseState::Confirmed {
            return Vec::new();
        }
        let mut lapsed: BTreeMap<GroupId, Vec<TaskAttempt>> = BTreeMap::new();
        for worker in self.workers.values() {
            if self.is_silent(worker, now) {
                let attempts = worker.open_attempts.iter().filter(|id| self.may_run(id));
                let of_group = lapsed.entry(worker.group.clone()).or_default();
                of_group.extend(attempts.cloned());
            }
        }
        let appends = lapsed.into_iter();
        appends
            .filter_map(|(group, ids)| self.journal_lapses_of(group, ids))
            .collect()
    }

    /// Returns the append for lapsed attempts on one rack, or `None` without any or while an
    /// earlier one has no result.
    fn journal_lapses_of(&mut self, group: GroupId, mut ids: Vec<TaskAttempt>) -> Option<Effect> {
        let rack = self.owned.get_mut(&group)?;
        if ids.is_empty() || rack.is_journaling_lapses {
            return None;
        }
        rack.is_journaling_lapses = true;
        ids.truncate(LAPSES_PER_APPEND_MAX);
        let intents = ids.iter().filter_map(|id| self.intents.get(id));
        let entries = intents
            .map(|intent| put_entry(&group, intent_key(&intent.record.id), &intent.record))
            .collect();
        let after = AfterAppend::Lapsed(group, ids);
        Some(Effect::Append { entries, after })
    }

    /// Ends as lost the attempts whose lapse is `committed`, and reports them to their home owners.
    /// Those on a worker that has reported meanwhile are left to its reports.
    pub fn lapses_journaled(
        &mut self,
        group: &GroupId,
        ids: &[TaskAttempt],
        committed: bool,
        now: Instant,
    ) -> Vec<Effect> {
        if let Some(rack) = self.owned.get_mut(group) {
            rack.is_journaling_lapses = false;
        }
        if !committed {
            return Vec::new();
        }
        for id in ids {
            let intent = self.intents.get(id);
            let worker = intent.and_then(|intent| self.workers.get(&intent.record.worker));
            if worker.is_some_and(|worker| self.is_silent(worker, now)) {
                self.end_attempt(id, AttemptEnd::Lost, now);
            }
        }
        self.report_events(now)
    }

    /// Returns whether the start of an open attempt was sent.
    fn may_run(&self, id: &TaskAttempt) -> bool {
        let intent = self.intents.get(id);
        intent.is_some_and(|intent| intent.phase != IntentPhase::Journaling)
    }

    /// Returns the attempts on a worker that have not ended.
    pub(crate) fn open_attempts_on(&self, worker: &WorkerId) -> Vec<TaskAttempt> {
        let open = self.workers.get(worker).map(|state| &state.open_attempts);
        open.into_iter().flatten().cloned().collect()
    }

    /// Returns whether no successor can exist: this incarnation can't have been fenced.
    pub(crate) fn is_sole_owner(&self, now: Instant) -> bool {
        self.ticks.is_sole_owner(self.lease_state, now)
    }

    /// Renews the leases of the tasks that run on a worker, up to one lease time after the clock
    /// that it just reported.
    ///
    /// Renews nothing while a successor may exist.
    pub(crate) fn renew(&mut self, worker: &WorkerId, now: Instant) -> Option<Effect> {
        if !self.is_sole_owner(now) {
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
        let boot = state.boot.clone();
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
            call: WorkerCall::Renew(tasks, Lease { epoch, boot, until }),
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
