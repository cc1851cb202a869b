//! In-memory workers that record every start.

use std::{
    future::pending,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use jackdawchute_cell::{Error, Result, Workers};
use jackdawchute_scheduler::{
    EndReason, JobGraph, RenewAnswer, RenewOrder, StartAnswer, StartOrder, StopOrder, TaskName,
    WorkerEntry,
};
use jackdawchute_types::{JobId, Resources, RunNumber, WorkerId};

use super::{
    fleet::Fleet,
    late_orders::{Order, OrderKind},
    start_ages::StartAges,
    worker::{ticket_for, Worker},
    WorkersHandle,
};
use crate::lock::lock;

/// How often a waiting lease renewal checks for ended runs.
const RENEWAL_POLL_PERIOD: Duration = Duration::from_millis(5);
/// The processor of a worker, unless a test restarts it with another.
const CAPACITY_MILLICORES: u64 = 4_000;
/// The seed of the workers' clocks, unless a test sets another.
const CLOCKS_SEED: u64 = 0x636c_6f63_6b73;

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
    /// Whether the order to start was carried out late.
    pub late: bool,
}

/// A start that brought a worker above its capacity, by the worker's own count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overload {
    /// The worker.
    pub worker: WorkerId,
    /// The task that was started.
    pub task: TaskName,
    /// When its run began.
    pub began_at: Instant,
    /// The thousandths of a core that all runs used then, those that were being stopped included.
    pub used_millicores: u64,
    /// The thousandths of a core that the worker has.
    pub capacity_millicores: u64,
    /// Whether the order to start was carried out late.
    pub late: bool,
}

/// A fleet of workers whose tasks run for the time that a test sets.
#[derive(Clone, Debug)]
pub struct MemoryWorkers {
    fleet: Arc<Mutex<Fleet>>,
}

impl MemoryWorkers {
    /// Creates `count` workers, named `w0` and so on, whose clocks start at an arbitrary time in each
    /// incarnation.
    pub fn new(count: usize, task_time: Duration) -> Self {
        let names = (0..count).map(|index| smol_str::format_smolstr!("w{index}"));
        let now = Instant::now();
        let mut ages = StartAges::drawn(CLOCKS_SEED);
        let mut worker = || Worker::new(1, CAPACITY_MILLICORES, ages.first(), now);
        let workers = names.map(|name| (name, worker())).collect();
        Self {
            fleet: Arc::new(Mutex::new(Fleet::new(workers, ages, task_time))),
        }
    }

    /// Returns a new handle, for one instance.
    pub fn handle(&self) -> WorkersHandle {
        WorkersHandle::new(self.clone())
    }

    /// Draws what the clocks show at the start of the present and later incarnations with a seed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell::MemoryWorkers;
    ///
    /// let workers = MemoryWorkers::new(1, Duration::from_millis(10));
    /// workers.draw_clocks(7);
    /// ```
    pub fn draw_clocks(&self, seed: u64) {
        let mut fleet = lock(&self.fleet);
        let mut ages = StartAges::drawn(seed);
        for worker in fleet.workers.values_mut() {
            worker.set_clock(ages.first(), 1.0);
        }
        fleet.start_ages = ages;
    }

    /// Makes the clocks of the present incarnations show `age` at their start and those of later ones
    /// zero, so that the lease ends on the former lie ahead of the latter, and all clocks run at
    /// `rate`, a multiple of the true time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell::MemoryWorkers;
    ///
    /// let workers = MemoryWorkers::new(1, Duration::from_millis(10));
    /// workers.set_clocks(Duration::from_secs(12), 0.98);
    /// ```
    pub fn set_clocks(&self, age: Duration, rate: f64) {
        let mut fleet = lock(&self.fleet);
        let workers = fleet.workers.values_mut();
        workers.for_each(|worker| worker.set_clock(age, rate));
        fleet.start_ages = StartAges::Set(Duration::ZERO);
    }

    /// Makes the clocks of the next incarnations show `age` at their start, below or above those of
    /// the present ones.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell::MemoryWorkers;
    ///
    /// let workers = MemoryWorkers::new(1, Duration::from_millis(10));
    /// workers.set_next_clocks(Duration::from_secs(8_030));
    /// workers.crash(&"w0".into());
    /// ```
    pub fn set_next_clocks(&self, age: Duration) {
        lock(&self.fleet).start_ages = StartAges::Set(age);
    }

