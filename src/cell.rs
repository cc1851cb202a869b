//! `jackdawchute cell`: runs an instance that schedules a cell on the users' platform.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use getopts::{Matches, Options};
use jackdawchute_adapter::{
    callers_filter, readiness_filter, PlatformAdvisor, PlatformDirectory, PlatformStore,
    PlatformWorkers, SETTINGS_VARIABLE,
};
use jackdawchute_cell::{Instance, Metrics, Platform, Settings};
use jackdawchute_entry::{bind, run as serve, ListenerLimits};
use jackdawchute_settings::CellSettings;
use spdlog::{info, warn};
use tokio::{
    signal::unix::{signal, Signal, SignalKind},
    sync::watch,
    task::JoinHandle,
};
use warp::{filters::BoxedFilter, reply::Response, Filter};

use crate::{logging, Command, Error, Result};

/// How long the balancer still sends callers to an instance that has become unready: it checks the
/// readiness once a second and acts on the second failed check.
const BALANCER_REACTION_TIME: Duration = Duration::from_millis(2_300);
/// The part of the shutdown time that is reserved for the exit of the process itself.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(800);
/// The maximum number of callers' connections, well below the file descriptor limit of a process.
const CALLERS_CONNECTIONS_MAX: usize = 2_000;
/// The maximum number of connections to each of the other listeners.
const OTHER_CONNECTIONS_MAX: usize = 32;
/// The maximum size of a request's header in bytes.
const HEADER_BYTES_MAX: usize = 16 * 1024;
/// How often dropped log lines are reported.
const DROP_REPORT_PERIOD: Duration = Duration::from_secs(1);

/// The processor that an instance needs for each order to start that is under way.
const MILLICORES_PER_START: u64 = 4;
/// The least number of orders to start under way.
const STARTS_UNDER_WAY_MIN: usize = 16;

/// The `cell` command.
pub(crate) const COMMAND: Command = Command {
    brief: "Runs an instance that schedules a cell on the users' platform until SIGTERM.\n\n\
            Usage: jackdawchute cell [--settings FILE]",
    options: add_options,
    action: cell,
};

fn add_options(options: &mut Options) {
    let help = "the YAML settings of this process, else named by the environment";
    options.optopt("s", "settings", help, "FILE");
}

fn cell(matches: &Matches) -> Result<()> {
    let path = matches
        .opt_str("settings")
        .map(PathBuf::from)
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| Error::Usage("give the settings with `--settings`".to_owned()))?;
    let settings = CellSettings::load(&path)?;
    logging::start_bounded(settings.log_level);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| Error::Process("start runtime", cause))?;
    runtime.block_on(run(settings, path))
}

/// A running HTTP listener that can be stopped gracefully.
struct RunningListener {
    /// Stops the listener once `true` is sent.
    stop: watch::Sender<bool>,
    /// Ends when all connections are closed.
    task: JoinHandle<()>,
}

impl RunningListener {
    async fn start(
        name: &'static str,
        address: SocketAddr,
        filter: BoxedFilter<(Response,)>,
        connections_max: usize,
    ) -> Result<Self> {
        let (listener, _) = bind(name, address).await?;
        let limits = ListenerLimits {
            connections_max,
            header_bytes_max: HEADER_BYTES_MAX,
        };
        let (stop, mut stopped) = watch::channel(false);
        let stopped = async move {
            // The sender is dropped only when the process exits.
            let _ = stopped.wait_for(|stopped| *stopped).await;
        };
        let task = tokio::spawn(serve(listener, filter, limits, stopped));
        Ok(Self { stop, task })
    }

    /// Stops accepting and waits at most `limit` for the requests in flight.
    async fn shut_down(self, limit: Duration) {
        self.stop.send_replace(true);
        if tokio::time::timeout(limit, self.task).await.is_err() {
            warn!("listener still has open connections at the shutdown timeout", kv: {
                limit_ms = limit.as_millis() as u64
            });
        }
    }
}

