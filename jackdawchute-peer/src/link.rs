//! The task that owns the connection to one peer.

use std::{
    io::{self, ErrorKind},
    net::{IpAddr, SocketAddr},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use jackdawchute_types::CallError;
use jsonrpsee::{
    core::client::Error as ClientError,
    ws_client::{PingConfig, WsClient, WsClientBuilder},
};
use serde_json::Value;
use tokio::net::{TcpSocket, TcpStream};
use xtra::prelude::*;

use crate::{rpc::PeerRpcClient, CallPeer, Token};

/// The timeout of a connection attempt, and of the WebSocket handshake after it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long calls fail immediately after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// The upper limit of the timeout of a call.
const CALL_TIMEOUT_MAX: Duration = Duration::from_secs(300);
/// How many calls may await their responses on a connection at a time.
const CONCURRENT_CALLS_MAX: usize = 16_384;
/// The size limit of a message in bytes.
pub(crate) const MESSAGE_BYTES_MAX: u32 = 64 * 1024 * 1024;

/// Owns the connection to one peer.
#[derive(Debug, xtra::Actor)]
pub(crate) struct LinkTask {
    peer: SocketAddr,
    token: Token,
    /// The address that connections have at this end; `None` lets the system choose it.
    source: Option<IpAddr>,
    connection: Option<Arc<Connection>>,
    last_failure: Option<ConnectFailure>,
}

/// A connection, and whether a call on it has timed out.
#[derive(Debug)]
struct Connection {
    client: WsClient,
    /// Set when a call times out: the connection may be broken without being closed, so later calls
    /// use a new one.
    suspect: AtomicBool,
}

impl Connection {
    fn is_usable(&self) -> bool {
        self.client.is_connected() && !self.suspect.load(Ordering::Relaxed)
    }
}

/// The last failed connection attempt.
#[derive(Clone, Debug)]
struct ConnectFailure {
    failed_at: Instant,
    cause: ConnectError,
}

#[derive(Clone, Debug)]
enum ConnectError {
    Refused,
    Other(String),
}

impl LinkTask {
    pub(crate) fn new(peer: SocketAddr, token: Token, source: Option<IpAddr>) -> Self {
        Self {
            peer,
            token,
            source,
            connection: None,
            last_failure: None,
        }
    }

    /// Returns the open connection, or opens one unless an attempt has just failed.
    async fn connection(&mut self) -> Result<Arc<Connection>, ConnectError> {
        if let Some(connection) = self
            .connection
            .as_ref()
            .filter(|connection| connection.is_usable())
        {
            return Ok(connection.clone());
        }
        let recent = self
            .last_failure
            .as_ref()
            .filter(|failure| failure.failed_at.elapsed() < RECONNECT_DELAY);
        if let Some(failure) = recent {
            return Err(failure.cause.clone());
        }
        match connect(self.peer, self.source).await {
            Ok(client) => {
                let connection = Arc::new(Connection {
                    client,
                    suspect: AtomicBool::new(false),
                });
                self.connection = Some(connection.clone());
                Ok(connection)
            }
            Err(cause) => {
                self.last_failure = Some(ConnectFailure {
                    failed_at: Instant::now(),
                    cause: cause.clone(),
                });
                Err(cause)
            }
        }
    }
}

/// Opens a connection that has the address `source` at this end, if there is one.
async fn open_stream(peer: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(peer).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind((source, 0).into())?;
    socket.connect(peer).await
}

async fn connect(peer: SocketAddr, source: Option<IpAddr>) -> Result<WsClient, ConnectError> {
    let other = |cause: String| ConnectError::Other(cause);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, open_stream(peer, source)).await;
    let stream = match stream {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(ConnectError::Refused)
        }
        Ok(Err(error)) => return Err(other(error.to_string())),
        Err(_) => return Err(other("no connection in time".to_owned())),
    };
    let _ = stream.set_nodelay(true);
    WsClientBuilder::default()
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(CALL_TIMEOUT_MAX)
        .max_concurrent_requests(CONCURRENT_CALLS_MAX)
        .max_request_size(MESSAGE_BYTES_MAX)
        .max_response_size(MESSAGE_BYTES_MAX)
        .enable_ws_ping(ping_config())
        .build_with_stream(format!("ws://{peer}"), stream)
        .await
        .map_err(|error| other(error.to_string()))
}

/// Returns the settings of the pings that close the connection to a peer that no longer answers.
fn ping_config() -> PingConfig {
    PingConfig::new()
        .ping_interval(Duration::from_secs(5))
        .inactive_limit(Duration::from_secs(10))
        .max_failures(1)
}

impl Handler<CallPeer> for LinkTask {
    type Return = ();

    async fn handle(&mut self, call: CallPeer, _context: &mut Context<Self>) {
        match self.connection().await {
            Ok(connection) => {
                tokio::spawn(send_call(connection, self.token.clone(), call));
            }
            Err(cause) => {
                let peer = call.peer.to_string();
                let error = match cause {
                    ConnectError::Refused => CallError::ConnectionRefused(call.slice, peer),
                    ConnectError::Other(cause) => CallError::NotDelivered(call.slice, peer, cause),
                };
                let _ = call.reply.send(Err(error));
            }
        }
    }
}

/// Sends a call on an open connection and passes the response to the caller.
async fn send_call(connection: Arc<Connection>, token: Token, call: CallPeer) {
    let CallPeer {
        peer,
        slice,
        call,
        timeout,
        reply,
    } = call;
    let answer = connection.client.call((*token).clone(), slice.into(), call);
    let unknown = |cause: String| CallError::Unknown(slice, peer.to_string(), cause);
    let outcome: Result<Value, CallError> = match tokio::time::timeout(timeout, answer).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(ClientError::Call(error))) => Err(CallError::NotDelivered(
            slice,
            peer.to_string(),
            error.to_string(),
        )),
        Ok(Err(error)) => Err(unknown(error.to_string())),
        Err(_) => {
            connection.suspect.store(true, Ordering::Relaxed);
            Err(unknown("no answer in time".to_owned()))
        }
    };
    let _ = reply.send(outcome);
}
