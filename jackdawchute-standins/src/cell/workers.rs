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
    EndReason, EndedRun, RenewAnswer, RenewOrder, RunningTask, StartAnswer, StartOrder,
    StartRefusal, StopOrder, TaskName, WorkerEntry,
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
    /// How it ended; `None` while it runs and for what a crash has ended.
    pub reason: Option<EndReason>,
    /// Whether the scheduler let the worker forget its end, with no lapse of the lease between.
    pub saved: bool,
}

/// A run, and its place in the record.
#[derive(Clone, Copy, Debug)]
struct Running {
    run: RunNumber,
    began_at: Instant,
    record: usize,
}

/// An end that the scheduler has not saved yet.
#[derive(Clone, Debug)]
struct Ended {
    end: EndedRun,
    record: usize,
    /// The lease has lapsed since: whoever waited for that may have started the task elsewhere.
    lapsed: bool,
}

/// One life of a worker.
#[derive(Debug)]
struct Worker {
    born_unix_ms: u64,
    born_at: Instant,
    token: FencingToken,
    running: BTreeMap<TaskName, Running>,
    /// The ends that are not saved yet.
    ended: Vec<Ended>,
    ends: u64,
    /// The highest run of each task that was stopped or ended here.
    barred: BTreeMap<TaskName, RunNumber>,
    lease_until: Duration,
}

impl Worker {
    fn new(born_unix_ms: u64) -> Self {
        Self {
            born_unix_ms,
            born_at: Instant::now(),
            token: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            barred: BTreeMap::new(),
            lease_until: Duration::ZERO,
        }
    }

    fn clock(&self) -> Duration {
        self.born_at.elapsed()
    }
}

#[derive(Debug)]
struct State {
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
        let names = (0..count).map(|index| smol_str::format_smolstr!("w{index}"));
        Self {
            state: Arc::new(Mutex::new(State {
                task_time,
                workers: names.map(|name| (name, Worker::new(1))).collect(),
                records: Vec::new(),
            })),
        }
    }

    /// The workers as the platform lists them, of 4 cores each.
    pub fn entries(&self) -> Vec<WorkerEntry> {
        let address: SocketAddr = ([127, 0, 0, 1], 9).into();
        let entry = |(id, worker): (&WorkerId, &Worker)| WorkerEntry {
            worker: id.clone(),
            address,
            service: "service".into(),
            failure_domain: "a".into(),
            rack: None,
            labels: Vec::new(),
            capacity: Resources::new(4_000, 4_096, 0),
            leaving_in: None,
            started_unix_ms: worker.born_unix_ms,
        };
        lock(&self.state).workers.iter().map(entry).collect()
    }

    /// All starts so far.
    pub fn records(&self) -> Vec<WorkerRecord> {
        let mut state = lock(&self.state);
        state.advance();
        state.records.clone()
    }

    /// Ends a worker's life and what runs there; its next one knows nothing of it.
    ///
    /// ```
    /// use jackdawchute_standins::cell::MemoryWorkers;
    ///
    /// let workers = MemoryWorkers::new(1, std::time::Duration::from_millis(10));
    /// workers.crash(&"w0".into());
    /// assert_eq!(workers.entries()[0].born_unix_ms, 2);
    /// ```
    pub fn crash(&self, worker: &WorkerId) {
        let mut state = lock(&self.state);
        state.advance();
        let State {
            workers, records, ..
        } = &mut *state;
        let Some(worker) = workers.get_mut(worker) else {
            return;
        };
        for running in worker.running.values() {
            records[running.record].ended_at = Some(Instant::now());
        }
        *worker = Worker::new(worker.born_unix_ms + 1);
    }
}

impl State {
    /// Ends what has run its time, or has lost its lease; when somebody looks does not matter.
    fn advance(&mut self) {
        let now = Instant::now();
        let task_time = self.task_time;
        let mut ends = Vec::new();
        for (id, worker) in &self.workers {
            let lapses_at = worker.born_at + worker.lease_until;
            for (task, running) in &worker.running {
                let done_at = running.began_at + task_time;
                let (at, reason) = if done_at <= lapses_at {
                    (done_at, EndReason::Succeeded)
                } else {
                    (lapses_at, EndReason::LeaseLapsed)
                };
                if at <= now {
                    ends.push((at, id.clone(), task.clone(), reason));
                }
            }
        }
        ends.sort_by_key(|end| end.0);
        for (at, worker, task, reason) in ends {
            self.end(&worker, &task, reason, at);
        }
        for worker in self.workers.values_mut() {
            if worker.clock() >= worker.lease_until {
                worker.ended.iter_mut().for_each(|it| it.lapsed = true);
            }
        }
    }

