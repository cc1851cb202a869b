//! When the leases on a worker have lapsed: those that this owner and its predecessor gave, and those
//! of processes at former addresses of the worker.

use std::{net::SocketAddr, time::Instant};

use jackdawchute_ports::Member;
use jackdawchute_types::WorkerId;

use crate::rack::state::{RackGroups, WorkerState};

impl RackGroups {
    /// Returns whether all leases on a worker have lapsed, unless a successor renewed them.
    pub(crate) fn is_silent(&self, worker: &WorkerState, now: Instant) -> bool {
        let lapse = self.leases_until(worker);
        lapse.is_some_and(|lapse| now > lapse.max(worker.former_leases_until.unwrap_or(lapse)))
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

    /// Returns when the leases on a worker have lapsed that this owner and its predecessor gave. No
    /// lease goes beyond a report's clock plus the lease time, and a fenced predecessor renews none
    /// after `predecessor_renews_until`.
    fn leases_until(&self, worker: &WorkerState) -> Option<Instant> {
        let rack = self.owned.get(&worker.group);
        let predecessor = rack.map(|rack| rack.predecessor_renews_until);
        let counted_from = worker.reported_at.max(predecessor)?;
        Some(counted_from + self.settings.lease + self.settings.clock_margin)
    }
}
