//! A cell of processes with stand-ins for the platform's services.

mod leader;
mod worker_faults;

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        atomic::{AtomicU8, Ordering},
        Arc,
    },
    time::Duration,
};

use async_trait::async_trait;
use jackdawchute_adapter::standins::{list_worker, put_configuration, serve_advisor, serve_worker};
use jackdawchute_cell::{Advisor, Error as PlatformError, QueueRoute, Routes};
use jackdawchute_scheduler::{AdviceCost, QueuePolicy, WorkerEntry};
use jackdawchute_trial::Listening;
use smol_str::format_smolstr;
use xtra::Address;

use super::{
    cuts::Cuts,
    fault::domain_of,
    instance::{loopback, Instance, Surroundings, TRANSACTION_TIME},
    tenants::SoakTenants,
    CellFault, CellSoakPlan, FaultKinds, LeaderFault,
};
use crate::{
    balancer::{self, BalancerTask, SetTargets, Target},
    cell::{MemoryAdvisor, MemoryStore, MemoryWorkers, StoreHandle, TicketAdvisor, WorkersHandle},
    harness::{Signal, TemporaryDirectory},
    proxy::{spawn_proxy, ProxyFaults, RunningProxy},
    soak::schedule::Environment,
    Error, Result,
};

/// The advisor's time for each request.
const ADVICE_TIME: Duration = Duration::from_millis(15);
/// How long the advisor's tickets are valid.
const TICKET_VALIDITY: Duration = Duration::from_millis(2_000);
/// The shortest time in which a worker restarts: as long as a process takes to start.
const RESTART_TIME: Duration = Duration::from_millis(50);
/// How long a run takes to end after an order to stop it; instances allow for 900 ms.
const STOP_TIME: Duration = Duration::from_millis(400);
/// The age of workers that restart: the lease ends on their clocks are far ahead of those of their
/// next incarnations.
const WORKER_AGE: Duration = Duration::from_secs(60);

/// The number of cells of a process that have addresses of their own; the tests run fewer at a time.
const CELLS_AT_A_TIME: u8 = 16;
/// The number of addresses of a cell.
const INSTANCES_MAX: u8 = 16;

/// The number of the next cell in this process, which distinguishes the cells' addresses.
static NEXT_CELL: AtomicU8 = AtomicU8::new(0);

/// A worker and the proxy in front of it.
struct Worker {
    entry: WorkerEntry,
    proxy: RunningProxy,
    listener: Listening,
}

/// A cell and its platform, into which faults are injected; instances that exit are restarted.
pub(super) struct CellEnvironment {
    pub(super) workers: MemoryWorkers,
    /// The links of all instances to the workers, beside the proxies.
    links: WorkersHandle,
    pub(super) balancer: Address<BalancerTask>,
    pub(super) routes: Routes,
    /// The tenants of the callers; `None` in a soak without tenants.
    pub(super) tenants: Option<SoakTenants>,
    /// Unexpected exits of instances.
    pub(super) violations: Vec<String>,
    instances: Vec<Instance>,
    /// The number of the cell in this process.
    number: u8,
    cuts: Cuts,
    listed_workers: Vec<Worker>,
    /// The store handle of the operator, who lists workers and sets the configuration.
    operator: StoreHandle,
    advisor_proxy: RunningProxy,
    _advisor: Listening,
    /// The indices of the instances that a fault has stopped.
    down: BTreeSet<usize>,
    /// The faults of leaders, and the index of the instance that each affects.
    leader_faults: Vec<(LeaderFault, usize)>,
    program: PathBuf,
    directory: TemporaryDirectory,
}

/// Returns a loopback address for this instance only: no other cell may take its ports while it is
/// down, and proxies tell it from the other instances by its address.
fn instance_address(cell: u8, index: usize) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let last = (cell % CELLS_AT_A_TIME) * INSTANCES_MAX + index as u8;
    Ipv4Addr::new(127, high.max(1), low, last)
}

/// Converts an error of a write to the store.
fn write_failed(cause: PlatformError) -> Error {
    Error::Invalid("write row", "store".into(), cause.to_string())
}

/// Returns the routes to an urgent queue without advice and a less urgent one with it.
fn routes() -> Routes {
    let queue = |name: &str, priority, advice| QueueRoute {
        host: "cell.example".into(),
        path_prefix: format_smolstr!("/{name}/"),
        public: false,
        policy: QueuePolicy {
            queue: name.into(),
            service: "service".into(),
            priority,
            attempts_max: 3,
            stretch: 4.0,
            target: Duration::from_secs(10),
            advice,
        },
    };
    let cost = AdviceCost {
        fixed_ms: ADVICE_TIME.as_secs_f64() * 1_000.0,
        per_worker_ms: 0.0,
        valid: TICKET_VALIDITY,
    };
    Routes {
        version: 3,
        tenants: None,
        queues: vec![queue("urgent", 0, None), queue("batch", 1, Some(cost))],
        body_bytes_max: 262_144,
    }
}