    /// Makes each run that begins from now on take `task_time`.
    pub fn set_task_time(&self, task_time: Duration) {
        // Late orders that are due begin their runs before.
        self.advanced(|fleet| fleet.task_time = task_time);
    }

    /// Makes each run that is ordered to stop from now on take `stop_time` to end.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell::MemoryWorkers;
    ///
    /// let workers = MemoryWorkers::new(1, Duration::from_millis(10));
    /// workers.set_stop_time(Duration::from_millis(900));
    /// ```
    pub fn set_stop_time(&self, stop_time: Duration) {
        self.advanced(|fleet| fleet.stop_time = stop_time);
    }

    /// Sets the longest lease that the workers take, counted from when an order is carried out.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell::MemoryWorkers;
    ///
    /// let workers = MemoryWorkers::new(1, Duration::from_millis(10));
    /// workers.set_hold_max(Duration::from_secs(6));
    /// ```
    pub fn set_hold_max(&self, hold_max: Duration) {
        self.advanced(|fleet| fleet.hold_max = hold_max);
    }

    /// Leaves orders of these kinds to a worker without an answer from now on, and carries each out
    /// `delay` after its arrival, in whichever incarnation the worker then is; with `None`, they
    /// are answered again. Orders that have arrived keep their delay.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell::{MemoryWorkers, OrderKind};
    ///
    /// let workers = MemoryWorkers::new(1, Duration::from_millis(10));
    /// workers.set_late(&"w0".into(), &[OrderKind::Start], Some(Duration::from_secs(6)));
    /// assert!(workers.late_orders(OrderKind::Start).is_empty());
    /// ```
    pub fn set_late(&self, worker: &WorkerId, kinds: &[OrderKind], delay: Option<Duration>) {
        self.advanced(|fleet| fleet.late_orders.set_delay(worker, kinds, delay));
    }

    /// Carries out all late orders to a worker that have arrived.
    ///
    /// ```
    /// use jackdawchute_standins::cell::MemoryWorkers;
    ///
    /// let workers = MemoryWorkers::new(1, std::time::Duration::from_millis(10));
    /// workers.carry_out_late(&"w0".into());
    /// ```
    pub fn carry_out_late(&self, worker: &WorkerId) {
        let now = Instant::now();
        let mut fleet = lock(&self.fleet);
        fleet.late_orders.make_due(worker, now);
        fleet.advance(now);
    }

    /// Returns the worker of each late order of a kind that has arrived and is not carried out yet.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell::{MemoryWorkers, OrderKind};
    ///
    /// let workers = MemoryWorkers::new(1, Duration::from_millis(10));
    /// assert!(workers.late_orders(OrderKind::Renewal).is_empty());
    /// ```
    pub fn late_orders(&self, kind: OrderKind) -> Vec<WorkerId> {
        self.advanced(|fleet| fleet.late_orders.workers(kind))
    }

    /// Makes the workers count the processor that the tasks of a job need.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_scheduler::JobGraph;
    /// use jackdawchute_standins::cell::MemoryWorkers;
    ///
    /// let workers = MemoryWorkers::new(1, Duration::from_millis(10));
    /// workers.register_job(&"job".into(), &JobGraph::default());
    /// ```
    pub fn register_job(&self, job: &JobId, graph: &JobGraph) {
        let steps = graph.steps.iter();
        let millicores = steps.map(|step| step.resources.processor_millicores);
        let mut fleet = lock(&self.fleet);
        fleet
            .step_millicores
            .insert(job.clone(), millicores.collect());
    }

    /// Returns the workers' directory entries, of 4 cores each unless restarted with another
    /// capacity.
    pub fn entries(&self) -> Vec<WorkerEntry> {
        let address: SocketAddr = ([127, 0, 0, 1], 9).into();
        let entry = |(id, worker): (&WorkerId, &Worker)| WorkerEntry {
            worker: id.clone(),
            address,
            service: "service".into(),
            failure_domain: "a".into(),
            rack: None,
            labels: Vec::new(),
            capacity: Resources::new(worker.capacity_millicores, 4_096, 0),
            leaving_in: None,
            started_unix_ms: worker.started_unix_ms,
        };
        lock(&self.fleet).workers.iter().map(entry).collect()
    }

    /// Returns the records of all runs so far, in the order of their starts.
    pub fn records(&self) -> Vec<WorkerRecord> {
        self.advanced(|fleet| fleet.records.clone())
    }

