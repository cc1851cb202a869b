//! What the dispatch tasks take and send.

use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use jackdawchute_types::MinionId;
use tokio::sync::{mpsc, oneshot};

use crate::Result;

/// A request as the minion gets it.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// Path and query, beginning with `/`.
    pub path_and_query: String,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A part of an answer's body, or how the answer broke off.
pub type Chunk = Result<Bytes>;

/// The head of a minion's answer; the body follows in parts.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body; closed without an error once it is whole.
    pub body: mpsc::Receiver<Chunk>,
    /// Resolves when the minion is done with the request, also after `body` was dropped.
    pub done: oneshot::Receiver<Result<()>>,
}

/// Sends a request to a minion.
#[derive(Debug)]
pub struct SendRequest {
    /// The minion.
    pub minion: MinionId,
    /// Where it listens.
    pub address: SocketAddr,
    /// It must not be sent after this instant; checked right before the send.
    pub send_by: Instant,
    /// The answer must be whole by this instant, else the connection is closed.
    pub answer_by: Instant,
    /// The request.
    pub request: Outgoing,
    /// Gets the head of the answer.
    pub reply: oneshot::Sender<Result<Answer>>,
}

/// Changes how many idle connections are kept to each minion; open links are replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SetIdleConnections(pub usize);
