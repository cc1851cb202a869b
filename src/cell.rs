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

/// How long callers are still sent here after the readiness has changed: the balancer asks once a
/// second and acts on the second miss.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_300);
/// The part of the time to shut down that is kept for the end of the process itself.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(800);
/// The most connections of callers; well below the descriptors that a process gets.
const CALLERS_CONNECTIONS_MAX: usize = 2_000;
/// The most connections to the other listeners.
const OTHER_CONNECTIONS_MAX: usize = 32;
/// The largest request header in bytes.
const HEADER_BYTES_MAX: usize = 16 * 1024;
/// How often dropped log lines are reported.
const DROPS_PERIOD: Duration = Duration::from_secs(1);

/// The command.
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

/// A listener that ends gracefully when told to.
struct Listener {
    stop: watch::Sender<bool>,
    ended: JoinHandle<()>,
}

impl Listener {
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
            // The sender is dropped only with the process.
            let _ = stopped.wait_for(|stopped| *stopped).await;
        };
        let ended = tokio::spawn(serve(listener, filter, limits, stopped));
        Ok(Self { stop, ended })
    }

    async fn end(self, limit: Duration) {
        self.stop.send_replace(true);
        if tokio::time::timeout(limit, self.ended).await.is_err() {
            warn!("callers were still connected at the end", kv: {
                limit_ms = limit.as_millis() as u64
            });
        }
    }
}

async fn run(settings: CellSettings, path: PathBuf) -> Result<()> {
    let mut terminate = listen_for(SignalKind::terminate())?;
    let mut interrupt = listen_for(SignalKind::interrupt())?;
    let mut hangup = listen_for(SignalKind::hangup())?;
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
    let callers = Listener::start(
        "callers",
        listen.callers,
        callers_filter(gateway.clone()),
        CALLERS_CONNECTIONS_MAX,
    )
    .await?;
    let others = OTHER_CONNECTIONS_MAX;
    let readiness = readiness_filter(gateway);
    let _readiness = Listener::start("readiness", listen.readiness, readiness, others).await?;
    let _metrics = Listener::start("metrics", listen.metrics, metrics_filter, others).await?;
    info!("instance started", kv: {
        instance = settings.instance.as_str(), failure_domain = settings.failure_domain.as_str(),
        callers: = listen.callers, peers: = listen.peers
    });
    let mut drops = tokio::time::interval(DROPS_PERIOD);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&path, &settings),
            _ = drops.tick() => logging::report_drops(),
        }
    }
    info!("instance is leaving", kv: { instance = settings.instance.as_str() });
    instance.leave().await;
    tokio::time::sleep(BALANCER_NOTICE).await;
    let left = settings
        .bounds
        .shutdown
        .saturating_sub(BALANCER_NOTICE + SHUTDOWN_MARGIN);
    callers.end(left).await;
    info!("instance stopped", kv: { instance = settings.instance.as_str() });
    Ok(())
}

/// Reads the settings again; all of them take effect at the next start only.
fn reload(path: &PathBuf, settings: &CellSettings) {
    match CellSettings::load(path) {
        Ok(read) => info!("settings read again", kv: { changed = read != *settings }),
        Err(error) => warn!("settings are not usable; the old ones stay", kv: {
            cause: = error
        }),
    }
}

fn cell_settings(settings: &CellSettings) -> Settings {
    let defaults = jackdawchute_scheduler::Settings::default();
    Settings {
        instance: settings.instance.clone(),
        peer_listen: settings.listen.peers,
        peer_address: settings.listen.reached_by_peers(),
        processor_millicores: settings.processor.millicores(),
        scheduler: jackdawchute_scheduler::Settings {
            lease: defaults.lease.min(settings.bounds.lease_max),
            task_stop_max: settings.bounds.task_stop,
            ended_retention: settings.bounds.ended_retention,
            ..defaults
        },
    }
}

fn platform(settings: &CellSettings) -> Platform {
    let store = PlatformStore::new(settings.platform.store);
    Platform {
        directory: Arc::new(PlatformDirectory::new(store.clone())),
        store: Arc::new(store),
        workers: Arc::new(PlatformWorkers::default()),
        advisor: Arc::new(PlatformAdvisor::new(settings.platform.advisor)),
    }
}

fn listen_for(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|cause| Error::Process("listen for signals", cause))
}
