//! The task that owns the connection to one peer.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_types::CallError;
use jsonrpsee::{
    core::client::Error as ClientError,
    ws_client::{PingConfig, WsClient, WsClientBuilder},
};
use serde_json::Value;
use xtra::prelude::*;

use crate::{rpc::PeerRpcClient, CallPeer, Token};

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long calls fail at once after a failed attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// The upper bound on any call's own timeout.
const CALL_TIMEOUT_MAX: Duration = Duration::from_secs(300);
/// How many calls may be under way at a time.
const CONCURRENT_CALLS_MAX: usize = 16_384;
/// The largest message in bytes.
pub(crate) const MESSAGE_BYTES_MAX: u32 = 64 * 1024 * 1024;

/// Owns the connection to one peer.
#[derive(Debug, xtra::Actor)]
pub(crate) struct LinkTask {
    peer: SocketAddr,
    token: Token,
    client: Option<Arc<WsClient>>,
    failed_at: Option<Instant>,
}

impl LinkTask {
    pub(crate) fn new(peer: SocketAddr, token: Token) -> Self {
        Self {
            peer,
            token,
            client: None,
            failed_at: None,
        }
    }

    async fn connected(&mut self) -> Result<Arc<WsClient>, String> {
        if let Some(client) = self.client.as_ref().filter(|client| client.is_connected()) {
            return Ok(client.clone());
        }
        if self
            .failed_at
            .is_some_and(|instant| instant.elapsed() < RECONNECT_DELAY)
        {
            return Err("the last connection attempt failed just now".to_owned());
        }
        match connect(self.peer).await {
            Ok(client) => {
                let client = Arc::new(client);
                self.client = Some(client.clone());
                Ok(client)
            }
            Err(error) => {
                self.failed_at = Some(Instant::now());
                Err(error.to_string())
            }
        }
    }
}

async fn connect(peer: SocketAddr) -> Result<WsClient, ClientError> {
    WsClientBuilder::default()
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(CALL_TIMEOUT_MAX)
        .max_concurrent_requests(CONCURRENT_CALLS_MAX)
        .max_request_size(MESSAGE_BYTES_MAX)
        .max_response_size(MESSAGE_BYTES_MAX)
        .enable_ws_ping(ping_config())
        .build(format!("ws://{peer}"))
        .await
}

/// Closes the connection to a peer that stopped answering.
fn ping_config() -> PingConfig {
    PingConfig::new()
        .ping_interval(Duration::from_secs(5))
        .inactive_limit(Duration::from_secs(10))
        .max_failures(1)
}

impl Handler<CallPeer> for LinkTask {
    type Return = ();

    async fn handle(&mut self, call: CallPeer, _context: &mut Context<Self>) {
        match self.connected().await {
            Ok(client) => {
                tokio::spawn(exchange(client, self.token.clone(), call));
            }
            Err(cause) => {
                let error = CallError::NotDelivered(call.slice, call.peer.to_string(), cause);
                let _ = call.reply.send(Err(error));
            }
        }
    }
}

async fn exchange(client: Arc<WsClient>, token: Token, call: CallPeer) {
    let CallPeer {
        peer,
        slice,
        call,
        timeout,
        reply,
    } = call;
    let answer = client.call((*token).clone(), slice.into(), call);
    let unknown = |cause: String| CallError::Unknown(slice, peer.to_string(), cause);
    let outcome: Result<Value, CallError> = match tokio::time::timeout(timeout, answer).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(ClientError::Call(error))) => Err(CallError::NotDelivered(
            slice,
            peer.to_string(),
            error.to_string(),
        )),
        Ok(Err(error)) => Err(unknown(error.to_string())),
        Err(_) => Err(unknown("no answer in time".to_owned())),
    };
    let _ = reply.send(outcome);
}
