//! The task that owns the state and the clock of a worker.

use std::time::{Instant, SystemTime};

use jackdawchute_ports::{StartOutcome, WorkerClock, WorkerReport};
use jackdawchute_types::{Resources, WorkerId};
use smol_str::format_smolstr;
use xtra::prelude::*;

use super::{
    state::Attempt, ReadRecord, ReadReport, Renew, SetFailing, Start, Stop, TaskRun, WorkerRecord,
    WorkerState,
};

/// The task that owns the state and the clock of one worker.
#[derive(Debug, xtra::Actor)]
pub struct WorkerTask {
    id: WorkerId,
    resources: Resources,
    state: WorkerState,
    clock_start: Instant,
    started_at: SystemTime,
}

impl WorkerTask {
    /// Creates a worker whose clock starts now, with a boot id made of `id` and the system time.
    pub fn new(id: WorkerId, resources: Resources) -> Self {
        let started_at = SystemTime::now();
        let since_epoch = started_at
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let boot = format_smolstr!("{id}-{}", since_epoch.as_nanos());
        Self {
            id,
            resources,
            state: WorkerState::new(boot),
            clock_start: Instant::now(),
            started_at,
        }
    }

    fn now(&self) -> WorkerClock {
        self.clock_start.elapsed()
    }

    fn task_run(started_at: SystemTime, attempt: &Attempt) -> TaskRun {
        TaskRun {
            task: attempt.task.clone(),
            attempt: attempt.number,
            resources: attempt.resources,
            used: attempt.used,
            started: started_at + attempt.started,
            ended: attempt.ended.map(|(ended, end)| (started_at + ended, end)),
        }
    }
}

impl Handler<Start> for WorkerTask {
    type Return = StartOutcome;

    async fn handle(&mut self, start: Start, _context: &mut Context<Self>) -> StartOutcome {
        let now = self.now();
        self.state.start(now, start.0)
    }
}

impl Handler<Renew> for WorkerTask {
    type Return = ();

    async fn handle(&mut self, renew: Renew, _context: &mut Context<Self>) {
        let now = self.now();
        self.state.renew(now, &renew.tasks, renew.lease);
    }
}

impl Handler<Stop> for WorkerTask {
    type Return = ();

    async fn handle(&mut self, stop: Stop, _context: &mut Context<Self>) {
        let now = self.now();
        self.state.stop(now, &stop.task, stop.attempt);
    }
}

impl Handler<ReadReport> for WorkerTask {
    type Return = WorkerReport;

    async fn handle(&mut self, _read: ReadReport, _context: &mut Context<Self>) -> WorkerReport {
        let now = self.now();
        self.state.report(now)
    }
}

impl Handler<ReadRecord> for WorkerTask {
    type Return = WorkerRecord;

    async fn handle(&mut self, _read: ReadRecord, _context: &mut Context<Self>) -> WorkerRecord {
        let now = self.now();
        let started_at = self.started_at;
        let attempts = self.state.attempts(now);
        WorkerRecord {
            worker: self.id.clone(),
            resources: self.resources,
            runs: attempts
                .iter()
                .map(|attempt| Self::task_run(started_at, attempt))
                .collect(),
        }
    }
}

impl Handler<SetFailing> for WorkerTask {
    type Return = ();

    async fn handle(&mut self, set: SetFailing, _context: &mut Context<Self>) {
        self.state.set_failing(set.0);
    }
}
