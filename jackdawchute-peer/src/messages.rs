//! What the peer tasks take and send.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use jackdawchute_types::CallError;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::sync::oneshot;

/// Names the slice that a call is for.
pub type SliceName = &'static str;
/// The secret that peers share; empty where the operator set none.
pub type Token = Arc<SmolStr>;

/// Calls a peer.
#[derive(Debug)]
pub struct CallPeer {
    /// Where its peer listener is.
    pub peer: SocketAddr,
    /// The slice that is called.
    pub slice: SliceName,
    /// The slice's call.
    pub call: Value,
    /// How long to wait for the answer.
    pub timeout: Duration,
    /// Gets the slice's answer.
    pub reply: oneshot::Sender<Result<Value, CallError>>,
}

/// Answers the calls that peers make to one slice.
#[async_trait]
pub trait PeerService: Send + Sync + 'static {
    /// Answers a call, or `None` if it is not of the slice's protocol.
    async fn serve(&self, call: Value) -> Option<Value>;
}
