//! Leases that an incarnation of a worker has from orders to a former one.
//!
//! A new incarnation carries out orders to the former one until it has seen a higher token. Its clock
//! starts anew, so that it may cut the lease in such an order to the longest hold only. The row of the
//! worker tells until when such a lease may last, and which incarnation has acknowledged a leader's
//! token, so that a successor allows for it whether it hears the worker or not.

use std::time::{Duration, Instant};

use crate::{
    worker::{Run, Worker},
    Scheduler,
};

/// Counts the leases of former incarnations of a worker that were allowed for, so that a committed row
/// is known to tell of the latest one.
pub(crate) type FormerLeases = u64;

impl Worker {
    /// Returns whether the incarnation that started at `started_unix_ms` may have a lease from an order
    /// to a former one: this leader has noticed a restart, or an earlier one that gave it orders has
    /// not heard this incarnation.
    pub(crate) fn may_have_former_lease(
        &self,
        has_earlier_orders: bool,
        started_unix_ms: u64,
    ) -> bool {
        let is_known = self.acknowledged_start_unix_ms == Some(started_unix_ms);
        self.token(0) > 0 || (has_earlier_orders && !is_known)
    }

    /// Records that such a lease may last for `hold_time` from now.
    pub(crate) fn note_former_lease(&mut self, hold_time: Duration, now: Instant) {
        self.former_lease_until = Some(now + hold_time);
        self.former_leases += 1;
    }

    /// Returns whether a run was ordered since the worker was last heard, so that a later incarnation
    /// may have begun it.
    pub(crate) fn may_run_since_heard(&self) -> bool {
        let heard_at = self.incarnation.map(|it| it.clock_received_at);
        let is_since_heard = |run: &Run| heard_at.is_none_or(|at| run.known_since > at);
        self.runs.values().any(is_since_heard)
    }

    /// Returns whether the platform lists, or listed last, another incarnation than the one that was
    /// heard last, or none was heard.
    pub(crate) fn may_have_restarted_unheard(&self) -> bool {
        let heard = self.incarnation.map(|it| it.started_unix_ms);
        let known_start = heard.or(self.acknowledged_start_unix_ms);
        let is_other = |known| self.listed_start().is_some_and(|listed| listed != known);
        self.restarted_at.is_some() || known_start.is_none_or(is_other)
    }

    /// Returns whether the platform lists, or listed last, an incarnation that an earlier leader had not
    /// heard when it saved the worker, and whose lease its orders to the former one may have extended.
    pub(crate) fn is_listed_as_restarted(&self) -> bool {
        let is_other = |known| self.listed_start().is_some_and(|listed| listed != known);
        self.acknowledged_start_unix_ms.is_some_and(is_other)
    }

    /// Returns the start of the incarnation that the platform lists, or listed last: the entry of a
    /// worker that is cut off from the platform too expires before its lease.
    fn listed_start(&self) -> Option<u64> {
        Some(self.entry.started_unix_ms).filter(|start| *start > 0)
    }
}

impl Scheduler {
    /// Marks the rows of workers as unsaved that name too few or too many of them, or a lease that
    /// has lapsed, and once a period those that tell what is left of one.
    pub(crate) fn update_worker_rows(&mut self) {
        let view = self.lapse_view();
        let leases_are_due = self.worker_rows.leases_are_due(view.as_of);
        for worker in self.workers.values_mut() {
            if let Some(until) = worker.former_lease_until {
                let has_lapsed = view.as_of > until;
                if has_lapsed {
                    worker.former_lease_until = None;
                }
                if has_lapsed || leases_are_due {
                    self.worker_rows.mark_unsaved(worker.row);
                }
            }
            let is_needed = worker.needs_row(view);
            if is_needed != worker.row_needed {
                worker.row_needed = is_needed;
                self.worker_rows.mark_unsaved(worker.row);
            }
        }
    }
}
