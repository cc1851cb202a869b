//! The state of a worker. Each operation takes the current time on the worker's clock.

use std::collections::HashMap;

use jackdawchute_ports::{
    Lease, StartOutcome, StartTask, TaskEnd, TaskReport, WorkerClock, WorkerReport,
};
use jackdawchute_types::{Epoch, Resources, TaskId};
use smol_str::SmolStr;

use super::{command::PlannedEnd, Command};

/// How long the report lists an attempt after its end.
const ENDED_RETENTION: WorkerClock = WorkerClock::from_secs(180);

/// One attempt at a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Attempt {
    pub(super) task: TaskId,
    pub(super) number: u32,
    pub(super) resources: Resources,
    pub(super) used: Resources,
    pub(super) started: WorkerClock,
    pub(super) ended: Option<(WorkerClock, TaskEnd)>,
    planned_end: PlannedEnd,
    lease_expires_at: WorkerClock,
}

impl Attempt {
    /// Returns when and how it ends unless it is stopped or its lease is renewed.
    fn next_end(&self) -> (WorkerClock, TaskEnd) {
        let lease_end = (self.lease_expires_at, TaskEnd::LeaseLapsed);
        let command_end = match self.planned_end {
            PlannedEnd::SucceedsAfter(time) => (self.started + time, TaskEnd::Succeeded),
            PlannedEnd::FailsAfter(time) => (self.started + time, TaskEnd::Failed),
            PlannedEnd::Never => return lease_end,
        };
        if command_end.0 <= lease_end.0 {
            command_end
        } else {
            lease_end
        }
    }
}

/// The state of a worker: its attempts, the highest epoch it has seen and, for each stopped task,
/// the highest attempt it must not start.
///
/// It does not check capacity: it starts a task also when its resources do not fit.
///
/// ```
/// use std::time::Duration;
/// use jackdawchute_ports::{Lease, StartOutcome, StartTask};
/// use jackdawchute_trial::worker::WorkerState;
/// use jackdawchute_types::Resources;
///
/// let mut worker = WorkerState::new("boot-1".into());
/// let start = StartTask {
///     task: "j1-0".into(),
///     attempt: 1,
///     resources: Resources::new(1_000, 1_024, 0),
///     lease: Lease { epoch: 1, boot: "boot-1".into(), until: Duration::from_secs(5) },
///     command: "run_ms=200".into(),
/// };
/// assert_eq!(worker.start(Duration::from_secs(1), start.clone()), StartOutcome::Started);
///
/// let late = StartTask { task: "j1-1".into(), ..start };
/// assert_eq!(worker.start(Duration::from_secs(6), late), StartOutcome::LeaseLapsed);
/// ```
#[derive(Clone, Debug)]
pub struct WorkerState {
    boot: SmolStr,
    epoch: Epoch,
    failing: bool,
    attempts: Vec<Attempt>,
    /// The indices of the running ones in `attempts`.
    running: Vec<usize>,
    /// The highest stopped attempt of each task.
    tombstones: HashMap<TaskId, u32>,
}

impl WorkerState {
    /// Creates the state of a worker that has just started, with `boot` as its boot id.
    pub fn new(boot: SmolStr) -> Self {
        Self {
            boot,
            epoch: 0,
            failing: false,
            attempts: Vec::new(),
            running: Vec::new(),
            tombstones: HashMap::new(),
        }
    }

    /// Sets whether each task started from now on fails at once.
    pub fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// Starts a task unless its lease has lapsed or is for another incarnation, its epoch is outdated
    /// or the attempt was stopped.
    ///
    /// A repeated start of a known attempt is answered as started and runs nothing.
    pub fn start(&mut self, now: WorkerClock, start: StartTask) -> StartOutcome {
        self.advance(now);
        if self.is_known(&start.task, start.attempt) {
            return StartOutcome::Started;
        }
        if !self.accepts_lease(now, &start.lease) {
            return StartOutcome::LeaseLapsed;
        }
        if self.was_stopped(&start.task, start.attempt) {
            return StartOutcome::LeaseLapsed;
        }
        self.add_attempt(now, start);
        self.advance(now);
        StartOutcome::Started
    }

