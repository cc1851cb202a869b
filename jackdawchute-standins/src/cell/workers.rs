//! Workers in memory that start what they are told and record it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use jackdawchute_cell::{Error, Result, Workers};
use jackdawchute_scheduler::{
    EndReason, EndedRun, HoldAnswer, HoldOrder, RefusedStart, RunningTask, StartAnswer, StartOrder,
    StopOrder, TaskName, WorkerEntry,
};
use jackdawchute_types::{FencingToken, Resources, RunNumber, WorkerId};

use crate::lock::lock;

/// How often a waiting look checks for an end.
const LOOK_PERIOD: Duration = Duration::from_millis(5);

/// A start that a worker has carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRecord {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskName,
    /// Which of its runs.
    pub run: RunNumber,
    /// When it began.
    pub began_at: Instant,
    /// When it ended, if it has.
    pub ended_at: Option<Instant>,
}

#[derive(Debug)]
struct Worker {
    token: FencingToken,
    running: BTreeMap<TaskName, (RunNumber, Instant)>,
    ended: Vec<EndedRun>,
    ends: u64,
    lease_until: Duration,
}

#[derive(Debug)]
struct State {
    began_at: Instant,
    task_time: Duration,
    workers: BTreeMap<WorkerId, Worker>,
    records: Vec<WorkerRecord>,
}

/// Workers whose tasks all take the same time.
#[derive(Clone, Debug)]
pub struct MemoryWorkers {
    state: Arc<Mutex<State>>,
}

impl MemoryWorkers {
    /// As many workers, named `w0` and so on.
    pub fn new(count: usize, task_time: Duration) -> Self {
        let worker = |_| Worker {
            token: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            lease_until: Duration::ZERO,
        };
        let workers =
            (0..count).map(|index| (smol_str::format_smolstr!("w{index}"), worker(index)));
        Self {
            state: Arc::new(Mutex::new(State {
                began_at: Instant::now(),
                task_time,
                workers: workers.collect(),
                records: Vec::new(),
            })),
        }
    }

    /// The workers as the platform lists them, of 4 cores each.
    pub fn entries(&self) -> Vec<WorkerEntry> {
        let address: SocketAddr = ([127, 0, 0, 1], 9).into();
        let entry = |worker: &WorkerId| WorkerEntry {
            worker: worker.clone(),
            address,
            service: "service".into(),
            failure_domain: "a".into(),
            rack: None,
            labels: Vec::new(),
            capacity: Resources::new(4_000, 4_096, 0),
            leaving_in: None,
            born_unix_ms: 1,
        };
        lock(&self.state).workers.keys().map(entry).collect()
    }

    /// All starts so far.
    pub fn records(&self) -> Vec<WorkerRecord> {
        let mut state = lock(&self.state);
        state.advance();
        state.records.clone()
    }
}

impl State {
    fn clock(&self) -> Duration {
        self.began_at.elapsed()
    }

    /// Ends what has run its time, or has lost its lease.
    fn advance(&mut self) {
        let now = Instant::now();
        let clock = self.clock();
        let task_time = self.task_time;
        let mut ends = Vec::new();
        for (id, worker) in &self.workers {
            for (task, (_, began_at)) in &worker.running {
                if now >= *began_at + task_time {
                    ends.push((id.clone(), task.clone(), EndReason::Succeeded));
                } else if clock > worker.lease_until {
                    ends.push((id.clone(), task.clone(), EndReason::LeaseLapsed));
                }
            }
        }
        for (worker, task, reason) in ends {
            self.end(&worker, &task, reason);
        }
    }

    fn end(&mut self, id: &WorkerId, task: &TaskName, reason: EndReason) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some((run, _)) = worker.running.remove(task) else {
            return;
        };
        worker.ends += 1;
        worker.ended.push(EndedRun {
            number: worker.ends,
            task: task.clone(),
            run,
            reason,
            checkpoint: "".into(),
        });
        let record = self.records.iter_mut().find(|record| {
            record.worker == *id && record.task == *task && record.ended_at.is_none()
        });
        if let Some(record) = record {
            record.ended_at = Some(Instant::now());
        }
    }

    /// The worker, if the token is at least the highest that it has seen.
    fn obeying(&mut self, id: &WorkerId, token: FencingToken) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(id)?;
        if token < worker.token {
            return None;
        }
        worker.token = token;
        Some(worker)
    }
}

#[async_trait]
impl Workers for MemoryWorkers {
    async fn start(&self, order: &StartOrder) -> StartAnswer {
        let mut state = lock(&self.state);
        state.advance();
        let clock = state.clock();
        let refused = |reason| StartAnswer::Refused {
            reason,
            clock: Some(clock),
        };
        let Some(worker) = state.obeying(&order.worker, order.token) else {
            return refused(RefusedStart::Fenced);
        };
        if order.lease_until < clock {
            return refused(RefusedStart::Late);
        }
        worker.lease_until = worker.lease_until.max(order.lease_until);
        let over = |end: &EndedRun| end.task == order.task && end.run >= order.run;
        if worker.ended.iter().any(over) {
            return refused(RefusedStart::Superseded);
        }
        let now = Instant::now();
        worker.running.insert(order.task.clone(), (order.run, now));
        state.records.push(WorkerRecord {
            worker: order.worker.clone(),
            task: order.task.clone(),
            run: order.run,
            began_at: now,
            ended_at: None,
        });
        StartAnswer::Started { clock }
    }

    async fn stop(&self, order: &StopOrder) -> Result<Duration> {
        let mut state = lock(&self.state);
        state.advance();
        if state.obeying(&order.worker, order.token).is_none() {
            let cause = "fenced".to_owned();
            return Err(Error::Unavailable("stop", order.worker.to_string(), cause));
        }
        state.end(&order.worker, &order.task, EndReason::Stopped);
        Ok(state.clock())
    }

    async fn hold(&self, order: &HoldOrder) -> Result<HoldAnswer> {
        let deadline = Instant::now() + order.wait;
        loop {
            {
                let mut state = lock(&self.state);
                state.advance();
                let clock = state.clock();
                let Some(worker) = state.obeying(&order.worker, order.token) else {
                    let cause = "fenced".to_owned();
                    return Err(Error::Unavailable("hold", order.worker.to_string(), cause));
                };
                if let Some(until) = order.lease_until {
                    worker.lease_until = worker.lease_until.max(until);
                }
                worker.ended.retain(|end| end.number > order.ends_saved);
                if !worker.ended.is_empty() || Instant::now() >= deadline {
                    let running = worker.running.iter().map(|(task, (run, _))| RunningTask {
                        task: task.clone(),
                        run: *run,
                        checkpoint: "".into(),
                        percent: 50,
                    });
                    return Ok(HoldAnswer {
                        born_unix_ms: 1,
                        clock,
                        running: running.collect(),
                        ended: worker.ended.clone(),
                    });
                }
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }
}
