//! Start and control of a proxy.

use std::net::{IpAddr, SocketAddr};

use tokio::{net::TcpListener, task::JoinHandle};
use warp::{http::StatusCode, Filter, Rejection, Reply};
use xtra::prelude::*;

use super::{
    messages::Accepted, CutConnections, ProxyCounts, ProxyFaults, ProxyTask, ReadCounts, SetFaults,
    SetSourceFaults, SetTarget,
};
use crate::{Error, Result};

/// A running proxy; dropping it closes its listener and its connections.
#[derive(Debug)]
pub struct RunningProxy {
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// The task that owns the proxy's faults and counts.
    pub task: Address<ProxyTask>,
    accepting: JoinHandle<()>,
}

impl RunningProxy {
    /// Sets the server of later connections.
    ///
    /// # Errors
    /// The proxy's task has ended.
    pub async fn set_target(&self, target: SocketAddr) -> Result<()> {
        self.send("set target", SetTarget(target)).await
    }

    /// Sets the faults of open and later connections.
    ///
    /// # Errors
    /// The proxy's task has ended.
    pub async fn set_faults(&self, faults: ProxyFaults) -> Result<()> {
        self.send("set faults", SetFaults(faults)).await
    }

    /// Sets the faults of the open and later connections from the address `source`, in place of the
    /// proxy's; `None` has the proxy's again.
    ///
    /// # Errors
    /// The proxy's task has ended.
    pub async fn set_source_faults(
        &self,
        source: IpAddr,
        faults: Option<ProxyFaults>,
    ) -> Result<()> {
        self.send("set faults", SetSourceFaults { source, faults })
            .await
    }

    /// Closes the open connections; new ones are still accepted.
    ///
    /// # Errors
    /// The proxy's task has ended.
    pub async fn cut(&self) -> Result<()> {
        self.send("cut connections", CutConnections).await
    }

    /// Returns the counts of connections and bytes.
    ///
    /// # Errors
    /// The proxy's task has ended.
    pub async fn counts(&self) -> Result<ProxyCounts> {
        self.send("read counts", ReadCounts).await
    }

    async fn send<M>(
        &self,
        operation: &'static str,
        message: M,
    ) -> Result<<ProxyTask as Handler<M>>::Return>
    where
        M: Send + 'static,
        ProxyTask: Handler<M>,
    {
        self.task
            .send(message)
            .await
            .map_err(|_| Error::Ended(operation, self.address.to_string()))
    }
}

impl Drop for RunningProxy {
    fn drop(&mut self) {
        self.accepting.abort();
        drop(self.task.send(CutConnections).detach());
    }
}

/// Starts a proxy at `listen`; without a target it closes each connection.
///
/// # Errors
/// The address could not be bound.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> jackdawchute_standins::Result<()> {
/// use jackdawchute_standins::proxy::{spawn_proxy, ProxyFaults};
///
/// let proxy = spawn_proxy(([127, 0, 0, 1], 0).into(), None).await?;
/// proxy.set_faults(ProxyFaults::frozen()).await?;
/// assert_eq!(proxy.counts().await?.open, 0);
/// # Ok(())
/// # }
/// ```
pub async fn spawn_proxy(listen: SocketAddr, target: Option<SocketAddr>) -> Result<RunningProxy> {
    let failed = |cause| Error::Io("listen", listen.to_string(), cause);
    let listener = TcpListener::bind(listen).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let task = xtra::spawn_tokio(ProxyTask::new(target), Mailbox::unbounded());
    let accepting = tokio::spawn(accept(listener, task.clone()));
    Ok(RunningProxy {
        address,
        task,
        accepting,
    })
}

async fn accept(listener: TcpListener, task: Address<ProxyTask>) {
    while let Ok((client, source)) = listener.accept().await {
        if task.send(Accepted(client, source.ip())).await.is_err() {
            return;
        }
    }
}

/// Returns the routes `POST /control/faults`, `POST /control/cut` and `GET /control/counts`.
pub fn control_routes(
    task: Address<ProxyTask>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let with_task = warp::any().map(move || task.clone());
    let faults = warp::path!("control" / "faults")
        .and(warp::post())
        .and(warp::body::json::<ProxyFaults>().map(SetFaults))
        .and(with_task.clone())
        .then(
            |set: SetFaults, task: Address<ProxyTask>| async move { status(task.send(set).await) },
        );
    let cut = warp::path!("control" / "cut")
        .and(warp::post())
        .and(with_task.clone())
        .then(|task: Address<ProxyTask>| async move { status(task.send(CutConnections).await) });
    let counts = warp::path!("control" / "counts")
        .and(warp::get())
        .and(with_task)
        .then(|task: Address<ProxyTask>| async move {
            warp::reply::json(&task.send(ReadCounts).await.unwrap_or_default())
        });
    faults.or(cut).or(counts)
}

fn status(outcome: std::result::Result<(), xtra::Error>) -> StatusCode {
    match outcome {
        Ok(()) => StatusCode::NO_CONTENT,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
