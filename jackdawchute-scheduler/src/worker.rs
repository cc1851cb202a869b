//! The state of a worker and of the runs that are, or may be, on it.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use jackdawchute_speeds::WorkerSpeed;
use jackdawchute_types::{FencingToken, JobId, Resources, RunNumber, WorkerId};

use crate::{
    authority::LapseView, extensions::UnansweredExtensions, former_leases::FormerLeases,
    progress::Progress, unsaved::ChangeNumber, worker_rows::RowIndex, StartOrder, TaskName,
    WorkerEntry,
};

/// The lowest rate at which a worker's clock may advance, as a multiple of the leader's.
pub(crate) const CLOCK_RATE_MIN: f64 = 0.98;
/// How long a worker may take to end its tasks once their lease has lapsed.
pub(crate) const LAPSE_STOP_MAX: Duration = Duration::from_millis(400);

/// The phase of a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start was ordered and is not confirmed.
    Starting,
    /// The worker has confirmed or reported that the task runs.
    Running,
    /// The run is to stop, or never to start; its capacity is free once that is confirmed.
    Stopping,
}

/// A run that uses, or may use, capacity of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// The run number.
    pub(crate) run: RunNumber,
    /// The capacity that is charged for the run; `None` while the needs of its task are not known.
    pub(crate) charged: Option<Resources>,
    pub(crate) phase: RunPhase,
    /// Whether an order to start got no answer, so that the worker may carry it out later.
    pub(crate) start_outcome_unknown: bool,
    /// Whether the worker has reported the run as started.
    pub(crate) seen_running: bool,
    /// The worker's clock when it answered the latest order for the run. A list of running tasks
    /// that the worker made later shows whether the run is there. Zero for a run that the worker
    /// has listed, so that any list made later is newer; `None` until an order is answered.
    pub(crate) answered_clock: Option<Duration>,
    /// When the start was ordered, or for an unknown run when the worker first listed it.
    pub(crate) known_since: Instant,
    /// When the run is expected to end by itself; `None` if its task lasts until it is stopped.
    pub(crate) expected_end: Option<Instant>,
    /// By what factor the run takes longer than on the mean worker, near its data.
    pub(crate) slowdown: f64,
    /// Whether an order for the run is under way.
    pub(crate) order_under_way: bool,
    /// Whether an order to stop the run was sent; none to start it follows.
    pub(crate) stop_sent: bool,
    /// When to send the next order for the run; `None` unless the last one had no usable answer.
    pub(crate) retry_at: Option<Instant>,
    /// The order to start; `None` for a run that this leader did not start.
    pub(crate) start_order: Option<Box<StartOrder>>,
    /// The progress of the run; `None` until the worker lists it.
    pub(crate) progress: Option<Progress>,
}

impl Run {
    /// Returns whether an order to start is under way.
    pub(crate) fn start_under_way(&self) -> bool {
        self.order_under_way && !self.stop_sent
    }
}

/// The worker incarnation that last answered a renewal, with a reading of its clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerIncarnation {
    /// When the incarnation started, in Unix milliseconds by its own time of day.
    pub(crate) started_unix_ms: u64,
    /// When it was first heard.
    pub(crate) first_heard_at: Instant,
    /// The latest reading of the worker's clock, made before `clock_received_at`.
    pub(crate) clock: Duration,
    /// When the reading was received.
    pub(crate) clock_received_at: Instant,
}

