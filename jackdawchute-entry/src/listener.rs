//! HTTP listeners with limits on connections and header sizes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::Future;
use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use warp::{filters::BoxedFilter, reply::Response};

use crate::{Error, Result};

/// How long a client may take to send a request's header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The smallest header buffer that the HTTP library accepts, in bytes.
const HEADER_BYTES_MIN: usize = 8_192;

/// The limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// The maximum number of open connections; further ones wait to be accepted.
    pub connections_max: usize,
    /// The maximum size of a request's header in bytes; a value below 8,192 is raised to it.
    pub header_bytes_max: usize,
}

/// Binds `address` and returns the listener with its actual address; port 0 lets the system
/// choose a free port.
///
/// # Errors
/// The address could not be bound.
pub async fn bind(name: &'static str, address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let error = |cause: std::io::Error| Error::Bind(name, address.to_string(), cause.to_string());
    let listener = TcpListener::bind(address).await.map_err(error)?;
    let bound = listener.local_addr().map_err(error)?;
    Ok((listener, bound))
}

/// Serves `filter` until `stop` resolves, then finishes the requests in flight and returns.
pub async fn run(
    listener: TcpListener,
    filter: BoxedFilter<(Response,)>,
    limits: ListenerLimits,
    stop: impl Future<Output = ()> + Send + 'static,
) {
    let connections = Arc::new(Semaphore::new(limits.connections_max));
    let graceful = GracefulShutdown::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        let stream = tokio::select! {
            stream = accept(&listener, &connections) => stream,
            () = &mut stop => break,
        };
        let Some((stream, permit)) = stream else {
            continue;
        };
        let service = TowerToHyperService::new(warp::service(filter.clone()));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(limits.header_bytes_max.max(HEADER_BYTES_MIN))
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A broken connection affects only its client.
            let _ = connection.await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn accept(
    listener: &TcpListener,
    connections: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = connections.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, permit))
        }
        Err(_) => {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}
