//! A cell of several instances in one process, connected over TCP, on an in-memory platform.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use jackdawchute_cell::{
    Advisor, Answer, Instance, Metrics, Platform, QueueRoute, Routes, Settings, Store,
};
use jackdawchute_scheduler::{
    AdviceCost, JobGraph, JobOutcome, JobStatus, QueuePolicy, StepSpec, WorkerEntry,
};
use jackdawchute_standins::{
    cell::{
        MemoryAdvisor, MemoryDirectory, MemoryStore, MemoryWorkers, StoreHandle, TicketAdvisor,
        WorkersHandle,
    },
    proxy::{spawn_proxy, RunningProxy},
};
use jackdawchute_tenants::Caller;
use jackdawchute_types::Resources;
use tokio::{runtime::Runtime, sync::watch};

/// How long a caller waits for an answer.
pub const DEADLINE: Duration = Duration::from_secs(3);
/// How long a test waits for a condition before it fails.
pub const WAIT_MAX: Duration = Duration::from_secs(20);
/// How long each task runs.
pub const TASK_TIME: Duration = Duration::from_millis(150);

/// An instance with its own access to the platform and to its peers, which a test can deny.
pub struct TestInstance {
    pub handle: Instance,
    pub store: StoreHandle,
    pub directory: MemoryDirectory,
    pub workers: WorkersHandle,
    pub metrics: Metrics,
    /// The address at which peers reach the instance, that of its proxy.
    pub address: SocketAddr,
    /// Stands before the instance's listener for peers.
    pub proxy: RunningProxy,
    /// The runtime of an instance that a test can freeze; the others run on that of the test.
    runtime: Option<Runtime>,
}

impl TestInstance {
    /// Stops all tasks of the instance for a time, as a pause of its process does.
    pub fn freeze(&self, time: Duration) {
        let runtime = self.runtime.as_ref();
        let runtime = runtime.expect("the instance has a runtime of its own");
        runtime.spawn(async move { std::thread::sleep(time) });
    }

    /// Ends all tasks of the instance, as the end of its process does.
    pub fn kill(&mut self) {
        let runtime = self.runtime.take();
        let runtime = runtime.expect("the instance has a runtime of its own");
        runtime.shutdown_background();
    }
}