/// A worker that is listed, or whose runs may not have ended.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// The latest entry of the platform's list.
    pub(crate) entry: WorkerEntry,
    /// Whether the platform lists the worker.
    pub(crate) listed: bool,
    /// When the platform's list first lacked the worker; `None` while it is listed.
    pub(crate) unlisted_at: Option<Instant>,
    /// The earliest time at which the worker may leave; `None` if it stays.
    pub(crate) leaving_at: Option<Instant>,
    /// `None` until the current incarnation has answered a renewal.
    pub(crate) incarnation: Option<WorkerIncarnation>,
    /// How many further incarnations have answered after the first; added to the fencing token, so
    /// that a restart of the worker raises it.
    pub(crate) incarnations_seen: u64,
    /// How often the fencing token was raised so that the worker refuses an order without an answer.
    pub(crate) token_raises: u64,
    /// Whether the worker has answered a renewal with the current token, and so refuses all lower
    /// ones.
    pub(crate) token_acknowledged: bool,
    /// The runs that use, or may use, capacity of the worker.
    pub(crate) runs: HashMap<TaskName, Run>,
    /// Run ends up to this number are recorded in memory.
    pub(crate) ends_recorded: u64,
    /// Run ends up to this number are saved.
    pub(crate) ends_saved: u64,
    /// The worker has confirmed that it deletes run ends up to this number.
    pub(crate) ends_confirmed: u64,
    /// The changes and numbers of the recorded run ends that are not saved, in ascending order.
    pub(crate) ends_unsaved: VecDeque<(ChangeNumber, u64)>,
    /// The latest end of a lease that was sent to the worker, on the worker's clock.
    pub(crate) lease_sent: Duration,
    /// The latest end of a lease that the worker has confirmed, on the worker's clock.
    pub(crate) lease_confirmed: Duration,
    /// The extensions of the lease of which the outcome is not known.
    pub(crate) extensions: UnansweredExtensions,
    /// Until when runs may last under a lease that an order to a former incarnation extended.
    pub(crate) former_lease_until: Option<Instant>,
    /// How often a lease of a former incarnation was allowed for.
    pub(crate) former_leases: FormerLeases,
    pub(crate) renewal_under_way: bool,
    /// When the latest renewal was ordered. An earlier one may still be under way after a restart.
    pub(crate) renewal_ordered_at: Instant,
    pub(crate) renewal_next_at: Instant,
    /// Since when the worker has answered no renewal; `None` if it answered the last one.
    pub(crate) unanswered_since: Option<Instant>,
    /// When the worker was listed with a new incarnation that has answered no renewal yet.
    pub(crate) restarted_at: Option<Instant>,
    /// The saved row that the worker is assigned to.
    pub(crate) row: RowIndex,
    /// The most bytes that the worker takes in its row.
    pub(crate) row_bytes: usize,
    /// Whether a new leader would have to ask the worker for its runs, so that its row names it.
    pub(crate) row_needed: bool,
    /// Whether the row as committed names the worker, and the lease of its former incarnation; it
    /// gets no task before.
    pub(crate) row_saved: bool,
    /// Whether an earlier leader saved the worker, so that it may run tasks of that leader.
    pub(crate) recovered: bool,
    /// Whether the worker has answered a renewal of this leader with the current token of that
    /// time.
    pub(crate) answered: bool,
    /// When this incarnation of the worker first acknowledged a token of this leader.
    pub(crate) acknowledged_at: Option<Instant>,
    /// When the latest incarnation started that has acknowledged a token of this leader, or as its
    /// row tells of an earlier one, in Unix milliseconds by its own time of day.
    pub(crate) acknowledged_start_unix_ms: Option<u64>,
    /// Whether the worker has reported all its runs since it acknowledged the current token.
    pub(crate) reported: bool,
    /// When this incarnation of the worker first reported all its runs.
    pub(crate) reported_at: Option<Instant>,
    /// The worker's recent failures, from which a quarantine follows, and its speed.
    pub(crate) health: Health,
}

/// A worker's recent failures and its speed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// The jobs of which a run failed here since the last success, each once.
    pub(crate) failed_jobs: Vec<JobId>,
    /// Until when the worker gets no new tasks; `None` if it was not quarantined since a success.
    pub(crate) quarantined_until: Option<Instant>,
    /// What is known of the speed of the current incarnation.
    pub(crate) speed: WorkerSpeed,
}

impl Worker {
    pub(crate) fn new(entry: WorkerEntry, row: RowIndex, row_bytes: usize, now: Instant) -> Self {
        Self {
            entry,
            listed: true,
            unlisted_at: None,
            leaving_at: None,
            incarnation: None,
            incarnations_seen: 0,
            token_raises: 0,
            token_acknowledged: false,
            runs: HashMap::new(),
            ends_recorded: 0,
            ends_saved: 0,
            ends_confirmed: 0,
            ends_unsaved: VecDeque::new(),
            lease_sent: Duration::ZERO,
            lease_confirmed: Duration::ZERO,
            extensions: UnansweredExtensions::default(),
            former_lease_until: None,
            former_leases: 0,
            renewal_under_way: false,
            renewal_ordered_at: now,
            renewal_next_at: now,
            unanswered_since: None,
            restarted_at: None,
            row,
            row_bytes,
            row_needed: false,
            row_saved: false,
            recovered: false,
            answered: false,
            acknowledged_at: None,
            acknowledged_start_unix_ms: None,
            reported: false,
            reported_at: None,
            health: Health::default(),
        }
    }

