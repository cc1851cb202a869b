//! A cell of processes with stand-ins for the platform's services.

use std::{
    collections::BTreeSet,
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        atomic::{AtomicU8, Ordering},
        Arc,
    },
    time::Duration,
};

use async_trait::async_trait;
use jackdawchute_adapter::standins::{
    list_worker, put_configuration, serve_advisor, serve_store, serve_worker,
};
use jackdawchute_cell::{Error as PlatformError, QueueRoute, Routes};
use jackdawchute_scheduler::{AdviceCost, QueuePolicy, WorkerEntry};
use jackdawchute_trial::Listening;
use smol_str::{format_smolstr, SmolStr};
use xtra::Address;

use super::CellFault;
use crate::{
    balancer::{self, BalancerTask, SetTargets, Target},
    cell::{MemoryAdvisor, MemoryStore, MemoryWorkers, StoreHandle},
    harness::{RunningProcess, Signal, TemporaryDirectory},
    proxy::{spawn_proxy, ProxyFaults, RunningProxy},
    soak::schedule::Environment,
    Error, Result,
};

/// The run time of each task.
pub(super) const TASK_TIME: Duration = Duration::from_millis(300);
/// The advisor's time for each request.
const ADVICE_TIME: Duration = Duration::from_millis(15);
/// How long the advisor's tickets are valid.
const TICKET_VALIDITY: Duration = Duration::from_millis(2_000);
/// The duration of a transaction, as the users' platform states it.
const TRANSACTION_TIME: Duration = Duration::from_millis(6);

/// The shortest time in which a worker restarts: as long as a process takes to start.
const RESTART_TIME: Duration = Duration::from_millis(50);
/// An address without a listener.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

/// The number of the next cell in this process, which distinguishes the cells' addresses.
static NEXT_CELL: AtomicU8 = AtomicU8::new(1);

/// An instance: its process, and the proxies of its connections.
struct Instance {
    name: SmolStr,
    settings: PathBuf,
    process: RunningProcess,
    starts: u32,
    target: Target,
    peer_proxy: RunningProxy,
    store_proxy: RunningProxy,
    store: StoreHandle,
    _store_listener: Listening,
}

/// A worker and the proxy in front of it.
struct Worker {
    entry: WorkerEntry,
    proxy: RunningProxy,
    listener: Listening,
}

/// A cell and its platform, into which faults are injected; instances that exit are restarted.
pub(super) struct CellEnvironment {
    pub(super) workers: MemoryWorkers,
    pub(super) balancer: Address<BalancerTask>,
    pub(super) routes: Routes,
    /// Unexpected exits of instances.
    pub(super) violations: Vec<String>,
    instances: Vec<Instance>,
    listed_workers: Vec<Worker>,
    /// The store handle of the operator, who lists workers and sets the configuration.
    operator: StoreHandle,
    advisor_proxy: RunningProxy,
    _advisor: Listening,
    /// The indices of the instances that a fault has stopped.
    down: BTreeSet<usize>,
    program: PathBuf,
    directory: TemporaryDirectory,
}

fn loopback() -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0)
}

/// Returns a loopback address for this cell only: no other cell may take the instances' ports while
/// they are down.
fn cell_address() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let cell = NEXT_CELL.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, high.max(1), low, cell.max(1))
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
        queues: vec![queue("urgent", 0, None), queue("batch", 1, Some(cost))],
        body_bytes_max: 262_144,
    }
}

impl CellEnvironment {
    /// Starts the platform with its workers, and the instances of the shipped binary.
    pub(super) async fn start(program: &Path, instances: usize, workers: usize) -> Result<Self> {
        let rows = MemoryStore::default();
        let operator = rows.handle();
        let memory = MemoryWorkers::new(workers, TASK_TIME);
        let mut listed_workers = Vec::new();
        for entry in memory.entries() {
            let served = Arc::new(memory.clone());
            let listener = serve_worker(loopback(), entry.worker.clone(), served).await?;
            let proxy = spawn_proxy(loopback(), Some(listener.address())).await?;
            let entry = WorkerEntry {
                address: proxy.address,
                ..entry
            };
            list_worker(&operator, &entry).await.map_err(write_failed)?;
            listed_workers.push(Worker {
                entry,
                proxy,
                listener,
            });
        }
        let routes = routes();
        put_configuration(&operator, &routes)
            .await
            .map_err(write_failed)?;
        let advisor = serve_advisor(loopback(), Arc::new(MemoryAdvisor), ADVICE_TIME).await?;
        let mut environment = Self {
            workers: memory,
            balancer: balancer::spawn(Vec::new()),
            routes,
            violations: Vec::new(),
            instances: Vec::new(),
            listed_workers,
            operator,
            advisor_proxy: spawn_proxy(loopback(), Some(advisor.address())).await?,
            _advisor: advisor,
            down: BTreeSet::new(),
            program: program.to_owned(),
            directory: TemporaryDirectory::new()?,
        };
        let address = cell_address();
        for index in 0..instances {
            environment
                .add_instance(address, index, rows.handle())
                .await?;
        }
        let targets = environment.targets();
        let sent = environment.balancer.send(SetTargets(targets)).await;
        sent.map_err(|_| Error::Ended("set targets", "balancer".into()))?;
        Ok(environment)
    }