impl Drop for TestInstance {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// What a cell is made of.
pub struct CellOptions {
    /// The thousandths of a core of each instance.
    pub processors_millicores: Vec<u64>,
    /// Whether each instance has a runtime of its own, so that a test can freeze it.
    pub can_freeze: bool,
    pub advisor: Arc<dyn Advisor>,
    pub workers: usize,
    /// What the clocks of the workers show at first.
    pub worker_age: Duration,
    /// How fast the clocks of the workers run, as a multiple of the true time.
    pub worker_clock_rate: f64,
    pub task_time: Duration,
    /// Whether advice comes with tickets that only the present incarnation of a worker accepts.
    pub tickets: bool,
}

impl CellOptions {
    pub fn of_instances(instances: usize) -> Self {
        Self {
            processors_millicores: vec![1_000; instances],
            can_freeze: false,
            advisor: Arc::new(MemoryAdvisor),
            workers: 4,
            worker_age: Duration::ZERO,
            worker_clock_rate: 1.0,
            task_time: TASK_TIME,
            tickets: false,
        }
    }
}

/// The instances of a cell and the platform that they share.
pub struct Cell {
    pub instances: Vec<TestInstance>,
    pub workers: MemoryWorkers,
    /// The list of workers as the platform gives it.
    pub listed: watch::Sender<Vec<WorkerEntry>>,
    pub store: MemoryStore,
    pub routes: watch::Sender<Routes>,
    pub advisor: Arc<dyn Advisor>,
    can_freeze: bool,
    /// Differs between the cells of a test process.
    number: u32,
}

/// Returns a route whose steps need advice; each request takes the advisor 200 ms.
pub fn advised_route() -> QueueRoute {
    let mut route = route();
    route.policy.advice = Some(AdviceCost {
        fixed_ms: 200.0,
        per_worker_ms: 0.0,
        valid: Duration::from_millis(2_500),
    });
    route
}

pub fn route() -> QueueRoute {
    QueueRoute {
        host: "host".into(),
        path_prefix: "/queue/".into(),
        public: false,
        policy: QueuePolicy {
            queue: "queue".into(),
            service: "service".into(),
            priority: 0,
            attempts_max: 3,
            stretch: 10.0,
            target: Duration::from_secs(20),
            advice: None,
        },
    }
}

pub fn routes(version: u64) -> Routes {
    Routes {
        version,
        tenants: None,
        queues: vec![route()],
        body_bytes_max: 1_000_000,
    }
}

pub fn graph(tasks: u32) -> JobGraph {
    JobGraph {
        payload: "payload".into(),
        steps: vec![StepSpec {
            tasks,
            resources: Resources::new(1_000, 10, 0),
            estimate: TASK_TIME,
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

/// Starts a cell of instances with one core each.
pub async fn cell(instances: usize) -> Cell {
    cell_with_processors(&vec![1_000; instances]).await
}

/// Starts a cell of instances with these thousandths of a core, one after the other.
pub async fn cell_with_processors(processors_millicores: &[u64]) -> Cell {
    cell_with(CellOptions {
        processors_millicores: processors_millicores.to_vec(),
        ..CellOptions::of_instances(0)
    })
    .await
}

/// Starts a cell of instances that call the same advisor.
pub async fn cell_with_advisor(processors_millicores: &[u64], advisor: Arc<dyn Advisor>) -> Cell {
    cell_with(CellOptions {
        processors_millicores: processors_millicores.to_vec(),
        advisor,
        ..CellOptions::of_instances(0)
    })
    .await
}

pub async fn cell_with(options: CellOptions) -> Cell {
    static CELLS: AtomicU32 = AtomicU32::new(0);
    let store = MemoryStore::default();
    let workers = MemoryWorkers::new(options.workers, options.task_time);
    workers.set_clocks(options.worker_age, options.worker_clock_rate);
    let advisor: Arc<dyn Advisor> = match options.tickets {
        true => Arc::new(TicketAdvisor::new(workers.clone())),
        false => options.advisor,
    };
    let listed = watch::channel(workers.entries()).0;
    let mut cell = Cell {
        instances: Vec::new(),
        workers,
        listed,
        store,
        routes: watch::channel(routes(1)).0,
        advisor,
        can_freeze: options.can_freeze,
        number: CELLS.fetch_add(1, Ordering::Relaxed),
    };
    for processor_millicores in options.processors_millicores {
        cell.add_instance(processor_millicores).await;
    }
    cell.wait_until_ready().await;
    cell
}

pub async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_MAX;
    while !condition() {
        assert!(Instant::now() < deadline, "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

impl Cell {
    /// Starts a further instance.
    pub async fn add_instance(&mut self, processor_millicores: u64) {
        let handle = self.store.handle();
        let workers = self.workers.handle();
        let directory = MemoryDirectory::new(self.listed.subscribe(), self.routes.subscribe());
        let host = self.host(self.instances.len());
        // Held until the proxy has a port, which would else be the same one at times.
        let reserved = TcpListener::bind((host, 0)).expect("a loopback port is free");
        let listen = reserved.local_addr().expect("a bound listener");
        let proxy = spawn_proxy((host, 0).into(), Some(listen)).await;
        let proxy = proxy.expect("a loopback port is free");
        drop(reserved);
        let address = proxy.address;
        let settings = Settings {
            instance: smol_str::format_smolstr!("entry-{}", self.instances.len()),
            peer_listen: listen,
            peer_address: address,
            peer_source: Some(host),
            processor_millicores,
            scheduler: jackdawchute_scheduler::Settings::default(),
        };
        let platform = Platform {
            store: Arc::new(handle.clone()),
            commits: Arc::new(handle.clone()),
            workers: Arc::new(workers.clone()),
            advisor: self.advisor.clone(),
            directory: Arc::new(directory.clone()),
        };
        let metrics = Metrics::default();
        let starting = Instance::start(settings, platform, metrics.clone());
        let runtime = self.can_freeze.then(|| {
            let mut builder = tokio::runtime::Builder::new_multi_thread();
            let runtime = builder.worker_threads(1).enable_all().build();
            runtime.expect("the system allows another thread")
        });
        let started = match &runtime {
            Some(runtime) => runtime
                .spawn(starting)
                .await
                .expect("a start doesn't panic"),
            None => starting.await,
        };
        self.instances.push(TestInstance {
            handle: started.expect("the port was free just now"),
            store: handle,
            directory,
            workers,
            metrics,
            address,
            proxy,
            runtime,
        });
    }

    /// Returns the address of the instance with this index, its own among the cells of the machine.
    pub fn host(&self, index: usize) -> IpAddr {
        let last = |number: u32| (number % 254) as u8 + 1;
        let process = last(std::process::id());
        Ipv4Addr::new(127, process, last(self.number), last(index as u32)).into()
    }

    pub async fn wait_until_ready(&self) {
        for instance in &self.instances {
            wait_for("instance not ready", || instance.handle.gateway.ready()).await;
        }
    }

    /// Returns the index of the leader, as named by the store.
    pub async fn leader(&self) -> usize {
        let page = self.store.handle().read("leader", "cell", None).await;
        let row = page.expect("this handle is never denied").rows.remove(0);
        let text = String::from_utf8(row.value.expect("a saved row")).expect("rows are JSON");
        let is_named = |instance: &TestInstance| text.contains(&instance.address.to_string());
        self.instances
            .iter()
            .position(is_named)
            .expect("the leader is an instance")
    }

    /// Submits a job at the instance with this index.
    pub async fn submit(&self, index: usize, job: &str, tasks: u32) -> Answer {
        let gateway = &self.instances[index].handle.gateway;
        gateway
            .submit(
                Caller::default(),
                job.into(),
                graph(tasks),
                &route(),
                DEADLINE,
            )
            .await
    }

    /// Submits a job repeatedly, as callers do, until it is accepted.
    pub async fn submit_until_accepted(&self, index: usize, job: &str, tasks: u32) {
        self.submit_job(index, job, &graph(tasks), &route()).await;
    }

    /// Does the same with a job of these steps, for the queue of `route`.
    pub async fn submit_job(&self, index: usize, job: &str, graph: &JobGraph, route: &QueueRoute) {
        self.workers.register_job(&job.into(), graph);
        let deadline = Instant::now() + WAIT_MAX;
        let gateway = &self.instances[index].handle.gateway;
        loop {
            let submitted = gateway.submit(
                Caller::default(),
                job.into(),
                graph.clone(),
                route,
                DEADLINE,
            );
            let answer = submitted.await;
            if answer == Answer::Accepted {
                return;
            }
            assert!(Instant::now() < deadline, "{job}: {answer:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub async fn status(&self, index: usize, job: &str) -> Answer {
        let gateway = &self.instances[index].handle.gateway;
        gateway
            .status(
                Caller::default(),
                &route().policy.queue,
                job.into(),
                DEADLINE,
            )
            .await
    }

    pub async fn wait_until_completed(&self, index: usize, job: &str) {
        self.wait_until_completed_for(index, &Caller::default(), job)
            .await;
    }

    /// Waits until a caller is told that its job has completed.
    pub async fn wait_until_completed_for(&self, index: usize, caller: &Caller, job: &str) {
        let completed = Answer::Status(JobStatus::Ended(JobOutcome::Completed));
        let deadline = Instant::now() + WAIT_MAX;
        let gateway = &self.instances[index].handle.gateway;
        while gateway
            .status(caller.clone(), &route().policy.queue, job.into(), DEADLINE)
            .await
            != completed
        {
            assert!(Instant::now() < deadline, "{job} has not completed");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Asserts that each task ran only once.
    pub fn assert_each_task_ran_once(&self) {
        let mut by_task: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for record in self.workers.records() {
            by_task.entry(record.task.clone()).or_default().push(record);
        }
        for (task, runs) in by_task {
            assert_eq!(runs.len(), 1, "{task:?}: {runs:?}");
        }
    }
}

pub async fn wait_for_other_leader(cell: &Cell, leader: usize) {
    let deadline = Instant::now() + WAIT_MAX;
    while cell.leader().await == leader {
        assert!(
            Instant::now() < deadline,
            "instance {leader} is still the leader"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
