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
    link::MESSAGE_BYTES_MAX, rpc::PeerRpcServer, Error, PeerService, Result, SliceName, Token,
};

/// JSON-RPC codes of refused calls, from the range left to applications.
mod code {
    pub(super) const FORBIDDEN: i32 = -32_001;
    pub(super) const UNKNOWN_SLICE: i32 = -32_002;
    pub(super) const MALFORMED: i32 = -32_003;
}

/// The services by slice.
pub type Services = HashMap<SliceName, Arc<dyn PeerService>>;

/// How the listener is bound.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where to listen; port 0 lets the system choose.
    pub address: SocketAddr,
    /// The secret that each call must carry.
    pub token: Token,
    /// The most connections at a time.
    pub connections_max: u32,
}

/// A listener that is bound and does not answer yet.
#[derive(Debug)]
pub struct BoundServer {
    /// Where it listens.
    pub address: SocketAddr,
    server: Server,
    token: Token,
}

/// A listener that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct RunningServer {
    handle: ServerHandle,
}

/// Binds the listener.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use jackdawchute_peer::{bind, Options, Services};
///
/// let address = "127.0.0.1:0".parse().expect("an address");
/// let options = Options { address, token: Default::default(), connections_max: 8 };
/// let bound = bind(options).await.expect("a free port");
/// assert_ne!(bound.address.port(), 0);
/// bound.start(Services::new()).stop();
/// # }
/// ```
///
/// # Errors
/// The address could not be bound.
pub async fn bind(options: Options) -> Result<BoundServer> {
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
    Ok(BoundServer {
        address,
        server,
        token: options.token,
    })
}

impl BoundServer {
    /// Begins to answer calls.
    pub fn start(self, services: Services) -> RunningServer {
        let rpc = Rpc {
            token: self.token,
            services,
        };
        RunningServer {
            handle: self.server.start(rpc.into_rpc()),
        }
    }
}

impl RunningServer {
    /// Stops taking calls.
    pub fn stop(&self) {
        let _ = self.handle.stop();
    }
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
