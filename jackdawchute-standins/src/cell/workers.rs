//! In-memory workers that record every start.

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

use super::WorkersHandle;
use crate::lock::lock;

/// The most run ends in an answer, as the users' platform states it.
const ENDS_PER_ANSWER: usize = 500;
/// How often a waiting lease renewal checks for ended runs.
const RENEWAL_POLL_PERIOD: Duration = Duration::from_millis(5);

/// One run of a task on a worker, from its start on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRecord {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskName,
    /// The number of the task's run.
    pub run: RunNumber,
    /// When the run began.
    pub began_at: Instant,
    /// When the run ended; `None` while it runs.
    pub ended_at: Option<Instant>,
    /// How the run ended; `None` while it runs, and if a crash of the worker ended it.
    pub reason: Option<EndReason>,
    /// Whether the scheduler acknowledged the run's end as saved before the worker lease lapsed.
    pub saved: bool,
}

/// A run in progress; `record` is its index in [`State::records`].
#[derive(Clone, Copy, Debug)]
struct Running {
    run: RunNumber,
    began_at: Instant,
    task_time: Duration,
    record: usize,
}

impl Running {
    /// Returns which share of its time the run has taken.
    fn percent(&self) -> u32 {
        let share = self.began_at.elapsed().div_duration_f64(self.task_time);
        (share * 100.0).min(100.0) as u32
    }
}

/// An ended run that the scheduler has not acknowledged as saved.
#[derive(Clone, Debug)]
struct Ended {
    end: EndedRun,
    record: usize,
    /// Whether the worker lease has lapsed since; after that the scheduler may have started the
    /// task on another worker.
    lapsed: bool,
}

/// One worker incarnation.
#[derive(Debug)]
struct Worker {
    started_unix_ms: u64,
    started_at: Instant,
    token: FencingToken,
    running: BTreeMap<TaskName, Running>,
    /// The ended runs that are not acknowledged as saved yet.
    ended: Vec<Ended>,
    ends_count: u64,
    /// The highest run of each task that was stopped or ended here; only later runs may start.
    highest_ended_run: BTreeMap<TaskName, RunNumber>,
    /// When the worker lease lapses, on the worker's clock.
    lease_until: Duration,
}

impl Worker {
    fn new(started_unix_ms: u64) -> Self {
        Self {
            started_unix_ms,
            started_at: Instant::now(),
            token: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends_count: 0,
            highest_ended_run: BTreeMap::new(),
            lease_until: Duration::ZERO,
        }
    }

    /// The worker's clock: the time since its start.
    fn clock(&self) -> Duration {
        self.started_at.elapsed()
    }
}

#[derive(Debug)]
struct State {
    /// How long the runs take that begin from now on.
    task_time: Duration,
    workers: BTreeMap<WorkerId, Worker>,
    records: Vec<WorkerRecord>,
}

/// A fleet of workers whose tasks run for the time that a test sets.
#[derive(Clone, Debug)]
pub struct MemoryWorkers {
    state: Arc<Mutex<State>>,
}

impl MemoryWorkers {
    /// Creates `count` workers, named `w0` and so on.
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

    /// Returns a new handle, for one instance.
    pub fn handle(&self) -> WorkersHandle {
        WorkersHandle::new(self.clone())
    }

    /// Makes each run that begins from now on take `task_time`.
    pub fn set_task_time(&self, task_time: Duration) {
        lock(&self.state).task_time = task_time;
    }

    /// Returns the workers' directory entries, of 4 cores each.
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
            started_unix_ms: worker.started_unix_ms,
        };
        lock(&self.state).workers.iter().map(entry).collect()
    }

    /// Returns the records of all runs so far, in the order of their starts.
    pub fn records(&self) -> Vec<WorkerRecord> {
        let mut state = lock(&self.state);
        state.advance();
        state.records.clone()
    }

    /// Crashes a worker with its tasks and starts its next incarnation, without any state of this
    /// one.
    ///
    /// ```
    /// use jackdawchute_standins::cell::MemoryWorkers;
    ///
    /// let workers = MemoryWorkers::new(1, std::time::Duration::from_millis(10));
    /// workers.crash(&"w0".into());
    /// assert_eq!(workers.entries()[0].started_unix_ms, 2);
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
        *worker = Worker::new(worker.started_unix_ms + 1);
    }
}

