//! Messages of the dispatch tasks.

use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use jackdawchute_types::MinionId;
use tokio::sync::{mpsc, oneshot};

use crate::Result;

/// A request as it is sent to the minion.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The HTTP method.
    pub method: Method,
    /// The path and query of the URL, beginning with `/`.
    pub path_and_query: String,
    /// The end-to-end headers; `Content-Length` is replaced by the length of the body.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A part of a response body, or the error that ended the body early.
pub type Chunk = Result<Bytes>;

/// The head of a minion's response; the body follows in parts.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// Receives the body; closed without an error once the body is complete.
    pub body: mpsc::Receiver<Chunk>,
    /// Resolves when the minion has finished the response or the response was lost, also if `body`
    /// was dropped before.
    pub done: oneshot::Receiver<Result<()>>,
}

/// Asks the dispatch task to send a request to a minion.
#[derive(Debug)]
pub struct SendRequest {
    /// The minion whose slot was granted to the request.
    pub minion: MinionId,
    /// The address at which the minion accepts requests.
    pub address: SocketAddr,
    /// The instant from which the request must not be sent any more; checked right before the send.
    pub send_by: Instant,
    /// The whole response must be received by this instant, otherwise the connection is closed.
    pub answer_by: Instant,
    /// The request to send.
    pub request: Outgoing,
    /// Receives the head of the response.
    pub reply: oneshot::Sender<Result<Answer>>,
}

/// Changes how many idle connections are kept to each minion.
///
/// A different number replaces the task of every minion, so that new requests use new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SetIdleConnections(pub usize);
