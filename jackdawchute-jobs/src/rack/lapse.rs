//! When the leases on a worker have lapsed: those that this owner and its predecessor gave, and those
//! of processes at former addresses of the worker.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_ports::Member;
use jackdawchute_types::WorkerId;

use crate::rack::{
    state::{RackGroups, WorkerState},
    Intent,
};

impl RackGroups {
    /// Returns whether all leases on a worker have lapsed, unless a successor renewed them.
    pub(crate) fn is_silent(&self, worker: &WorkerState, now: Instant) -> bool {
        let has_lapsed = |until: Option<Instant>| until.is_some_and(|until| now > until);
        // Most workers have reported lately: their attempts need not be looked at.
        has_lapsed(self.usual_leases_until(worker))
            && has_lapsed(self.leases_until(worker))
            && worker.former_leases_until.is_none_or(|until| now > until)
    }

    /// Returns whether a process at a former address of the worker may hold leases.
    pub(crate) fn has_former_leases(&self, worker: &WorkerId, now: Instant) -> bool {
        let until = self.workers.get(worker).and_then(|w| w.former_leases_until);
        until.is_some_and(|until| now <= until)
    }

    /// Records a new address of a known worker, whatever rack it is listed in. The process at the
    /// former one may run its tasks until their leases lapse.
    pub(crate) fn set_address(&mut self, member: &Member) {
        let known = self.workers.get(&member.id);
        let known = known.and_then(|worker| worker.address);
        if let Some(former) = known.filter(|former| *former != member.address) {
            if let Some(worker) = self.workers.get_mut(&member.id) {
                worker.address = Some(member.address);
            }
            self.note_former_address(&member.id, Some(former));
        }
    }

    /// Keeps the leases of the process at `address` in mind, if calls to the worker go elsewhere.
    pub(crate) fn note_former_address(&mut self, worker: &WorkerId, address: Option<SocketAddr>) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        if address.is_none() || address == state.address {
            return;
        }
        let until = self.leases_until(state).max(state.former_leases_until);
        if let Some(state) = self.workers.get_mut(worker) {
            state.former_leases_until = until;
        }
    }

    /// Returns when the leases on a worker have lapsed that this owner and its predecessor gave.
    /// Settings change, so those of the open attempts may be longer than the ones given now.
    fn leases_until(&self, worker: &WorkerState) -> Option<Instant> {
        let open = worker.open_attempts.iter();
        let intents = open.filter_map(|id| self.intents.get(id));
        let of_intents = intents.filter_map(|intent| self.lease_until(intent, worker));
        let usual = self.usual_leases_until(worker)?;
        Some(of_intents.fold(usual, Instant::max))
    }

    /// Returns when the leases of the present length on a worker have lapsed. No lease goes beyond a
    /// report's clock plus the lease time, and a fenced predecessor renews none after
    /// `predecessor_renews_until`.
    fn usual_leases_until(&self, worker: &WorkerState) -> Option<Instant> {
        let rack = self.owned.get(&worker.group);
        let predecessor = rack.map(|rack| rack.predecessor_renews_until);
        let counted_from = worker.reported_at.max(predecessor)?;
        Some(counted_from + self.settings.lease + self.settings.clock_margin)
    }

    /// Returns when the lease of one attempt has lapsed, by what the predecessor may have given and
    /// by the clock in the worker's last report.
    fn lease_until(&self, intent: &Intent, worker: &WorkerState) -> Option<Instant> {
        let rack = self.owned.get(&intent.group);
        let lease = intent.record.lease.max(self.settings.lease);
        let of_predecessor = rack.map(|rack| rack.predecessor_renews_until + lease);
        let of_report = worker.reported_at.map(|at| at + rest_of(intent, worker));
        let until = of_predecessor.max(of_report)?;
        Some(until + self.settings.clock_margin)
    }
}

/// Returns how long an attempt's lease lasted after the last report of the worker, by its clock.
fn rest_of(intent: &Intent, worker: &WorkerState) -> Duration {
    if intent.record.boot == worker.boot {
        intent.lease_until.saturating_sub(worker.clock)
    } else {
        Duration::ZERO
    }
}