    /// Extends the leases of running tasks, unless the new lease has lapsed or is for another
    /// incarnation, or its epoch is outdated.
    pub fn renew(&mut self, now: WorkerClock, tasks: &[TaskId], lease: Lease) {
        self.advance(now);
        if !self.accepts_lease(now, &lease) {
            return;
        }
        for &index in &self.running {
            let attempt = &mut self.attempts[index];
            if tasks.contains(&attempt.task) {
                attempt.lease_expires_at = attempt.lease_expires_at.max(lease.until);
            }
        }
    }

    /// Stops the task's attempts up to `attempt` and refuses to start them later.
    pub fn stop(&mut self, now: WorkerClock, task: &TaskId, attempt: u32) {
        self.advance(now);
        let forbidden = self.tombstones.entry(task.clone()).or_default();
        *forbidden = attempt.max(*forbidden);
        for &index in &self.running {
            let running = &mut self.attempts[index];
            if running.task == *task && running.number <= attempt {
                running.ended = Some((now, TaskEnd::Stopped));
            }
        }
        self.remove_ended_from_running();
    }

    /// Returns the report of running attempts and of those that ended within `ENDED_RETENTION`.
    pub fn report(&mut self, now: WorkerClock) -> WorkerReport {
        self.advance(now);
        WorkerReport {
            clock: now,
            boot: self.boot.clone(),
            tasks: self
                .attempts
                .iter()
                .filter(|attempt| is_listed(attempt, now))
                .map(task_report)
                .collect(),
        }
    }

    /// Returns every attempt since the worker's start, in the order of their starts.
    pub(super) fn attempts(&mut self, now: WorkerClock) -> &[Attempt] {
        self.advance(now);
        &self.attempts
    }

    fn is_known(&self, task: &TaskId, number: u32) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.task == *task && attempt.number == number)
    }

    fn was_stopped(&self, task: &TaskId, number: u32) -> bool {
        self.tombstones
            .get(task)
            .is_some_and(|forbidden| number <= *forbidden)
    }

    fn accepts_lease(&mut self, now: WorkerClock, lease: &Lease) -> bool {
        let is_for_this_boot = lease.boot.is_empty() || lease.boot == self.boot;
        is_for_this_boot && lease.until > now && self.accepts_epoch(lease.epoch)
    }

    fn accepts_epoch(&mut self, epoch: Epoch) -> bool {
        let accepted = epoch >= self.epoch;
        self.epoch = self.epoch.max(epoch);
        accepted
    }

    fn add_attempt(&mut self, now: WorkerClock, start: StartTask) {
        let command = Command::parse(&start.command);
        let planned_end = if self.failing {
            PlannedEnd::FailsAfter(WorkerClock::ZERO)
        } else {
            command.planned_end
        };
        self.running.push(self.attempts.len());
        self.attempts.push(Attempt {
            task: start.task,
            number: start.attempt,
            resources: start.resources,
            used: command.used(&start.resources),
            started: now,
            ended: None,
            planned_end,
            lease_expires_at: start.lease.until,
        });
    }

    /// Ends the attempts whose end is due by `now`, each at the time it was due.
    fn advance(&mut self, now: WorkerClock) {
        for &index in &self.running {
            let attempt = &mut self.attempts[index];
            let end = attempt.next_end();
            if end.0 <= now {
                attempt.ended = Some(end);
            }
        }
        self.remove_ended_from_running();
    }

    fn remove_ended_from_running(&mut self) {
        let attempts = &self.attempts;
        self.running
            .retain(|&index| attempts[index].ended.is_none());
    }
}

fn is_listed(attempt: &Attempt, now: WorkerClock) -> bool {
    match attempt.ended {
        Some((ended, _)) => now.saturating_sub(ended) <= ENDED_RETENTION,
        None => true,
    }
}

fn task_report(attempt: &Attempt) -> TaskReport {
    let end = attempt.ended.map(|(_, end)| end);
    TaskReport {
        task: attempt.task.clone(),
        attempt: attempt.number,
        end,
        used: match end {
            Some(_) => Resources::ZERO,
            None => attempt.used,
        },
    }
}
