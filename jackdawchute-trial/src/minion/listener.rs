//! The HTTP listener of a minion.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use jackdawchute_types::{MinionId, RequestKey};
use smol_str::SmolStr;
use tokio::sync::oneshot;
use warp::{
    http::{HeaderMap, Method, StatusCode},
    hyper::body::Bytes,
    path::FullPath,
    reply::Response,
    Filter, Rejection, Reply,
};
use xtra::prelude::*;

use super::{Answer, Begin, Echo, End, MinionRecord, MinionTask, ReadRecord, ResponsePlan};
use crate::{listener::ANY_LOOPBACK_PORT, Error, Listening, Result};

/// The header with the caller's tag, which the minion echoes.
const TAG_HEADER: &str = "x-request-tag";
/// The header with the id of the minion that responded.
const MINION_HEADER: &str = "x-minion";
/// The header with the idempotency key of a request.
const KEY_HEADER: &str = "idempotency-key";

/// The options of a minion.
#[derive(Clone, Debug)]
pub struct MinionOptions {
    /// The minion's id.
    pub id: MinionId,
    /// How many requests it should get at a time; more are served too, and show in the record.
    pub slots: u32,
    /// The service time of a request that sets none.
    pub service_time: Duration,
    /// The address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
}

impl MinionOptions {
    /// Returns options for a minion on loopback, at a port that the system chooses, that responds at
    /// once.
    pub fn new(id: impl Into<MinionId>, slots: u32) -> Self {
        Self {
            id: id.into(),
            slots,
            service_time: Duration::ZERO,
            listen: ANY_LOOPBACK_PORT,
        }
    }
}

/// A running minion; dropping it closes the listener.
#[derive(Debug)]
pub struct RunningMinion {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The task that owns the minion's record.
    pub task: Address<MinionTask>,
    _listening: Listening,
}

impl RunningMinion {
    /// Returns the record of every request that it served.
    ///
    /// # Errors
    /// The minion's task has ended.
    pub async fn record(&self) -> Result<MinionRecord> {
        self.task
            .send(ReadRecord)
            .await
            .map_err(|_| Error::Ended("read record", self.address.to_string()))
    }
}

/// Starts a minion and its listener.
///
/// # Errors
/// The address could not be bound.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> jackdawchute_trial::Result<()> {
/// use jackdawchute_trial::{spawn_minion, MinionOptions};
///
/// let minion = spawn_minion(MinionOptions::new("m1", 8)).await?;
/// assert!(minion.record().await?.runs.is_empty());
/// # Ok(())
/// # }
/// ```
pub async fn spawn_minion(options: MinionOptions) -> Result<RunningMinion> {
    let task = xtra::spawn_tokio(
        MinionTask::new(options.id.clone(), options.slots),
        Mailbox::unbounded(),
    );
    let listening = Listening::bind(
        options.listen,
        routes(options.id, options.service_time, task.clone()),
    )
    .await?;
    Ok(RunningMinion {
        address: listening.address(),
        task,
        _listening: listening,
    })
}

/// Returns the route of a minion, which answers every method and path.
pub fn routes(
    id: MinionId,
    service_time: Duration,
    task: Address<MinionTask>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let query = warp::query::raw().or_else(|_| async { Ok::<_, Infallible>((String::new(),)) });
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(move |method, path, query, headers, body| {
            let request = Request::new(method, &path, query, &headers, body);
            serve(request, id.clone(), service_time, task.clone())
        })
}

/// A request that was read whole.
#[derive(Debug)]
struct Request {
    method: Method,
    path: SmolStr,
    query: String,
    tag: SmolStr,
    key: Option<RequestKey>,
    body: Bytes,
}

impl Request {
    fn new(
        method: Method,
        path: &FullPath,
        query: String,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Self {
        let header =
            |name: &str| -> Option<SmolStr> { headers.get(name)?.to_str().ok().map(SmolStr::new) };
        let separator = if query.is_empty() { "" } else { "?" };
        Self {
            method,
            path: smol_str::format_smolstr!("{}{separator}{query}", path.as_str()),
            query,
            tag: header(TAG_HEADER).unwrap_or_default(),
            key: header(KEY_HEADER),
            body,
        }
    }
}

/// Serves a request to its end, also if the caller disconnects in the meantime.
async fn serve(
    request: Request,
    id: MinionId,
    service_time: Duration,
    task: Address<MinionTask>,
) -> Response {
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let response = run(request, id, service_time, &task).await;
        let _ = sender.send(response);
    });
    receiver
        .await
        .unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

async fn run(
    request: Request,
    id: MinionId,
    service_time: Duration,
    task: &Address<MinionTask>,
) -> Response {
    let begin = Begin {
        method: request.method.as_str().into(),
        path: request.path.clone(),
        tag: request.tag.clone(),
        key: request.key.clone(),
    };
    let Ok(begun) = task.send(begin).await else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let plan = ResponsePlan::parse(&request.query, service_time);
    tokio::time::sleep(plan.duration).await;
    let response = match begun.fails {
        true => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        false => echo_response(&request, id, plan.answer_bytes),
    };
    let _ = task.send(End(begun.index)).await;
    response
}

fn echo_response(request: &Request, id: MinionId, filler_bytes: usize) -> Response {
    let echo = Echo::new(
        id.clone(),
        request.method.as_str(),
        &request.path,
        &request.body,
        &request.tag,
    );
    let body = Answer::new(echo, filler_bytes).to_bytes();
    let reply = warp::reply::with_header(body, MINION_HEADER, id.as_str());
    warp::reply::with_header(reply, TAG_HEADER, request.tag.as_str()).into_response()
}
