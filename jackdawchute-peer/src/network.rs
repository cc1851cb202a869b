//! The task that knows the links to peers.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use jackdawchute_types::CallError;
use serde::{de::DeserializeOwned, Serialize};
use tokio::sync::oneshot;
use xtra::prelude::*;

use crate::{link::LinkTask, CallPeer, SliceName, Token};

/// Hands each call to the link of its peer.
#[derive(Debug, xtra::Actor)]
pub struct NetworkTask {
    token: Token,
    links: HashMap<SocketAddr, Address<LinkTask>>,
}

/// Starts the network task on the current tokio runtime.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let peers = jackdawchute_peer::spawn(Default::default());
/// let nobody = "127.0.0.1:9".parse().expect("an address");
/// let answer = peers.call::<u32, u32>(nobody, "sums", &1, std::time::Duration::from_secs(1));
/// assert!(answer.await.is_err());
/// # }
/// ```
pub fn spawn(token: Token) -> PeerClient {
    let task = NetworkTask {
        token,
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
        let peer = call.peer;
        let link = self
            .links
            .entry(peer)
            .or_insert_with(|| xtra::spawn_tokio(LinkTask::new(peer, token), Mailbox::unbounded()));
        let _ = link.send(call).detach().await;
    }
}

/// Makes typed calls to peers.
#[derive(Clone, Debug)]
pub struct PeerClient {
    network: Address<NetworkTask>,
}

impl PeerClient {
    /// Calls `slice` at `peer` and waits at most `timeout` for its answer.
    ///
    /// # Errors
    /// Tells whether the peer may have acted on the call.
    pub async fn call<C: Serialize + Sync, R: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        slice: SliceName,
        call: &C,
        timeout: Duration,
    ) -> Result<R, CallError> {
        let undelivered = |cause: String| CallError::NotDelivered(slice, peer.to_string(), cause);
        let call = serde_json::to_value(call).map_err(|error| undelivered(error.to_string()))?;
        let (reply, answer) = oneshot::channel();
        let message = CallPeer {
            peer,
            slice,
            call,
            timeout,
            reply,
        };
        let sent = self.network.send(message).detach().await;
        let _handled = sent.map_err(|_| undelivered("shutting down".to_owned()))?;
        let unknown = |cause: String| CallError::Unknown(slice, peer.to_string(), cause);
        let value = answer
            .await
            .map_err(|_| unknown("shutting down".to_owned()))??;
        serde_json::from_value(value).map_err(|error| unknown(error.to_string()))
    }
}
