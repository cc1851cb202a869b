//! The listener towards peers.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use jsonrpsee::{
    core::RpcResult,
    server::{Server, ServerConfig, ServerHandle},
    types::ErrorObjectOwned,
};
use serde_json::Value;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use crate::{
    link::MESSAGE_BYTES_MAX, rpc::PeerRpcServer, Error, PeerService, Result, Slice, Token,
};

/// JSON-RPC codes of refused calls, from the range left to applications.
mod code {
    pub(super) const FORBIDDEN: i32 = -32_001;
    pub(super) const UNKNOWN_SLICE: i32 = -32_002;
    pub(super) const MALFORMED: i32 = -32_003;
}

/// The services by slice.
pub type Services = HashMap<Slice, Arc<dyn PeerService>>;

/// What the listener needs.
pub struct Options {
    /// Where to listen; port 0 lets the system choose.
    pub address: SocketAddr,
    /// The secret that each call must carry.
    pub token: Token,
    /// The most connections at a time.
    pub connections_max: u32,
    /// Who answers.
    pub services: Services,
}

/// A listener that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct RunningServer {
    /// Where it listens.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl RunningServer {
    /// Stops taking calls.
    pub fn stop(&self) {
        let _ = self.handle.stop();
    }
}

/// Starts the listener on the current tokio runtime.
///
/// # Errors
/// The address could not be bound.
pub async fn serve(options: Options) -> Result<RunningServer> {
    let bind_error =
        |error: std::io::Error| Error::Bind(options.address.to_string(), error.to_string());
    let config = ServerConfig::builder()
        .max_request_body_size(MESSAGE_BYTES_MAX)
        .max_response_body_size(MESSAGE_BYTES_MAX)
        .max_connections(options.connections_max)
        .set_tcp_no_delay(true)
        .build();
    let server = Server::builder()
        .set_config(config)
        .build(options.address)
        .await
        .map_err(bind_error)?;
    let address = server.local_addr().map_err(bind_error)?;
    let rpc = Rpc {
        token: options.token,
        services: options.services,
    };
    Ok(RunningServer {
        address,
        handle: server.start(rpc.into_rpc()),
    })
}

struct Rpc {
    token: Token,
    services: Services,
}

#[async_trait]
impl PeerRpcServer for Rpc {
    async fn call(&self, token: SmolStr, slice: SmolStr, call: Value) -> RpcResult<Value> {
        if !bool::from(token.as_bytes().ct_eq(self.token.as_bytes())) {
            return Err(refusal(code::FORBIDDEN, "the token differs"));
        }
        let service = self.services.get(slice.as_str());
        let service = service.ok_or_else(|| refusal(code::UNKNOWN_SLICE, "no such slice"))?;
        let answer = service.serve(call).await;
        answer.ok_or_else(|| refusal(code::MALFORMED, "not of the slice's protocol"))
    }
}

fn refusal(code: i32, message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message, None::<()>)
}