    pub(crate) fn id(&self) -> &WorkerId {
        &self.entry.worker
    }

    /// Returns whether the worker has reported its runs to this leader and answers renewals.
    pub(crate) fn is_responsive(&self) -> bool {
        self.token_acknowledged && self.unanswered_since.is_none() && self.restarted_at.is_none()
    }

    /// Returns whether the entry describes the incarnation that answers.
    ///
    /// After a restart either may come first. A new incarnation may have another capacity and other
    /// labels, which only its own entry tells.
    pub(crate) fn entry_is_current(&self) -> bool {
        let described = self.entry.started_unix_ms;
        self.incarnation
            .is_some_and(|incarnation| incarnation.started_unix_ms == described)
    }

    /// Returns whether an order to start would reach the incarnation that the entry describes.
    ///
    /// A worker that did not answer may have restarted, and the new incarnation would accept the
    /// token of an earlier one.
    pub(crate) fn has_known_kind(&self) -> bool {
        self.entry_is_current() && self.unanswered_since.is_none()
    }

    /// Forgets what the previous incarnation has reported.
    ///
    /// Tasks that were ordered since that one was last heard may have begun in the new one, under a
    /// lease that lasts for `hold_time` from now at most.
    pub(crate) fn begin_incarnation(&mut self, hold_time: Duration, now: Instant) {
        if self.may_run_since_heard() {
            self.former_lease_until = Some(now + hold_time);
        }
        self.incarnations_seen += 1;
        self.incarnation = None;
        self.token_acknowledged = false;
        self.acknowledged_at = None;
        self.reported = false;
        self.reported_at = None;
        self.ends_recorded = 0;
        self.ends_saved = 0;
        self.ends_confirmed = 0;
        self.ends_unsaved.clear();
        self.lease_sent = Duration::ZERO;
        self.lease_confirmed = Duration::ZERO;
        self.renewal_next_at = now;
        self.health.failed_jobs.clear();
        self.health.speed = WorkerSpeed::default();
    }

