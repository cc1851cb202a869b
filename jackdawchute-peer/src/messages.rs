//! Messages of the peer tasks, and the trait that answers calls.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use jackdawchute_types::CallError;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::sync::oneshot;

/// The name of the slice that a call is for, such as `cell`.
pub type SliceName = &'static str;
/// The secret that peers share; empty if the operator set none.
pub type Token = Arc<SmolStr>;

/// Sends a call to a peer.
#[derive(Debug)]
pub struct CallPeer {
    /// The address of the peer's listener.
    pub peer: SocketAddr,
    /// The name of the slice that answers the call.
    pub slice: SliceName,
    /// The serialized call of the slice.
    pub call: Value,
    /// How long to wait for the response.
    pub timeout: Duration,
    /// Receives the serialized response of the slice.
    pub reply: oneshot::Sender<Result<Value, CallError>>,
}

/// Answers the calls that peers make to one slice.
#[async_trait]
pub trait PeerService: Send + Sync + 'static {
    /// Answers a call; returns `None` if the call does not belong to the slice's protocol.
    async fn serve(&self, call: Value) -> Option<Value>;
}
