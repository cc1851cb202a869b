//! HTTP listeners of the embedded servers.

use std::{
    future::pending,
    net::{Ipv4Addr, SocketAddr},
};

use tokio::{net::TcpListener, sync::oneshot, task::JoinHandle};
use warp::{Filter, Rejection, Reply};

use crate::{Error, Result};

/// The loopback address with a port that the system chooses.
pub(crate) const ANY_LOOPBACK_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A running HTTP server.
///
/// Dropping it closes the listener; open connections end once their requests are answered.
#[derive(Debug)]
pub struct Listening {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    server: JoinHandle<()>,
}

impl Listening {
    /// Binds `address` and serves `routes` there; port 0 lets the system choose.
    ///
    /// # Errors
    /// The address could not be bound.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> jackdawchute_trial::Result<()> {
    /// use warp::Filter;
    ///
    /// let routes = warp::path("ping").map(|| "pong");
    /// let listening = jackdawchute_trial::Listening::bind(([127, 0, 0, 1], 0).into(), routes).await?;
    /// assert_ne!(listening.address().port(), 0);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn bind<F>(address: SocketAddr, routes: F) -> Result<Self>
    where
        F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|cause| Error::Listen(address, cause))?;
        let address = listener
            .local_addr()
            .map_err(|cause| Error::Listen(address, cause))?;
        let (stop, stopped) = oneshot::channel();
        let server = warp::serve(routes).incoming(listener).graceful(async {
            if stopped.await.is_err() {
                pending::<()>().await;
            }
        });
        Ok(Self {
            address,
            stop: Some(stop),
            server: tokio::spawn(server.run()),
        })
    }

    /// Returns the bound address, with the port that the system chose.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until the requests in flight are answered.
    pub async fn shut_down(mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        let _ = (&mut self.server).await;
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.server.abort();
    }
}