    fn end(&mut self, id: &WorkerId, task: &TaskName, reason: EndReason, at: Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(running) = worker.running.remove(task) else {
            return;
        };
        worker.ends += 1;
        let end = EndedRun {
            number: worker.ends,
            task: task.clone(),
            run: running.run,
            reason,
            checkpoint: "".into(),
        };
        worker.bar(task, running.run);
        worker.ended.push(Ended {
            end,
            record: running.record,
            lapsed: false,
        });
        let record = &mut self.records[running.record];
        record.ended_at = Some(at);
        record.reason = Some(reason);
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

    /// Takes a look's lease and saved ends, and answers it.
    fn look(&mut self, order: &RenewOrder) -> Option<RenewAnswer> {
        self.advance();
        let worker = self.obeying(&order.worker, order.token)?;
        if let Some(until) = order.lease_until {
            worker.lease_until = worker.lease_until.max(until);
        }
        let all = std::mem::take(&mut worker.ended).into_iter();
        let (saved, ended): (Vec<_>, Vec<_>) =
            all.partition(|it| it.end.number <= order.ends_saved);
        worker.ended = ended;
        let running = worker.running.iter().map(|(task, running)| RunningTask {
            task: task.clone(),
            run: running.run,
            checkpoint: "".into(),
            percent: 50,
        });
        let answer = RenewAnswer {
            started_unix_ms: worker.born_unix_ms,
            clock: worker.clock(),
            running: running.collect(),
            ended: worker.ended.iter().map(|it| it.end.clone()).collect(),
        };
        for it in saved.iter().filter(|it| !it.lapsed) {
            self.records[it.record].saved = true;
        }
        Some(answer)
    }
}

impl Worker {
    /// Lets neither this run of a task nor an earlier one start here any more.
    fn bar(&mut self, task: &TaskName, run: RunNumber) {
        let barred = self.barred.entry(task.clone()).or_default();
        *barred = run.max(*barred);
    }

    /// Why a start is refused; `None` if it may go on.
    fn refusal(&self, order: &StartOrder) -> Option<StartRefusal> {
        let over = self.barred.get(&order.task).copied().unwrap_or_default();
        let running = self.running.get(&order.task).map(|running| running.run);
        if order.run <= over || running.is_some_and(|running| running > order.run) {
            Some(StartRefusal::Superseded)
        } else if order.lease_until < self.clock() {
            Some(StartRefusal::Late)
        } else {
            None
        }
    }
}

#[async_trait]
impl Workers for MemoryWorkers {
    async fn start(&self, order: &StartOrder) -> StartAnswer {
        let mut state = lock(&self.state);
        state.advance();
        let record = state.records.len();
        let Some(worker) = state.obeying(&order.worker, order.token) else {
            return StartAnswer::Refused {
                reason: StartRefusal::Fenced,
                clock: None,
            };
        };
        let clock = worker.clock();
        if let Some(reason) = worker.refusal(order) {
            let clock = Some(clock);
            return StartAnswer::Refused { reason, clock };
        }
        worker.lease_until = worker.lease_until.max(order.lease_until);
        let running = worker.running.get(&order.task);
        if running.is_some_and(|running| running.run == order.run) {
            return StartAnswer::Started { clock };
        }
        let began_at = Instant::now();
        let running = Running {
            run: order.run,
            began_at,
            record,
        };
        worker.running.insert(order.task.clone(), running);
        state.records.push(WorkerRecord {
            worker: order.worker.clone(),
            task: order.task.clone(),
            run: order.run,
            began_at,
            ended_at: None,
            reason: None,
            saved: false,
        });
        StartAnswer::Started { clock }
    }

    async fn stop(&self, order: &StopOrder) -> Result<Duration> {
        let mut state = lock(&self.state);
        state.advance();
        let Some(worker) = state.obeying(&order.worker, order.token) else {
            let cause = "fenced".to_owned();
            return Err(Error::Unavailable("stop", order.worker.to_string(), cause));
        };
        let clock = worker.clock();
        worker.bar(&order.task, order.run);
        let running = worker.running.get(&order.task);
        if running.is_some_and(|running| running.run <= order.run) {
            state.end(
                &order.worker,
                &order.task,
                EndReason::Stopped,
                Instant::now(),
            );
        }
        Ok(clock)
    }

    async fn renew(&self, order: &RenewOrder) -> Result<RenewAnswer> {
        let deadline = Instant::now() + order.wait;
        let failed = |cause: &str| {
            let cause = cause.to_owned();
            Err(Error::Unavailable("hold", order.worker.to_string(), cause))
        };
        let mut life = None;
        loop {
            let answer = lock(&self.state).look(order);
            let Some(answer) = answer else {
                return failed("fenced");
            };
            if *life.get_or_insert(answer.started_unix_ms) != answer.started_unix_ms {
                return failed("crashed");
            }
            if !answer.ended.is_empty() || Instant::now() >= deadline {
                return Ok(answer);
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }
}