    /// Returns whether nothing runs on the worker and all its run ends are saved.
    pub(crate) fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.ends_recorded == self.ends_saved
    }

    /// Returns the number up to which the worker is to delete its run ends; 0 for none.
    ///
    /// A number is named only until an answer has confirmed it: a renewal that is carried out late
    /// would make a later incarnation delete ends that nobody has read.
    pub(crate) fn ends_to_delete(&self) -> u64 {
        if self.ends_saved > self.ends_confirmed {
            self.ends_saved
        } else {
            0
        }
    }

    /// Returns the free capacity, or `None` while a run whose needs are not known is there.
    pub(crate) fn free(&self) -> Option<Resources> {
        let mut free = self.entry.capacity;
        for run in self.runs.values() {
            free = free.saturating_sub(&run.charged?);
        }
        Some(free)
    }

    /// Returns the lowest reading that the worker's clock may show at `now`.
    pub(crate) fn clock_earliest(&self, now: Instant) -> Option<Duration> {
        let incarnation = self.incarnation?;
        let elapsed = now.saturating_duration_since(incarnation.clock_received_at);
        Some(incarnation.clock + elapsed.mul_f64(CLOCK_RATE_MIN))
    }

    /// Returns whether an answer to an order that was sent at `sent_at` or later, with this clock, is
    /// from a later incarnation than the one that last answered a renewal.
    pub(crate) fn shows_restart(&self, sent_at: Instant, clock: Duration) -> bool {
        let was_known = |it: &WorkerIncarnation| it.first_heard_at <= sent_at;
        let Some(incarnation) = self.incarnation.filter(was_known) else {
            return false;
        };
        // A reading that was received later may have been made after the order was carried out.
        let received_after = incarnation
            .clock_received_at
            .saturating_duration_since(sent_at);
        let earliest = self.clock_earliest(sent_at).unwrap_or_default();
        clock < earliest.saturating_sub(received_after.div_f64(CLOCK_RATE_MIN))
    }

    /// Records that a new incarnation has been noticed, which has answered no renewal yet.
    pub(crate) fn note_restart(&mut self, now: Instant) {
        // A renewal that is under way may have been sent to the previous incarnation.
        self.renewal_under_way = false;
        self.renewal_next_at = now;
        self.restarted_at = Some(now);
    }

    /// Returns the end of a lease that lasts no longer than `duration` from `now`; `None` while the
    /// worker's clock is not known.
    pub(crate) fn lease_until(&self, duration: Duration, now: Instant) -> Option<Duration> {
        Some(self.clock_earliest(now)? + duration)
    }

    /// Returns whether every lease of the worker has lapsed, granted by this leader or by an
    /// earlier one.
    pub(crate) fn lease_lapsed(&self, view: LapseView) -> bool {
        let clock = self.clock_earliest(view.as_of);
        let is_past = |until: Option<Instant>| until.is_none_or(|until| view.as_of > until);
        let own_lapsed = clock.is_none_or(|clock| clock > self.lease_sent + LAPSE_STOP_MAX)
            && is_past(self.extensions.runs_until)
            && is_past(self.former_lease_until);
        own_lapsed && view.as_of > self.earlier_leases_until(view)
    }

    /// Returns when every lease of the worker has lapsed at the latest if it does not answer before.
    pub(crate) fn leases_lapse_by(&self, view: LapseView) -> Instant {
        let own_left = self.clock_earliest(view.as_of).map(|clock| {
            let left = (self.lease_sent + LAPSE_STOP_MAX).saturating_sub(clock);
            left.div_f64(CLOCK_RATE_MIN)
        });
        let own_until = own_left.map(|left| view.as_of + left);
        let further = [self.extensions.runs_until, self.former_lease_until];
        let until = further.into_iter().chain([own_until]).flatten();
        until.fold(self.earlier_leases_until(view), Instant::max)
    }

    /// Returns until when runs may last under leases of earlier leaders.
    fn earlier_leases_until(&self, view: LapseView) -> Instant {
        match self.acknowledged_at {
            // From its acknowledgement of this leader's token on the worker refuses earlier leaders.
            Some(at) => view.earlier_until.min(at) + view.lease_time,
            None if self.extensions.of_earlier_leader || view.suspects_late_extensions => {
                view.earlier_until + view.late_extension_time
            }
            None if self.is_listed_as_restarted() => view.earlier_until + view.hold_time,
            None => view.earlier_until + view.lease_time,
        }
    }

    /// Returns when this incarnation of the worker last listed its runs and refused earlier tokens.
    pub(crate) fn listed_runs_at(&self) -> Option<Instant> {
        let incarnation = self.incarnation.filter(|_| self.reported);
        incarnation.map(|incarnation| incarnation.clock_received_at)
    }

    /// Returns whether a new leader would have to ask the worker for its runs.
    ///
    /// A worker that no list has at the moment, as its entry expired during an outage, may still
    /// run what an earlier leader ordered.
    pub(crate) fn needs_row(&self, view: LapseView) -> bool {
        if self.answered {
            let may_run_others = !self.reported && !self.lease_lapsed(view);
            self.listed || may_run_others || !self.is_idle()
        } else {
            self.recovered && !self.lease_lapsed(view)
        }
    }

    /// Returns whether the runs of the worker are known: it has reported all of them, or its leases
    /// have lapsed.
    pub(crate) fn is_accounted_for(&self, view: LapseView) -> bool {
        self.reported || self.lease_lapsed(view)
    }

    /// Returns whether a further renewal is needed to confirm that a run which may not have started
    /// will not start.
    pub(crate) fn awaits_stop_confirmation(&self) -> bool {
        self.runs.values().any(|run| {
            run.phase == RunPhase::Stopping && !run.seen_running && run.answered_clock.is_some()
        })
    }

    /// Returns the fencing token for orders to the worker, from the base of the epoch.
    pub(crate) fn token(&self, base: FencingToken) -> FencingToken {
        base + self.incarnations_seen + self.token_raises
    }

    /// Returns whether new tasks may be placed on the worker by a leader whose epoch was confirmed at
    /// `confirmed_at`.
    ///
    /// A later leader that has this incarnation's report already may have ended its recovery, so the
    /// report must be older than the confirmation.
    pub(crate) fn accepts_tasks(&self, confirmed_at: Instant, now: Instant) -> bool {
        self.listed
            && self.row_needed
            && self.row_saved
            && self.reported
            && self.reported_at.is_some_and(|at| at <= confirmed_at)
            && self.has_known_kind()
            && self.leaving_at.is_none()
            && self.restarted_at.is_none()
            && self
                .health
                .quarantined_until
                .is_none_or(|until| now >= until)
    }
}