/// Runs the instance until SIGTERM or SIGINT; SIGHUP checks the settings file again.
async fn run(settings: CellSettings, path: PathBuf) -> Result<()> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    let mut hangup = signal_stream(SignalKind::hangup())?;
    let metrics = Metrics::default();
    let instance = Instance::start(
        cell_settings(&settings),
        platform(&settings),
        metrics.clone(),
    );
    let instance = instance.await?;
    let gateway = instance.gateway.clone();
    let listen = settings.listen;
    let metrics_filter = warp::path!("metrics")
        .map(move || Response::new(metrics.text().into()))
        .boxed();
    let callers = RunningListener::start(
        "callers",
        listen.callers,
        callers_filter(gateway.clone()),
        CALLERS_CONNECTIONS_MAX,
    )
    .await?;
    let connections_max = OTHER_CONNECTIONS_MAX;
    let readiness = readiness_filter(gateway);
    let _readiness_listener =
        RunningListener::start("readiness", listen.readiness, readiness, connections_max).await?;
    let _metrics_listener =
        RunningListener::start("metrics", listen.metrics, metrics_filter, connections_max).await?;
    info!("instance started", kv: {
        instance = settings.instance.as_str(), failure_domain = settings.failure_domain.as_str(),
        callers: = listen.callers, peers: = listen.peers
    });
    let mut drop_reports = tokio::time::interval(DROP_REPORT_PERIOD);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => recheck_settings(&path, &settings),
            _ = drop_reports.tick() => logging::report_drops(),
        }
    }
    info!("instance is leaving", kv: { instance = settings.instance.as_str() });
    instance.leave().await;
    tokio::time::sleep(BALANCER_REACTION_TIME).await;
    let callers_timeout = settings
        .bounds
        .shutdown
        .saturating_sub(BALANCER_REACTION_TIME + SHUTDOWN_MARGIN);
    callers.shut_down(callers_timeout).await;
    info!("instance stopped", kv: { instance = settings.instance.as_str() });
    Ok(())
}

/// Reads and checks the settings file again. Changes take effect only at the next start.
fn recheck_settings(path: &PathBuf, settings: &CellSettings) {
    match CellSettings::load(path) {
        Ok(reloaded) => info!("settings read again", kv: { changed = reloaded != *settings }),
        Err(error) => warn!("settings file is invalid; the settings stay unchanged", kv: {
            cause: = error
        }),
    }
}

/// Returns the settings of the cell crate for the settings of this process.
fn cell_settings(settings: &CellSettings) -> Settings {
    let defaults = jackdawchute_scheduler::Settings::default();
    Settings {
        instance: settings.instance.clone(),
        peer_listen: settings.listen.peers,
        peer_address: settings.listen.reached_by_peers(),
        peer_source: settings.listen.peers_from,
        processor_millicores: settings.processor.millicores(),
        scheduler: jackdawchute_scheduler::Settings {
            lease: defaults.lease.min(settings.bounds.lease_max),
            hold_max: settings.bounds.lease_max,
            task_stop_max: settings.bounds.task_stop,
            starts_under_way_max: starts_under_way_max(settings.processor.millicores()),
            ended_retention: settings.bounds.ended_retention,
            remote_slowdown: settings.bounds.remote_slowdown,
            place_wait_max: settings.bounds.place_wait_max,
            ..defaults
        },
    }
}

/// Returns how many orders to start an instance with this processor may have under way: what it
/// sends, with the renewals that follow, takes it about a tenth of a second.
fn starts_under_way_max(processor_millicores: u64) -> usize {
    let starts = usize::try_from(processor_millicores / MILLICORES_PER_START).unwrap_or(usize::MAX);
    starts.max(STARTS_UNDER_WAY_MIN)
}

/// Returns the clients of the users' platform.
fn platform(settings: &CellSettings) -> Platform {
    let store = PlatformStore::new(settings.platform.store);
    Platform {
        commits: Arc::new(PlatformStore::new(settings.platform.store)),
        directory: Arc::new(PlatformDirectory::new(store.clone())),
        store: Arc::new(store),
        workers: Arc::new(PlatformWorkers::default()),
        advisor: Arc::new(PlatformAdvisor::new(settings.platform.advisor)),
    }
}

fn signal_stream(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|cause| Error::Process("listen for signals", cause))
}