impl State {
    /// Ends the runs whose task time has passed or whose worker lease has lapsed.
    ///
    /// Each gets the time at which it was due, so that it does not matter when this is called.
    fn advance(&mut self) {
        let now = Instant::now();
        let mut ends = Vec::new();
        for (id, worker) in &self.workers {
            let lapses_at = worker.started_at + worker.lease_until;
            for (task, running) in &worker.running {
                let done_at = running.began_at + running.task_time;
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
        worker.ends_count += 1;
        let end = EndedRun {
            number: worker.ends_count,
            task: task.clone(),
            run: running.run,
            reason,
            checkpoint: "".into(),
        };
        worker.refuse_up_to(task, running.run);
        worker.ended.push(Ended {
            end,
            record: running.record,
            lapsed: false,
        });
        let record = &mut self.records[running.record];
        record.ended_at = Some(at);
        record.reason = Some(reason);
    }

    /// Returns the worker if it accepts the fencing token, which becomes its highest.
    fn accepting_worker(&mut self, id: &WorkerId, token: FencingToken) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(id)?;
        if token < worker.token {
            return None;
        }
        worker.token = token;
        Some(worker)
    }

    /// Applies a renewal's lease and acknowledged ends, and answers it; `None` if its token is
    /// refused.
    fn renew(&mut self, order: &RenewOrder) -> Option<RenewAnswer> {
        self.advance();
        let worker = self.accepting_worker(&order.worker, order.token)?;
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
            percent: running.percent(),
        });
        let answer = RenewAnswer {
            started_unix_ms: worker.started_unix_ms,
            clock: worker.clock(),
            running: running.collect(),
            ended: worker
                .ended
                .iter()
                .take(ENDS_PER_ANSWER)
                .map(|it| it.end.clone())
                .collect(),
            ends_left_out: 0,
            ended_complete: worker.ended.len() < ENDS_PER_ANSWER,
        };
        for it in saved.iter().filter(|it| !it.lapsed) {
            self.records[it.record].saved = true;
        }
        Some(answer)
    }
}

impl Worker {
    /// Makes the worker refuse this run of a task and all earlier ones.
    fn refuse_up_to(&mut self, task: &TaskName, run: RunNumber) {
        let highest = self.highest_ended_run.entry(task.clone()).or_default();
        *highest = run.max(*highest);
    }

    /// Returns why a start is refused; `None` if it is accepted.
    fn refusal(&self, order: &StartOrder) -> Option<StartRefusal> {
        let ended = self
            .highest_ended_run
            .get(&order.task)
            .copied()
            .unwrap_or_default();
        let running = self.running.get(&order.task).map(|running| running.run);
        if order.run <= ended || running.is_some_and(|running| running > order.run) {
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
        let (record, task_time) = (state.records.len(), state.task_time);
        let Some(worker) = state.accepting_worker(&order.worker, order.token) else {
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
            task_time,
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
        let Some(worker) = state.accepting_worker(&order.worker, order.token) else {
            return Err(Error::Fenced("stop", order.worker.to_string()));
        };
        let clock = worker.clock();
        worker.refuse_up_to(&order.task, order.run);
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
        const NAME: &str = "renew lease";
        let mut incarnation = None;
        loop {
            let answer = lock(&self.state).renew(order);
            let Some(answer) = answer else {
                return Err(Error::Fenced(NAME, order.worker.to_string()));
            };
            if *incarnation.get_or_insert(answer.started_unix_ms) != answer.started_unix_ms {
                let cause = "the worker crashed".to_owned();
                return Err(Error::Unavailable(NAME, order.worker.to_string(), cause));
            }
            if !answer.ended.is_empty() || Instant::now() >= deadline {
                return Ok(answer);
            }
            tokio::time::sleep(RENEWAL_POLL_PERIOD).await;
        }
    }
}