impl CellEnvironment {
    /// Starts the platform with its workers, and the instances of the shipped binary.
    pub(super) async fn start(program: &Path, plan: &CellSoakPlan) -> Result<Self> {
        let CellSoakPlan {
            instances,
            workers,
            kinds,
            load,
            tenants,
            seed,
            ..
        } = *plan;
        let rows = MemoryStore::default();
        let operator = rows.handle();
        let memory = MemoryWorkers::new(workers, load.task_time);
        memory.set_stop_time(STOP_TIME);
        let mut served_advisor: Arc<dyn Advisor> = Arc::new(MemoryAdvisor);
        match kinds {
            FaultKinds::Restarts => memory.set_clocks(WORKER_AGE, 1.0),
            _ => memory.draw_clocks(seed),
        }
        if matches!(kinds, FaultKinds::Restarts | FaultKinds::RestartedLeases) {
            served_advisor = Arc::new(TicketAdvisor::new(memory.clone()));
        }
        let links = memory.handle();
        let mut listed_workers = Vec::new();
        for (index, entry) in memory.entries().into_iter().enumerate() {
            let served = Arc::new(links.clone());
            let listener = serve_worker(loopback(), entry.worker.clone(), served).await?;
            let proxy = spawn_proxy(loopback(), Some(listener.address())).await?;
            let entry = WorkerEntry {
                address: proxy.address,
                failure_domain: format_smolstr!("domain-{}", domain_of(index)),
                ..entry
            };
            list_worker(&operator, &entry).await.map_err(write_failed)?;
            listed_workers.push(Worker {
                entry,
                proxy,
                listener,
            });
        }
        let tenants = tenants.then(SoakTenants::new);
        let routes = match &tenants {
            Some(tenants) => tenants.configure(&routes(), None),
            None => routes(),
        };
        put_configuration(&operator, &routes)
            .await
            .map_err(write_failed)?;
        let advisor = serve_advisor(loopback(), served_advisor, ADVICE_TIME).await?;
        let mut environment = Self {
            workers: memory,
            links,
            balancer: balancer::spawn(Vec::new()),
            routes,
            tenants,
            violations: Vec::new(),
            instances: Vec::new(),
            number: NEXT_CELL.fetch_add(1, Ordering::Relaxed),
            cuts: Cuts::default(),
            listed_workers,
            operator,
            advisor_proxy: spawn_proxy(loopback(), Some(advisor.address())).await?,
            _advisor: advisor,
            down: BTreeSet::new(),
            leader_faults: Vec::new(),
            program: program.to_owned(),
            directory: TemporaryDirectory::new()?,
        };
        for index in 0..instances {
            environment.add_instance(index, rows.handle()).await?;
        }
        let targets = environment.targets();
        let sent = environment.balancer.send(SetTargets(targets)).await;
        sent.map_err(|_| Error::Ended("set targets", "balancer".into()))?;
        Ok(environment)
    }

    /// Returns the operators' access to the store.
    pub(super) fn operator(&self) -> StoreHandle {
        self.operator.clone()
    }

    /// Returns the folder of the instances' logs.
    pub(super) fn logs(&self) -> &Path {
        self.directory.path()
    }

    /// Starts an instance at an address of its own.
    async fn add_instance(&mut self, index: usize, store: StoreHandle) -> Result<()> {
        let workers: Vec<SocketAddr> = self
            .listed_workers
            .iter()
            .map(|worker| worker.entry.address)
            .collect();
        let surroundings = Surroundings {
            program: &self.program,
            directory: &self.directory,
            store,
            advisor: self.advisor_proxy.address,
            workers: &workers,
        };
        let address = instance_address(self.number, index);
        let instance = Instance::start(address.into(), index, surroundings).await?;
        self.instances.push(instance);
        Ok(())
    }

    fn restart_instance(&mut self, index: usize) -> Result<()> {
        self.instances[index].restart(&self.program, self.directory.path())
    }

    /// Cuts all connections that the active faults cut, and restores the others.
    async fn apply_cuts(&self) -> Result<()> {
        for (index, instance) in self.instances.iter().enumerate() {
            let workers = self.listed_workers.len();
            instance.set_cuts(index, workers, &self.cuts).await?;
            for (other, called) in self.instances.iter().enumerate() {
                let faults = self.cuts.peer_faults(index, other);
                instance.set_peer_faults(called, faults).await?;
            }
        }
        Ok(())
    }

