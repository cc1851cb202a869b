//! The listener that answers the calls of peers.

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

/// JSON-RPC error codes of refused calls, from the range for implementation-defined server errors.
mod code {
    pub(super) const FORBIDDEN: i32 = -32_001;
    pub(super) const UNKNOWN_SLICE: i32 = -32_002;
    pub(super) const MALFORMED: i32 = -32_003;
}

/// The services of a listener by the name of their slice.
pub type Services = HashMap<SliceName, Arc<dyn PeerService>>;

/// Options of the peer listener.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address to listen on; port 0 lets the system choose a port.
    pub address: SocketAddr,
    /// The secret that each call must contain.
    pub token: Token,
    /// The most connections that are accepted at a time.
    pub connections_max: u32,
}

/// A listener that is bound and does not answer calls yet.
#[derive(Debug)]
pub struct BoundServer {
    /// The bound address, with the actual port.
    pub address: SocketAddr,
    server: Server,
    token: Token,
}

/// A listener that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct RunningServer {
    handle: ServerHandle,
}

/// Binds the peer listener.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use jackdawchute_peer::{bind, Options, Services};
///
/// let address = "127.0.0.1:0".parse().expect("a valid address");
/// let options = Options { address, token: Default::default(), connections_max: 8 };
/// let bound = bind(options).await.expect("the system chooses a free port");
/// assert_ne!(bound.address.port(), 0);
/// bound.start(Services::new()).stop();
/// # }
/// ```
///
/// # Errors
/// [`Error::Bind`] if the listener could not be bound to the address.
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
    /// Starts to answer calls with `services`.
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
    /// Stops answering calls.
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
