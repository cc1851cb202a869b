//! Extensions of worker leases, and those that got no answer.
//!
//! A worker may carry out an order late that got no answer. An extension then counts from there, so
//! that the lease outlasts what was sent. The leader raises the worker's fencing token after it: once
//! the worker has answered with the new token, it refuses the order. The runs of a worker that is
//! silent from then on count for as long as the order may extend its lease. The rows of workers name
//! those that may carry out such an order, and a leader that is replaced tells its successor.
//!
//! So that a worker that falls silent has as a rule no extension under way, extensions are answered
//! at once, and are sent only where the worker was heard just before; the renewal that waits for run
//! ends extends nothing.

use std::time::{Duration, Instant};

use jackdawchute_types::{whole_ms, WorkerId};
use spdlog::warn;

use crate::{
    authority::late_extension_time,
    worker::{Worker, WorkerIncarnation, CLOCK_RATE_MIN},
    RenewOrder, Scheduler, Settings,
};

/// What a renewal that waits leaves of a lease: longer than a takeover, in which nobody extends it. A
/// pause in which run ends are saved, before the next renewal, may use some of it.
const LEASE_LEFT_MIN: Duration = Duration::from_secs(3);
/// The shortest wait of a renewal for run ends; if the lease allows no longer one, it is extended.
const WAIT_MIN: Duration = Duration::from_millis(500);
/// The age of a worker's last answer up to which an order that extends its lease is sent without a
/// further one: the path to the worker most likely still works.
const HEARD_AGE_MAX: Duration = Duration::from_millis(250);

/// The extensions of a worker's lease of which the outcome is not known.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnansweredExtensions {
    /// Whether an order that extends the lease waits for its answer.
    pub(crate) under_way: bool,
    /// Until when runs may last under a lease that a late order of this leader extended.
    pub(crate) runs_until: Option<Instant>,
    /// Whether an order of an earlier leader may be carried out late.
    pub(crate) of_earlier_leader: bool,
}

impl UnansweredExtensions {
    /// Returns whether an order that has no answer yet may extend the lease.
    pub(crate) fn may_be_carried_out(&self) -> bool {
        self.under_way || self.may_be_late()
    }

    /// Returns whether an order without an answer may extend the lease late.
    pub(crate) fn may_be_late(&self) -> bool {
        self.runs_until.is_some() || self.of_earlier_leader
    }
}

/// What the next renewal of a worker is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RenewalKind {
    /// It extends the lease, and is answered at once.
    Extend,
    /// It asks for an answer at once.
    Probe,
    /// It waits this long for a run to end.
    Wait(Duration),
}

impl Worker {
    /// Returns what the next renewal is for.
    pub(crate) fn renewal_kind(
        &self,
        settings: &Settings,
        may_act: bool,
        now: Instant,
    ) -> RenewalKind {
        if !self.is_responsive() {
            return RenewalKind::Probe;
        }
        let mut wait = settings.renew_wait_max;
        if may_act && !self.runs.is_empty() {
            let wait_max = self.lease_left(now).saturating_sub(LEASE_LEFT_MIN);
            if wait_max < WAIT_MIN {
                return if self.was_heard(now) {
                    RenewalKind::Extend
                } else {
                    RenewalKind::Probe
                };
            }
            wait = wait.min(wait_max);
        }
        if self.awaits_stop_confirmation() {
            return RenewalKind::Probe;
        }
        RenewalKind::Wait(wait)
    }

    /// Returns whether the worker has answered a renewal just before.
    fn was_heard(&self, now: Instant) -> bool {
        let heard_at = self.incarnation.map(|it| it.clock_received_at);
        heard_at.is_some_and(|at| now.saturating_duration_since(at) <= HEARD_AGE_MAX)
    }