    /// Sets the network faults that `fault` consists of, or clears them when it ends.
    async fn set_network_faults(&mut self, fault: &CellFault, begins: bool) -> Result<()> {
        let faults = |faults: ProxyFaults| {
            if begins {
                faults
            } else {
                ProxyFaults::default()
            }
        };
        match *fault {
            CellFault::PeerNetwork(index, it) => {
                self.instances[index]
                    .peer_proxy
                    .set_faults(faults(it))
                    .await
            }
            CellFault::StoreNetwork(index, it) => {
                self.instances[index]
                    .store_proxy
                    .set_faults(faults(it))
                    .await
            }
            CellFault::WorkerNetwork(index, it) => {
                self.listed_workers[index]
                    .proxy
                    .set_faults(faults(it))
                    .await
            }
            CellFault::AdvisorNetwork(it) => self.advisor_proxy.set_faults(faults(it)).await,
            _ => Ok(()),
        }
    }

    /// Sets the store faults that `fault` consists of, or clears them when it ends.
    fn set_store_faults(&self, fault: &CellFault, begins: bool) {
        for (index, instance) in self.instances.iter().enumerate() {
            match *fault {
                CellFault::StoreRefuses(only) if only.is_none_or(|only| only == index) => {
                    instance.store.deny(begins);
                }
                CellFault::StoreSlow(delay) => {
                    let usual = TRANSACTION_TIME;
                    instance.store.slow_down(if begins { delay } else { usual });
                }
                CellFault::StoreLoses(every) => {
                    instance.store.lose_answers(if begins { every } else { 0 });
                }
                _ => {}
            }
        }
    }
}

#[async_trait]
impl Environment<CellFault> for CellEnvironment {
    async fn begin_fault(&mut self, fault: &CellFault) -> Result<()> {
        match *fault {
            CellFault::Kill(index) => {
                self.down.insert(index);
                let process = &mut self.instances[index].process;
                process.signal(Signal::Kill).await?;
                process.wait().await?;
            }
            CellFault::Terminate(index) => {
                self.down.insert(index);
                let process = &mut self.instances[index].process;
                process.signal(Signal::Terminate).await?;
            }
            CellFault::Pause(index) => {
                self.instances[index].process.signal(Signal::Stop).await?;
            }
            CellFault::WorkerCrash(index) => self.crash_worker(index).await?,
            CellFault::WorkerRestart(index) => {
                self.crash_worker(index).await?;
                tokio::time::sleep(RESTART_TIME).await;
                self.restart_worker(index).await?;
            }
            CellFault::LateOrders {
                worker,
                delay,
                renewals,
            } => self.set_late_orders(worker, Some(delay), renewals),
            CellFault::RestartCutOff(index) => self.restart_cut_off(index).await?,
            CellFault::LateExtensions { worker, delay } => {
                self.set_late_extensions(worker, Some(delay));
            }
            CellFault::CutOff(index) => self.cut_off_worker(index).await?,
            CellFault::HeldOrders(index, kind) => self.hold_orders(index, kind, true),
            CellFault::Leader(fault) => self.begin_leader_fault(fault).await?,
            _ => {}
        }
        if self.cuts.update(fault, true) {
            self.apply_cuts().await?;
        }
        self.set_store_faults(fault, true);
        self.set_network_faults(fault, true).await
    }

    async fn end_fault(&mut self, fault: &CellFault) -> Result<()> {
        match *fault {
            CellFault::Kill(index) => {
                self.restart_instance(index)?;
                self.down.remove(&index);
            }
            CellFault::Terminate(index) => {
                self.instances[index].process.wait().await?;
                self.restart_instance(index)?;
                self.down.remove(&index);
            }
            CellFault::Pause(index) => {
                let process = &mut self.instances[index].process;
                process.signal(Signal::Continue).await?;
            }
            CellFault::WorkerCrash(index) => self.restart_worker(index).await?,
            CellFault::LateOrders {
                worker, renewals, ..
            } => self.set_late_orders(worker, None, renewals),
            CellFault::RestartCutOff(index) | CellFault::CutOff(index) => {
                self.reconnect_worker(index).await?;
            }
            CellFault::LateExtensions { worker, .. } => self.set_late_extensions(worker, None),
            CellFault::HeldOrders(index, kind) => self.hold_orders(index, kind, false),
            CellFault::Leader(fault) => self.end_leader_fault(fault).await?,
            _ => {}
        }
        if self.cuts.update(fault, false) {
            self.apply_cuts().await?;
        }
        self.set_store_faults(fault, false);
        self.set_network_faults(fault, false).await
    }

    async fn restart_exited(&mut self) -> Result<()> {
        for index in 0..self.instances.len() {
            let instance = &mut self.instances[index];
            let Some(status) = instance.process.exit_status()? else {
                continue;
            };
            if self.down.contains(&index) {
                continue;
            }
            let name = &instance.name;
            self.violations
                .push(format!("{name} exited unexpectedly: {status}"));
            self.restart_instance(index)?;
        }
        Ok(())
    }

    fn targets(&self) -> Vec<Target> {
        self.instances.iter().map(|it| it.target).collect()
    }
}
