//! Starts the listeners of one instance.

use std::{net::SocketAddr, path::Path, sync::Arc};

use jackdawchute_peer as peer;
use jackdawchute_ports::Table;
use jackdawchute_settings::Settings;
use jackdawchute_types::IncarnationId;
use smol_str::SmolStr;
use tokio::{sync::watch, task::JoinHandle};
use xtra::prelude::*;

use crate::{
    callers::{self, CallersOptions, JobsApi, RequestsApi},
    listener::ListenerLimits,
    operators::{self, ConfigurationApi, OperatorsOptions, StatusSources},
    owner_client::{JobsOwnerClient, RequestsOwnerClient},
    remote_calls::RemoteCalls,
    tasks::Tasks,
    Error, Metrics, Result,
};

/// The maximum number of connections to the operators' and to the peers' listener, each.
const INTERNAL_CONNECTIONS_MAX: u32 = 256;
/// The maximum size of a submitted job in bytes.
const JOB_BYTES_MAX: usize = 256 * 1024;

/// A running HTTP listener that can be stopped gracefully.
pub(crate) struct RunningListener {
    /// Stops the listener once `true` is sent.
    stop: watch::Sender<bool>,
    /// Ends when all connections are closed.
    task: JoinHandle<()>,
}

impl RunningListener {
    /// Stops accepting and waits until `deadline` for the requests in flight.
    pub(crate) async fn shut_down(self, deadline: tokio::time::Instant) {
        let _ = self.stop.send(true);
        if tokio::time::timeout_at(deadline, self.task).await.is_err() {
            spdlog::warn!("shutdown: listener still has open connections at the timeout");
        }
    }
}

/// The parts of an instance from which its listeners are built.
pub(crate) struct Listeners<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) tasks: &'a Tasks,
    pub(crate) remote_calls: &'a RemoteCalls,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) metrics: Metrics,
}

impl Listeners<'_> {
    /// Starts the listener for callers and returns its address.
    ///
    /// # Errors
    /// The address could not be bound.
    pub(crate) async fn serve_callers(
        &self,
        incarnation: &IncarnationId,
    ) -> Result<(SocketAddr, RunningListener)> {
        let limits = &self.settings.limits;
        let bytes = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        let options = CallersOptions {
            requests: self.requests_api(incarnation),
            jobs: self.jobs_api(incarnation),
            job_bytes_max: JOB_BYTES_MAX,
            body_bytes_max: bytes(limits.body_bytes),
            limits: ListenerLimits {
                connections_max: limits.connections as usize,
                header_bytes_max: bytes(limits.header_bytes),
            },
        };
        let (stop, stopped) = watch::channel(false);
        let address = self.settings.listen.callers;
        let (address, task) = callers::serve(address, options, wait_for_stop(stopped)).await?;
        Ok((address, RunningListener { stop, task }))
    }

    fn requests_api(&self, incarnation: &IncarnationId) -> RequestsApi {
        RequestsApi {
            incarnation: incarnation.clone(),
            routing: self.tasks.routing.clone(),
            owner_client: RequestsOwnerClient {
                incarnation: incarnation.clone(),
                local: MessageChannel::new(self.tasks.requests.clone()),
                owner_calls: Arc::new(self.remote_calls.clone()),
            },
            holder: self.tasks.requests.clone(),
            dispatch: self.tasks.dispatch.clone(),
            metrics: self.metrics.clone(),
        }
    }

    fn jobs_api(&self, incarnation: &IncarnationId) -> JobsApi {
        JobsApi {
            routing: self.tasks.routing.clone(),
            owner_client: JobsOwnerClient {
                incarnation: incarnation.clone(),
                local: MessageChannel::new(self.tasks.jobs.clone()),
                owner_calls: Arc::new(self.remote_calls.clone()),
            },
            metrics: self.metrics.clone(),
        }
    }

    /// Starts the listener for operators and returns its address.
    ///
    /// # Errors
    /// The address could not be bound or the token file cannot be read.
    pub(crate) async fn serve_operators(
        &self,
        incarnation: &IncarnationId,
    ) -> Result<(SocketAddr, RunningListener)> {
        let status = StatusSources {
            incarnation: incarnation.clone(),
            metrics: self.metrics.clone(),
            configuration: self.tasks.configuration.clone(),
            routing: self.tasks.routing.clone(),
            requests: self.tasks.requests.clone(),
            jobs: self.tasks.jobs.clone(),
        };
        let header_bytes_max =
            usize::try_from(self.settings.limits.header_bytes).unwrap_or(usize::MAX);
        let configuration = ConfigurationApi {
            table: self.table.clone(),
            task: self.tasks.configuration.clone(),
        };
        let options = OperatorsOptions {
            status,
            explain: self.tasks.explain_sources(incarnation, self.remote_calls),
            configuration,
            metrics: self.metrics.clone(),
            token: read_token(self.settings.operator_token_file.as_deref())?,
            limits: ListenerLimits {
                connections_max: INTERNAL_CONNECTIONS_MAX as usize,
                header_bytes_max,
            },
        };
        let (stop, stopped) = watch::channel(false);
        let address = self.settings.listen.operators;
        let (address, task) = operators::serve(address, options, wait_for_stop(stopped)).await?;
        Ok((address, RunningListener { stop, task }))
    }
}

async fn wait_for_stop(mut stopped: watch::Receiver<bool>) {
    // An error means that the sender was dropped with the instance; the listener stops as well.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}

/// Reads a token file without surrounding whitespace; `None` if no file is configured.
///
/// # Errors
/// The file cannot be read.
pub(crate) fn read_token(path: Option<&Path>) -> Result<Option<SmolStr>> {
    let Some(path) = path else { return Ok(None) };
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text.trim().into())),
        Err(cause) => Err(Error::Token(path.display().to_string(), cause.to_string())),
    }
}

/// Binds the listener for peers; it serves once it is started with its services.
///
/// # Errors
/// The address could not be bound.
pub(crate) async fn bind_peers(
    settings: &Settings,
    token: peer::Token,
) -> Result<peer::BoundServer> {
    let address = settings.listen.peers;
    let options = peer::Options {
        address,
        token,
        connections_max: INTERNAL_CONNECTIONS_MAX,
    };
    let bind_error =
        |error: peer::Error| Error::Bind("peers", address.to_string(), error.to_string());
    peer::bind(options).await.map_err(bind_error)
}
