//! An instance of the cell: its process, and the proxies of its connections.

use std::{
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use jackdawchute_adapter::standins::serve_store;
use jackdawchute_cell::Store;
use jackdawchute_trial::Listening;
use smol_str::{format_smolstr, SmolStr};

use super::{cuts::Cuts, fault::domain_of, worker_paths::WorkerPaths};
use crate::{
    balancer::Target,
    cell::StoreHandle,
    harness::{RunningProcess, TemporaryDirectory},
    proxy::{spawn_proxy, ProxyFaults, RunningProxy},
    Error, Result,
};

/// The duration of a transaction, as the users' platform states it.
pub(super) const TRANSACTION_TIME: Duration = Duration::from_millis(6);
/// The port of the first listener of the first instance.
const FIRST_PORT: u16 = 7_100;
/// The distance between the first ports of two instances.
const PORTS_PER_INSTANCE: u16 = 10;

pub(super) fn loopback() -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0)
}

/// What an instance connects to.
pub(super) struct Surroundings<'a> {
    pub(super) program: &'a Path,
    pub(super) directory: &'a TemporaryDirectory,
    pub(super) store: StoreHandle,
    pub(super) advisor: SocketAddr,
    /// The addresses of the workers as listed in the store.
    pub(super) workers: &'a [SocketAddr],
}

/// An instance: its process, and the proxies of its connections.
pub(super) struct Instance {
    pub(super) name: SmolStr,
    pub(super) process: RunningProcess,
    pub(super) target: Target,
    pub(super) peer_proxy: RunningProxy,
    pub(super) store_proxy: RunningProxy,
    pub(super) store: StoreHandle,
    /// The address that the instance listens on and connects to its peers from.
    address: IpAddr,
    worker_paths: WorkerPaths,
    settings: PathBuf,
    starts: u32,
    _store_listener: Listening,
}

impl Instance {
    /// Starts an instance at an address of its own, behind a proxy for its peers and with others in
    /// front of its store and of each worker.
    pub(super) async fn start(
        address: IpAddr,
        index: usize,
        surroundings: Surroundings<'_>,
    ) -> Result<Self> {
        let Surroundings { store, workers, .. } = surroundings;
        store.slow_down(TRANSACTION_TIME);
        let first_port = FIRST_PORT + PORTS_PER_INSTANCE * index as u16;
        let port = |offset: u16| SocketAddr::new(address, first_port + offset);
        let name = format_smolstr!("instance-{index}");
        let worker_paths = WorkerPaths::start(loopback(), workers).await?;
        let served: Arc<dyn Store> = worker_paths.store(store.clone(), workers);
        let store_listener = serve_store(loopback(), served).await?;
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
  peers_from: {address}
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
            domain_of(index),
            port(0),
            port(1),
            port(2),
            peer_proxy.address,
            port(3),
            store_proxy.address,
            surroundings.advisor
        );
        let directory = surroundings.directory;
        let settings = directory.write(&format!("{name}.yaml"), &text)?;
        let process = start_process(surroundings.program, directory.path(), &settings, &name, 1)?;
        Ok(Self {
            name,
            process,
            target: Target {
                callers: port(0),
                operators: port(1),
            },
            peer_proxy,
            store_proxy,
            store,
            address,
            worker_paths,
            settings,
            starts: 1,
            _store_listener: store_listener,
        })
    }

    /// Starts the process again after it has ended; its logs go to a new file in the folder `logs`.
    pub(super) fn restart(&mut self, program: &Path, logs: &Path) -> Result<()> {
        self.starts += 1;
        self.process = start_process(program, logs, &self.settings, &self.name, self.starts)?;
        Ok(())
    }

    /// Cuts the paths to the store and the workers that are cut for the instance with this index,
    /// and restores the others.
    pub(super) async fn set_cuts(&self, index: usize, workers: usize, cuts: &Cuts) -> Result<()> {
        // The instance's connections to its store come from the loopback address. Their faults are
        // beside those of the proxy, which other faults of the cell set.
        let source = loopback().ip();
        self.store_proxy
            .set_source_faults(source, cuts.store_faults(index))
            .await?;
        for worker in 0..workers {
            let faults = cuts.worker_faults(index, worker);
            self.worker_paths.set_faults(worker, faults).await?;
        }
        Ok(())
    }

    /// Sets the faults of connections from the instance to `called`, or clears them.
    pub(super) async fn set_peer_faults(
        &self,
        called: &Instance,
        faults: Option<ProxyFaults>,
    ) -> Result<()> {
        called
            .peer_proxy
            .set_source_faults(self.address, faults)
            .await
    }
}

fn start_process(
    program: &Path,
    logs: &Path,
    settings: &Path,
    name: &str,
    start: u32,
) -> Result<RunningProcess> {
    let log = logs.join(format!("{name}-{start}.log"));
    let failed = |cause| Error::Io("create log", log.display().to_string(), cause);
    let file = File::create(&log).map_err(failed)?;
    let errors = file.try_clone().map_err(failed)?;
    let arguments = ["cell".as_ref(), "--settings".as_ref(), settings.as_os_str()];
    RunningProcess::start(program, &arguments, file.into(), errors.into())
}
