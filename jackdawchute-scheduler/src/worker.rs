//! A worker and what runs or may run on it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use jackdawchute_types::{FencingToken, JobId, Resources, RunNumber, WorkerId};

use crate::{progress::Progress, worker_rows::RowIndex, StartOrder, TaskName, WorkerEntry};

/// The slowest rate of a worker's clock against ours.
const CLOCK_RATE_MIN: f64 = 0.98;
/// How long an earlier instance may go on granting leases after it was replaced.
const STEP_DOWN: Duration = Duration::from_secs(1);
/// How long a worker may take to end its tasks once their lease has lapsed.
const LAPSE_MARGIN: Duration = Duration::from_millis(400);

/// Where a run on a worker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The order to start has no answer yet.
    Starting,
    /// It runs.
    Running,
    /// It is to stop; nothing follows from its end but room.
    Stopping,
}

/// A run that takes, or may take, room on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) run: RunNumber,
    /// `None` while it is not known what the task needs.
    pub(crate) reserved: Option<Resources>,
    pub(crate) phase: RunPhase,
    /// An order to start got no answer, and may be carried out later.
    pub(crate) loose: bool,
    /// The worker has said that it started.
    pub(crate) seen_running: bool,
    /// The worker's clock when it answered the last order for this run.
    pub(crate) settled_clock: Option<Duration>,
    pub(crate) since: Instant,
    pub(crate) expected_end: Instant,
    /// An order for it is under way.
    pub(crate) order_under_way: bool,
    /// When to send the next order for it, where the last one got no answer.
    pub(crate) retry_at: Option<Instant>,
    pub(crate) start: Option<Box<StartOrder>>,
    pub(crate) progress: Option<Progress>,
}

/// One life of a worker, as it told itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerIncarnation {
    pub(crate) started_unix_ms: u64,
    /// A clock reading and the earliest time of ours at which it may have been taken.
    pub(crate) clock: Duration,
    pub(crate) clock_asked_at: Instant,
    pub(crate) clock_read_at: Instant,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) entry: WorkerEntry,
    /// Whether the platform lists it.
    pub(crate) listed: bool,
    pub(crate) unlisted_at: Option<Instant>,
    pub(crate) leaving_at: Option<Instant>,
    pub(crate) incarnation: Option<WorkerIncarnation>,
    /// Which of the lives that this instance has met; raises the token.
    pub(crate) incarnations_seen: u64,
    /// The worker has answered to the current token.
    pub(crate) fenced: bool,
    pub(crate) runs: HashMap<TaskName, Run>,
    /// Ends up to this number were taken into account.
    pub(crate) ends_noted: u64,
    /// Ends up to this number are saved.
    pub(crate) ends_saved: u64,
    /// The latest lease end that was sent, on the worker's clock.
    pub(crate) lease_sent: Duration,
    pub(crate) renewal_under_way: bool,
    pub(crate) renewal_next_at: Instant,
    pub(crate) unanswered_since: Option<Instant>,
    /// When it was listed with a new life that no look has met yet.
    pub(crate) restarted_at: Option<Instant>,
    pub(crate) first_met_at: Instant,
    /// The saved row that names it.
    pub(crate) row: RowIndex,
    /// What ended of late: failures and successes, by job, for the quarantine.
    pub(crate) health: Health,
}

/// What a worker's tasks came to of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Failures of different jobs since the last success.
    pub(crate) failed_jobs: Vec<JobId>,
    pub(crate) quarantined_until: Option<Instant>,
    /// How much longer tasks take than expected, smoothed.
    pub(crate) slowness: f64,
}

impl Worker {
    pub(crate) fn new(entry: WorkerEntry, row: RowIndex, now: Instant) -> Self {
        Self {
            entry,
            listed: true,
            unlisted_at: None,
            leaving_at: None,
            incarnation: None,
            incarnations_seen: 0,
            fenced: false,
            runs: HashMap::new(),
            ends_noted: 0,
            ends_saved: 0,
            lease_sent: Duration::ZERO,
            renewal_under_way: false,
            renewal_next_at: now,
            unanswered_since: None,
            restarted_at: None,
            first_met_at: now,
            row,
            health: Health {
                slowness: 1.0,
                ..Health::default()
            },
        }
    }

    pub(crate) fn id(&self) -> &WorkerId {
        &self.entry.worker
    }

    /// Whether it has told what it runs, and answers.
    pub(crate) fn is_known(&self) -> bool {
        self.fenced && self.unanswered_since.is_none() && self.restarted_at.is_none()
    }

    /// Whether nothing runs there and all ends are saved.
    pub(crate) fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.ends_noted == self.ends_saved
    }

    /// What is free, or `None` while something of unknown size runs there.
    pub(crate) fn free(&self) -> Option<Resources> {
        let mut free = self.entry.capacity;
        for run in self.runs.values() {
            free = free.saturating_sub(&run.reserved?);
        }
        Some(free)
    }

    /// The worker's clock at `now` at the latest, if it does not run fast.
    pub(crate) fn clock_latest(&self, now: Instant) -> Option<Duration> {
        let incarnation = self.incarnation?;
        Some(incarnation.clock + now.saturating_duration_since(incarnation.clock_asked_at))
    }

    /// The worker's clock at `now` at the earliest.
    pub(crate) fn clock_earliest(&self, now: Instant) -> Option<Duration> {
        let incarnation = self.incarnation?;
        let since = now.saturating_duration_since(incarnation.clock_read_at);
        Some(incarnation.clock + since.mul_f64(CLOCK_RATE_MIN))
    }

    /// Whether no lease can still hold there, granted by this instance or by an earlier one, which
    /// granted leases of `lease_before`.
    pub(crate) fn lease_lapsed(&self, now: Instant, lease_before: Duration) -> bool {
        let clock = self.clock_earliest(now);
        match clock {
            Some(clock) if self.fenced => clock > self.lease_sent + LAPSE_MARGIN,
            _ => {
                let since = now.saturating_duration_since(self.first_met_at);
                since.mul_f64(CLOCK_RATE_MIN) > lease_before + STEP_DOWN + LAPSE_MARGIN
            }
        }
    }

    /// Whether only a further look tells that a run which may never have started is barred.
    pub(crate) fn awaits_bar(&self) -> bool {
        self.runs.values().any(|run| {
            run.phase == RunPhase::Stopping && !run.seen_running && run.settled_clock.is_some()
        })
    }

    pub(crate) fn token(&self, base: FencingToken) -> FencingToken {
        base + self.incarnations_seen
    }

    /// Whether new tasks may go there.
    pub(crate) fn takes_tasks(&self, now: Instant, silence: Duration) -> bool {
        let silent = |since: Instant| now.saturating_duration_since(since) > silence;
        self.listed
            && self.fenced
            && self.incarnation.is_some()
            && self.leaving_at.is_none()
            && !self.unanswered_since.is_some_and(silent)
            && self.restarted_at.is_none()
            && self
                .health
                .quarantined_until
                .is_none_or(|until| now >= until)
    }
}