    /// Returns what is left of the lease that the worker has confirmed, apart from the time that its
    /// last answer took.
    fn lease_left(&self, now: Instant) -> Duration {
        let elapsed = |it: &WorkerIncarnation| now.saturating_duration_since(it.clock_received_at);
        let clock_latest = self
            .incarnation
            .map(|it| it.clock + elapsed(&it).div_f64(CLOCK_RATE_MIN));
        clock_latest.map_or(Duration::ZERO, |clock| {
            self.lease_confirmed.saturating_sub(clock)
        })
    }
}

impl Scheduler {
    /// Records that an order that extends a worker's lease got no answer, and raises the worker's
    /// token, so that a worker that answers again refuses the order.
    ///
    /// To be called before [`Scheduler::renew_failed`]; orders that extend nothing change nothing.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{RenewOrder, Scheduler, Settings};
    /// # use std::time::Duration;
    ///
    /// let now = Instant::now();
    /// let mut scheduler = Scheduler::new(Settings::default(), 1, now);
    /// let order = RenewOrder {
    ///     worker: "w0".into(),
    ///     address: ([127, 0, 0, 1], 9).into(),
    ///     lease_until: Some(Duration::from_secs(5)),
    ///     ends_saved: 0,
    ///     ends_recorded: 0,
    ///     wait: Duration::ZERO,
    ///     token: 1,
    /// };
    /// scheduler.extension_unanswered(&order, now);
    /// assert!(scheduler.unanswered_extensions().is_empty(), "the worker is not known");
    /// ```
    pub fn extension_unanswered(&mut self, order: &RenewOrder, sent_at: Instant) {
        if order.lease_until.is_none() {
            return;
        }
        let lasts = late_extension_time(&self.settings);
        let base = self.token_base;
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return;
        };
        let is_current = worker.token(base) == order.token;
        if !is_current {
            // The token was raised meanwhile; a worker that acknowledges it refuses this order.
            if worker.token_acknowledged {
                return;
            }
        } else {
            worker.token_raises += 1;
            worker.token_acknowledged = false;
        }
        let until = sent_at + lasts;
        let known_until = worker.extensions.runs_until.unwrap_or(until);
        worker.extensions.runs_until = Some(known_until.max(until));
        warn!("extension of a lease got no answer", kv: {
            worker = order.worker.as_str(), runs = worker.runs.len(), token = order.token,
            runs_until_ms = whole_ms(until.saturating_duration_since(sent_at))
        });
        self.worker_rows.mark_unsaved(worker.row);
    }

    /// Returns the workers to which an order that extends the lease got no answer so far, of this
    /// leader or an earlier one.
    pub fn unanswered_extensions(&self) -> Vec<WorkerId> {
        let unanswered = |worker: &&Worker| worker.extensions.may_be_carried_out();
        let workers = self.workers.values().filter(unanswered);
        workers.map(|worker| worker.id().clone()).collect()
    }

    /// Records the workers to which the replaced leader sent an order that extends the lease and got
    /// no answer, as that leader has told.
    ///
    /// ```
    /// use std::time::Instant;
    /// use jackdawchute_scheduler::{Scheduler, Settings};
    ///
    /// let mut scheduler = Scheduler::new(Settings::default(), 2, Instant::now());
    /// scheduler.earlier_extensions_told(&["w0".into()]);
    /// assert!(scheduler.unanswered_extensions().is_empty(), "no saved row names the worker");
    /// ```
    pub fn earlier_extensions_told(&mut self, unanswered: &[WorkerId]) {
        if std::mem::replace(&mut self.recovery.extensions_told, true) {
            return;
        }
        for id in unanswered {
            if let Some(worker) = self.workers.get_mut(id).filter(|it| !it.token_acknowledged) {
                worker.extensions.of_earlier_leader = true;
                self.worker_rows.mark_unsaved(worker.row);
            }
        }
    }

    /// Returns whether any silent worker may carry out an order of an earlier leader late: some
    /// worker did not answer one, and that leader could not tell which others did not either.
    pub(crate) fn suspects_late_extensions(&self) -> bool {
        !self.recovery.extensions_told && self.recovery.extensions_seen
    }
}
