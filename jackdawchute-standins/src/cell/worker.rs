//! One incarnation of an in-memory worker.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::{EndReason, EndedRun, StartOrder, StartRefusal, TaskName};
use jackdawchute_types::{FencingToken, RunNumber};

/// A run in progress; `record` is its index in the records of all runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub(super) run: RunNumber,
    pub(super) began_at: Instant,
    pub(super) task_time: Duration,
    /// When the run ends on an order to stop; `None` if there was none.
    pub(super) stops_at: Option<Instant>,
    /// The processor that the run uses.
    pub(super) millicores: u64,
    pub(super) record: usize,
}

impl Running {
    /// Returns which share of its time the run has taken at `now`.
    pub(super) fn percent(&self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.began_at);
        let share = elapsed.div_duration_f64(self.task_time);
        (share * 100.0).min(100.0) as u32
    }

    /// Returns when the run ends, and why, under a worker lease that lapses at `lapses_at`.
    pub(super) fn end(&self, lapses_at: Instant) -> (Instant, EndReason) {
        let done_at = self.began_at + self.task_time;
        let stops_at = self.stops_at.filter(|at| *at < done_at.min(lapses_at));
        match stops_at {
            Some(at) => (at, EndReason::Stopped),
            None if done_at <= lapses_at => (done_at, EndReason::Succeeded),
            None => (lapses_at, EndReason::LeaseLapsed),
        }
    }
}

/// An ended run that the scheduler has not acknowledged as saved.
#[derive(Clone, Debug)]
pub(super) struct Ended {
    pub(super) end: EndedRun,
    pub(super) record: usize,
    /// Whether the worker lease has lapsed since; after that the scheduler may have started the
    /// task on another worker.
    pub(super) lapsed: bool,
}

/// One worker incarnation.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) started_unix_ms: u64,
    started_at: Instant,
    /// The reading of the worker's clock at `started_at`.
    age_at_start: Duration,
    /// How fast the worker's clock runs, as a multiple of the true time.
    clock_rate: f64,
    pub(super) capacity_millicores: u64,
    pub(super) token: FencingToken,
    pub(super) running: BTreeMap<TaskName, Running>,
    /// The ended runs that are not acknowledged as saved yet.
    pub(super) ended: Vec<Ended>,
    pub(super) ends_count: u64,
    /// The highest run of each task that was stopped or ended here; only later runs may start.
    highest_ended_run: BTreeMap<TaskName, RunNumber>,
    /// When the worker lease lapses, on the worker's clock.
    lease_until: Duration,
}

impl Worker {
    /// Creates an incarnation whose clock shows `age` at `now`, its start.
    pub(super) fn new(
        started_unix_ms: u64,
        capacity_millicores: u64,
        age: Duration,
        now: Instant,
    ) -> Self {
        Self {
            started_unix_ms,
            started_at: now,
            age_at_start: age,
            clock_rate: 1.0,
            capacity_millicores,
            token: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends_count: 0,
            highest_ended_run: BTreeMap::new(),
            lease_until: Duration::ZERO,
        }
    }

    /// Returns the incarnation that follows this one, without any state but its clock's rate.
    pub(super) fn next_incarnation(
        &self,
        capacity_millicores: u64,
        age: Duration,
        now: Instant,
    ) -> Self {
        Self {
            clock_rate: self.clock_rate,
            ..Self::new(self.started_unix_ms + 1, capacity_millicores, age, now)
        }
    }

    /// Makes the worker's clock show `age` at its start, and run at `rate` from then on.
    pub(super) fn set_clock(&mut self, age: Duration, rate: f64) {
        self.age_at_start = age;
        self.clock_rate = rate;
    }

    /// The worker's clock, which shows an arbitrary time at its start.
    pub(super) fn clock(&self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.started_at);
        self.age_at_start + elapsed.mul_f64(self.clock_rate)
    }

    /// Returns when the worker lease lapses; the start of the worker if it never had one.
    pub(super) fn lapses_at(&self) -> Instant {
        let lasts = self.lease_until.saturating_sub(self.age_at_start);
        self.started_at + lasts.div_f64(self.clock_rate)
    }

    /// Extends the worker lease up to `until` on the worker's clock, for `hold_max` at most.
    pub(super) fn extend_lease(&mut self, until: Duration, hold_max: Duration, now: Instant) {
        let until = until.min(self.clock(now) + hold_max);
        self.lease_until = self.lease_until.max(until);
    }

    /// Makes the worker refuse this run of a task and all earlier ones.
    pub(super) fn refuse_up_to(&mut self, task: &TaskName, run: RunNumber) {
        let highest = self.highest_ended_run.entry(task.clone()).or_default();
        *highest = run.max(*highest);
    }

    /// Returns why a start is refused; `None` if it is accepted.
    pub(super) fn refusal(&self, order: &StartOrder, now: Instant) -> Option<StartRefusal> {
        let ended = self
            .highest_ended_run
            .get(&order.task)
            .copied()
            .unwrap_or_default();
        let running = self.running.get(&order.task).map(|running| running.run);
        let named = order.ticket.as_deref().and_then(ticket_incarnation);
        if order.run <= ended || running.is_some_and(|running| running > order.run) {
            Some(StartRefusal::Superseded)
        } else if order.lease_until < self.clock(now) {
            Some(StartRefusal::Late)
        } else if named.is_some_and(|named| named != self.started_unix_ms) {
            Some(StartRefusal::Ticket)
        } else {
            None
        }
    }

    /// Returns the processor that all runs use, those that are being stopped included.
    pub(super) fn used_millicores(&self) -> u64 {
        self.running.values().map(|it| it.millicores).sum()
    }
}

const TICKET_PREFIX: &str = "incarnation-";

/// Returns a ticket that is valid only in the worker incarnation that started at `started_unix_ms`.
pub(super) fn ticket_for(started_unix_ms: u64) -> String {
    format!("{TICKET_PREFIX}{started_unix_ms}")
}

/// Returns the incarnation that a ticket names; `None` if it is valid in all.
fn ticket_incarnation(ticket: &str) -> Option<u64> {
    ticket.strip_prefix(TICKET_PREFIX)?.parse().ok()
}