    /// Returns the starts that brought a worker above its capacity, in their order.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell::MemoryWorkers;
    ///
    /// let workers = MemoryWorkers::new(1, Duration::from_millis(10));
    /// assert_eq!(workers.overloads(), []);
    /// ```
    pub fn overloads(&self) -> Vec<Overload> {
        self.advanced(|fleet| fleet.overloads.clone())
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
        lock(&self.fleet).restart(worker, None, Instant::now());
    }

    /// Does the same, with a next incarnation of another capacity.
    ///
    /// ```
    /// use jackdawchute_standins::cell::MemoryWorkers;
    ///
    /// let workers = MemoryWorkers::new(1, std::time::Duration::from_millis(10));
    /// workers.crash_to_capacity(&"w0".into(), 2_500);
    /// assert_eq!(workers.entries()[0].capacity.processor_millicores, 2_500);
    /// ```
    pub fn crash_to_capacity(&self, worker: &WorkerId, millicores: u64) {
        lock(&self.fleet).restart(worker, Some(millicores), Instant::now());
    }

    /// Returns a ticket that only the present incarnation of a worker accepts; `None` if there is no
    /// such worker.
    ///
    /// ```
    /// use jackdawchute_standins::cell::MemoryWorkers;
    ///
    /// let workers = MemoryWorkers::new(1, std::time::Duration::from_millis(10));
    /// let earlier = workers.ticket(&"w0".into());
    /// workers.crash(&"w0".into());
    /// assert_ne!(workers.ticket(&"w0".into()), earlier);
    /// ```
    pub fn ticket(&self, worker: &WorkerId) -> Option<String> {
        let fleet = lock(&self.fleet);
        let worker = fleet.workers.get(worker)?;
        Some(ticket_for(worker.started_unix_ms))
    }

    /// Returns what `read` does with the state as it is now.
    fn advanced<T>(&self, read: impl FnOnce(&mut Fleet) -> T) -> T {
        let mut fleet = lock(&self.fleet);
        fleet.advance(Instant::now());
        read(&mut fleet)
    }

    /// Returns the outcome of an order that `execute` carries out, or `None` if it is one of those
    /// that are carried out late.
    fn execute<T>(
        &self,
        order: Order,
        execute: impl FnOnce(&mut Fleet, Instant) -> T,
    ) -> Option<T> {
        let now = Instant::now();
        let mut fleet = lock(&self.fleet);
        fleet.advance(now);
        let is_late = fleet.late_orders.take(&order, now);
        (!is_late).then(|| execute(&mut fleet, now))
    }
}

#[async_trait]
impl Workers for MemoryWorkers {
    async fn start(&self, order: &StartOrder) -> StartAnswer {
        let execute = |fleet: &mut Fleet, now| fleet.start(order, now, false);
        match self.execute(Order::Start(order.clone()), execute) {
            Some(answer) => answer,
            None => pending().await,
        }
    }

    async fn stop(&self, order: &StopOrder) -> Result<Duration> {
        let execute = |fleet: &mut Fleet, now| fleet.stop(order, now);
        match self.execute(Order::Stop(order.clone()), execute) {
            Some(answer) => answer,
            None => pending().await,
        }
    }

    async fn renew(&self, order: &RenewOrder) -> Result<RenewAnswer> {
        const NAME: &str = "renew lease";
        let deadline = Instant::now() + order.wait;
        let execute = |fleet: &mut Fleet, now| fleet.renew(order, now);
        let Some(mut answer) = self.execute(Order::Renewal(order.clone()), execute) else {
            return pending().await;
        };
        loop {
            let Some(answered) = answer else {
                return Err(Error::Fenced(NAME, order.worker.to_string()));
            };
            if !answered.ended.is_empty() || Instant::now() >= deadline {
                return Ok(answered);
            }
            tokio::time::sleep(RENEWAL_POLL_PERIOD).await;
            let started_unix_ms = answered.started_unix_ms;
            let renewed = self.advanced(|fleet| {
                let worker = fleet.workers.get(&order.worker);
                // A crash ends the connection, so that the next incarnation sees no order.
                let is_same = worker.is_some_and(|it| it.started_unix_ms == started_unix_ms);
                is_same.then(|| fleet.renew(order, Instant::now()))
            });
            let Some(renewed) = renewed else {
                let cause = "the worker crashed".to_owned();
                return Err(Error::Unavailable(NAME, order.worker.to_string(), cause));
            };
            answer = renewed;
        }
    }
}
