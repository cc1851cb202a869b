//! The HTTP server for callers.

use std::net::SocketAddr;

use bytes::Buf;
use futures_util::{Future, Stream};
use http::{HeaderMap, Method};
use jackdawchute_types::{ClassId, JobId, Recorder, Refusal, RefusalReason};
use tokio::task::JoinHandle;
use warp::{path::FullPath, reply::Response, Filter};

use super::{inbound::Inbound, jobs::JobsApi, problem, requests::RequestsApi};
use crate::{
    body,
    listener::{self, ListenerLimits},
    metrics::NO_CLASS,
    routing::MatchRoute,
    Result,
};

/// The path of the jobs API.
const JOBS_PATH: &str = "/v1/jobs";

/// The parts and limits of the callers' listener.
#[derive(Clone)]
pub(crate) struct CallersOptions {
    pub(crate) requests: RequestsApi,
    pub(crate) jobs: JobsApi,
    /// The maximum size of a submitted job in bytes.
    pub(crate) job_bytes_max: usize,
    /// The maximum size of a request's body in bytes; a route may set a lower one.
    pub(crate) body_bytes_max: usize,
    /// The limits of connections and headers.
    pub(crate) limits: ListenerLimits,
}

/// Starts the server, which ends once `stop` resolves and every request in flight is answered.
/// Returns its address and its task.
///
/// # Errors
/// The address could not be bound.
pub(crate) async fn serve(
    address: SocketAddr,
    options: CallersOptions,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<(SocketAddr, JoinHandle<()>)> {
    let (listener, address) = listener::bind("callers", address).await?;
    let limits = options.limits;
    let filter = warp::any()
        .and(warp::method())
        .and(warp::path::full())
        .and(warp::query::raw().or(warp::any().map(String::new)).unify())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: FullPath, query, headers, body| {
            let head = RequestHead {
                method,
                path: path.as_str().to_owned(),
                query,
                headers,
            };
            answer(options.clone(), head, body)
        })
        .boxed();
    Ok((
        address,
        tokio::spawn(listener::run(listener, filter, limits, stop)),
    ))
}

/// A request whose body has not been read yet.
struct RequestHead {
    method: Method,
    path: String,
    query: String,
    headers: HeaderMap,
}

async fn answer<B: Buf + Send>(
    options: CallersOptions,
    head: RequestHead,
    body: impl Stream<Item = std::result::Result<B, warp::Error>> + Send,
) -> Response {
    let outcome = if head.path == JOBS_PATH || head.path.starts_with("/v1/jobs/") {
        answer_job(&options, head, body).await
    } else {
        answer_request(&options, head, body).await
    };
    outcome.unwrap_or_else(|refusal| {
        options
            .requests
            .metrics
            .refused(&ClassId::new(NO_CLASS), refusal.reason);
        problem::response(&refusal)
    })
}

async fn answer_job<B: Buf + Send>(
    options: &CallersOptions,
    head: RequestHead,
    body: impl Stream<Item = std::result::Result<B, warp::Error>> + Send,
) -> std::result::Result<Response, Refusal> {
    let id = head.path.strip_prefix("/v1/jobs/").map(JobId::new);
    match (head.method, id) {
        (Method::POST, None) => {
            let body = body::collect(body, options.job_bytes_max).await?;
            Ok(options.jobs.submit(&head.headers, &body).await)
        }
        (Method::GET, Some(id)) => Ok(options.jobs.status(id).await),
        (Method::DELETE, Some(id)) => Ok(options.jobs.cancel(id).await),
        (method, _) => {
            let detail = format!("{method} is not offered for {}", head.path);
            Err(Refusal::not_run(RefusalReason::NotFound, detail))
        }
    }
}

async fn answer_request<B: Buf + Send>(
    options: &CallersOptions,
    head: RequestHead,
    body: impl Stream<Item = std::result::Result<B, warp::Error>> + Send,
) -> std::result::Result<Response, Refusal> {
    let RequestHead {
        method,
        path,
        query,
        headers,
    } = head;
    let mut inbound = Inbound {
        method,
        path,
        query,
        headers,
        body: Default::default(),
    };
    let (method, path) = (inbound.method.clone(), inbound.path.clone());
    let route = MatchRoute {
        method,
        host: inbound.host(),
        path,
    };
    let route = options.requests.match_route(route).await?;
    let bytes_max = route.body_bytes_max.min(options.body_bytes_max);
    inbound.body = body::collect(body, bytes_max).await?;
    Ok(options.requests.answer(route, inbound).await)
}
