//! `jackdawchute serve`: runs an entry instance.

use std::sync::Arc;

use getopts::{Matches, Options};
use jackdawchute_entry::{Addresses, HttpWorkerPorts, Instance, Platform};
use jackdawchute_ports::{HttpMembership, HttpTable};
use jackdawchute_settings::Settings;
use serde::Serialize;
use tokio::signal::unix::{signal, SignalKind};

use crate::{command_line::required, logging, Command, Error, Result};

/// The `serve` command.
pub(crate) const COMMAND: Command = Command {
    brief: "Runs an entry instance until SIGTERM or SIGINT.\n\n\
            Usage: jackdawchute serve --settings FILE",
    options: add_options,
    action: serve,
};

fn add_options(options: &mut Options) {
    options.optopt("s", "settings", "the YAML settings of this process", "FILE");
}

/// The JSON line on standard output with the addresses and ports of the listeners.
#[derive(Serialize)]
struct ListeningEvent {
    event: &'static str,
    #[serde(flatten)]
    addresses: Addresses,
}

fn serve(matches: &Matches) -> Result<()> {
    let settings = Settings::load(required(matches, "settings")?)?;
    logging::start(settings.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads)
        .enable_all()
        .build()
        .map_err(|cause| Error::Process("start runtime", cause))?;
    runtime.block_on(run(settings))
}

/// Runs the instance until SIGTERM, SIGINT or a fence, and shuts it down.
async fn run(settings: Settings) -> Result<()> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    let platform = Platform {
        table: Arc::new(HttpTable::with_timeout(
            settings.platform.table,
            settings.timing.table_call_timeout(),
        )),
        membership: Arc::new(HttpMembership::new(settings.platform.membership)),
        workers: Arc::new(HttpWorkerPorts),
    };
    let instance = Instance::start(settings, platform).await?;
    announce(instance.addresses);
    let fenced = tokio::select! {
        _ = terminate.recv() => false,
        _ = interrupt.recv() => false,
        () = instance.fenced() => true,
    };
    // A fenced instance owns no group any more, but callers may still wait for responses.
    instance.shut_down().await;
    if fenced {
        return Err(Error::Fenced);
    }
    Ok(())
}

fn signal_stream(kind: SignalKind) -> Result<tokio::signal::unix::Signal> {
    signal(kind).map_err(|cause| Error::Process("listen for signals", cause))
}

/// Prints the [`ListeningEvent`].
fn announce(addresses: Addresses) {
    let event = ListeningEvent {
        event: "listening",
        addresses,
    };
    println!("{}", serde_json::to_string(&event).unwrap_or_default());
}
