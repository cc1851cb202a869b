//! The simulated workers.

use std::{collections::BTreeMap, time::Duration};

use jackdawchute_scheduler::{
    EndReason, EndedRun, RenewAnswer, RenewOrder, RunningTask, StartOrder, TaskName, WorkerEntry,
};
use jackdawchute_types::{Resources, RunNumber};

/// The most run ends in an answer, as the users' platform states it.
const ENDS_PER_ANSWER: usize = 500;

/// A running task.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimRun {
    pub(super) run: RunNumber,
    started_at: Duration,
    duration: Duration,
}

impl SimRun {
    /// Returns the progress to report, at most 99 % while the task runs.
    fn percent(&self, now: Duration) -> u32 {
        let done = now.saturating_sub(self.started_at).as_secs_f64() / self.duration.as_secs_f64();
        (done * 100.0).min(99.0) as u32
    }
}

/// A worker with its running tasks and unacknowledged run ends.
#[derive(Debug)]
pub(super) struct SimWorker {
    pub(super) entry: WorkerEntry,
    pub(super) slowness: f64,
    pub(super) running: BTreeMap<TaskName, SimRun>,
    used: Resources,
    ended: Vec<EndedRun>,
    ends_count: u64,
    /// The lease renewal that waits for a run end, and when it must be answered.
    pub(super) pending_renewal: Option<(RenewOrder, Duration)>,
}

impl SimWorker {
    pub(super) fn new(index: usize, capacity: Resources, slowness: f64) -> Self {
        let rack = smol_str::format_smolstr!("r{}", index / 12);
        Self {
            entry: WorkerEntry {
                worker: smol_str::format_smolstr!("worker-{index:04}"),
                address: ([127, 0, 0, 1], 1).into(),
                service: "service".into(),
                failure_domain: smol_str::format_smolstr!("d{}", index % 5),
                rack: Some(rack.clone()),
                labels: vec!["a".into(), rack],
                capacity,
                leaving_in: None,
                started_unix_ms: 1,
            },
            slowness,
            running: BTreeMap::new(),
            used: Resources::ZERO,
            ended: Vec::new(),
            ends_count: 0,
            pending_renewal: None,
        }
    }

    /// Starts a task.
    ///
    /// # Panics
    /// The task does not fit: the scheduler placed more on the worker than its capacity.
    pub(super) fn start(
        &mut self,
        order: &StartOrder,
        size: &Resources,
        duration: Duration,
        now: Duration,
    ) {
        self.used = self.used.saturating_add(size);
        let worker = &self.entry.worker;
        assert!(
            self.used.fits_in(&self.entry.capacity),
            "the tasks on {worker} exceed its capacity"
        );
        let run = SimRun {
            run: order.run,
            started_at: now,
            duration,
        };
        self.running.insert(order.task.clone(), run);
    }

    /// Ends a running task and keeps its end until the scheduler acknowledges it.
    pub(super) fn end(&mut self, task: &TaskName, reason: EndReason, size: &Resources) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.used = self.used.saturating_sub(size);
        self.ends_count += 1;
        self.ended.push(EndedRun {
            number: self.ends_count,
            task: task.clone(),
            run: run.run,
            reason,
            checkpoint: "".into(),
        });
    }

    /// Drops the acknowledged run ends; returns whether the renewal is to be answered at once.
    pub(super) fn renew(&mut self, order: &RenewOrder) -> bool {
        self.ended.retain(|end| end.number > order.ends_saved);
        !self.ended.is_empty() || order.wait.is_zero()
    }

    /// Returns the answer to a lease renewal.
    pub(super) fn answer(&self, clock: Duration, now: Duration) -> RenewAnswer {
        let running = self.running.iter();
        RenewAnswer {
            started_unix_ms: 1,
            clock,
            running: running
                .map(|(task, run)| RunningTask {
                    task: task.clone(),
                    run: run.run,
                    checkpoint: "".into(),
                    percent: run.percent(now),
                })
                .collect(),
            ended: self.ended.iter().take(ENDS_PER_ANSWER).cloned().collect(),
            ends_left_out: 0,
            ended_complete: self.ended.len() < ENDS_PER_ANSWER,
        }
    }
}