    /// Returns the folder of the instances' logs.
    pub(super) fn logs(&self) -> &Path {
        self.directory.path()
    }

    /// Starts an instance on ports of its own at `address`, behind a proxy for its peers and with
    /// another in front of its store.
    async fn add_instance(
        &mut self,
        address: Ipv4Addr,
        index: usize,
        store: StoreHandle,
    ) -> Result<()> {
        store.slow_down(TRANSACTION_TIME);
        let name = format_smolstr!("instance-{index}");
        let port =
            |offset: u16| SocketAddr::new(address.into(), 7_100 + 10 * index as u16 + offset);
        let target = Target {
            callers: port(0),
            operators: port(1),
        };
        let store_listener = serve_store(loopback(), Arc::new(store.clone())).await?;
        let store_proxy = spawn_proxy(loopback(), Some(store_listener.address())).await?;
        let peer_proxy = spawn_proxy(loopback(), Some(port(2))).await?;
        let text = format!(
            "instance: {name}
failure_domain: domain-{}
listen:
  callers: {}
  readiness: {}
  peers: {}
  advertised_peers: {}
  metrics: {}
platform:
  store: {}
  advisor: {}
bounds:
  lease_max_ms: 10000
  task_stop_ms: 900
  shutdown_ms: 6000
  ended_retention_ms: 120000
log_level: info
",
            index % 3,
            target.callers,
            target.operators,
            port(2),
            peer_proxy.address,
            port(3),
            store_proxy.address,
            self.advisor_proxy.address
        );
        let settings = self.directory.write(&format!("{name}.yaml"), &text)?;
        let process = self.start_process(&settings, &name, 1)?;
        self.instances.push(Instance {
            name,
            settings,
            process,
            starts: 1,
            target,
            peer_proxy,
            store_proxy,
            store,
            _store_listener: store_listener,
        });
        Ok(())
    }

    fn start_process(&self, settings: &Path, name: &str, start: u32) -> Result<RunningProcess> {
        let log = self.logs().join(format!("{name}-{start}.log"));
        let failed = |cause| Error::Io("create log", log.display().to_string(), cause);
        let file = File::create(&log).map_err(failed)?;
        let errors = file.try_clone().map_err(failed)?;
        let arguments = ["cell".as_ref(), "--settings".as_ref(), settings.as_os_str()];
        RunningProcess::start(&self.program, &arguments, file.into(), errors.into())
    }

    fn restart_instance(&mut self, index: usize) -> Result<()> {
        let instance = &mut self.instances[index];
        instance.starts += 1;
        let (settings, name) = (instance.settings.clone(), instance.name.clone());
        let starts = instance.starts;
        self.instances[index].process = self.start_process(&settings, &name, starts)?;
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

    /// Crashes a worker and cuts its connections; new ones are closed without a response.
    async fn crash_worker(&self, index: usize) -> Result<()> {
        let worker = &self.listed_workers[index];
        worker.proxy.set_target(UNUSED_ADDRESS).await?;
        worker.proxy.cut().await?;
        self.workers.crash(&worker.entry.worker);
        Ok(())
    }

    /// Starts a worker's next incarnation and lists it.
    async fn restart_worker(&self, index: usize) -> Result<()> {
        let worker = &self.listed_workers[index];
        // Orders in transit at the crash may have been applied since; the next incarnation must
        // start empty.
        self.workers.crash(&worker.entry.worker);
        worker.proxy.set_target(worker.listener.address()).await?;
        let Some(restarted) = self.workers.entries().into_iter().nth(index) else {
            return Ok(());
        };
        let entry = WorkerEntry {
            address: worker.entry.address,
            ..restarted
        };
        let listed = list_worker(&self.operator, &entry).await;
        listed.map(|_| ()).map_err(write_failed)
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
            _ => {}
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
            _ => {}
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
