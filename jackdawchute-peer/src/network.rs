//! The task that passes each call to the task of its peer, and the client for it.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use jackdawchute_types::CallError;
use serde::{de::DeserializeOwned, Serialize};
use tokio::sync::oneshot;
use xtra::prelude::*;

use crate::{link::LinkTask, CallPeer, SliceName, Token};

/// Passes each call to the task that owns the connection to its peer.
#[derive(Debug, xtra::Actor)]
pub struct NetworkTask {
    token: Token,
    source: Option<IpAddr>,
    links: HashMap<SocketAddr, Address<LinkTask>>,
}

/// Starts the network task on the current tokio runtime and returns a client for it.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let peers = jackdawchute_peer::spawn(Default::default());
/// let unused = "127.0.0.1:9".parse().expect("a valid address");
/// let response = peers.call::<u32, u32>(unused, "sums", &1, std::time::Duration::from_secs(1));
/// assert!(response.await.is_err());
/// # }
/// ```
pub fn spawn(token: Token) -> PeerClient {
    spawn_from(token, None)
}

/// Starts the network task like [`spawn`], with connections that have the address `source`; without
/// one the system chooses it.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let source = "127.0.0.1".parse().expect("a valid address");
/// let peers = jackdawchute_peer::spawn_from(Default::default(), Some(source));
/// # drop(peers);
/// # }
/// ```
pub fn spawn_from(token: Token, source: Option<IpAddr>) -> PeerClient {
    let task = NetworkTask {
        token,
        source,
        links: HashMap::new(),
    };
    PeerClient {
        network: xtra::spawn_tokio(task, Mailbox::unbounded()),
    }
}

impl Handler<CallPeer> for NetworkTask {
    type Return = ();

    async fn handle(&mut self, call: CallPeer, _context: &mut Context<Self>) {
        let token = self.token.clone();
        let (peer, source) = (call.peer, self.source);
        let link = self.links.entry(peer).or_insert_with(|| {
            xtra::spawn_tokio(LinkTask::new(peer, token, source), Mailbox::unbounded())
        });
        let _ = link.send(call).detach().await;
    }
}

/// Makes typed calls to peers.
#[derive(Clone, Debug)]
pub struct PeerClient {
    network: Address<NetworkTask>,
}

impl PeerClient {
    /// Calls `slice` at `peer` and waits at most `timeout` for its response.
    ///
    /// # Errors
    /// The error says whether the peer may have acted on the call.
    pub async fn call<C: Serialize + Sync, R: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        slice: SliceName,
        call: &C,
        timeout: Duration,
    ) -> Result<R, CallError> {
        let not_delivered = |cause: String| CallError::NotDelivered(slice, peer.to_string(), cause);
        let call = serde_json::to_value(call).map_err(|error| not_delivered(error.to_string()))?;
        let (reply, response) = oneshot::channel();
        let message = CallPeer {
            peer,
            slice,
            call,
            timeout,
            reply,
        };
        let sent = self.network.send(message).detach().await;
        let _handled = sent.map_err(|_| not_delivered("shutting down".to_owned()))?;
        let unknown = |cause: String| CallError::Unknown(slice, peer.to_string(), cause);
        let value = response
            .await
            .map_err(|_| unknown("shutting down".to_owned()))??;
        serde_json::from_value(value).map_err(|error| unknown(error.to_string()))
    }
}
