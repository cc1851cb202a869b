//! The HTTP server for operators.

use std::net::SocketAddr;

use bytes::Buf;
use futures_util::{Future, Stream};
use http::{header, HeaderMap, HeaderValue, Method, StatusCode};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;
use tokio::task::JoinHandle;
use warp::{path::FullPath, reply::Response, Filter, Reply};

use super::{
    configuration::{self, ConfigurationApi, ConfigurationProblem},
    explain::{self, ExplainSources},
    status::StatusSources,
};
use crate::{
    body,
    listener::{self, ListenerLimits},
    routing::IsReady,
    Metrics, Result,
};

/// The content type of the OpenMetrics text format.
const METRICS_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// The maximum size of a request's body in bytes; the largest bodies are configurations as JSON.
const BODY_BYTES_MAX: usize = 2 * 1024 * 1024;

/// The parts and limits of the operators' listener.
#[derive(Clone)]
pub(crate) struct OperatorsOptions {
    pub(crate) status: StatusSources,
    pub(crate) explain: ExplainSources,
    pub(crate) configuration: ConfigurationApi,
    pub(crate) metrics: Metrics,
    /// The bearer token that operators must present; `None` admits every client.
    pub(crate) token: Option<SmolStr>,
    pub(crate) limits: ListenerLimits,
}

/// Starts the server, which ends once `stop` resolves. Returns its address and its task.
///
/// # Errors
/// The address could not be bound.
pub(crate) async fn serve(
    address: SocketAddr,
    options: OperatorsOptions,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<(SocketAddr, JoinHandle<()>)> {
    let (listener, address) = listener::bind("operators", address).await?;
    let limits = options.limits;
    let filter = warp::any()
        .and(warp::method())
        .and(warp::path::full())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: FullPath, headers, body| {
            let options = options.clone();
            async move { answer(&options, &method, path.as_str(), &headers, body).await }
        })
        .boxed();
    Ok((
        address,
        tokio::spawn(listener::run(listener, filter, limits, stop)),
    ))
}

/// Answers one request; health checks and metrics need no token.
async fn answer<B: Buf + Send>(
    options: &OperatorsOptions,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: impl Stream<Item = std::result::Result<B, warp::Error>> + Send,
) -> Response {
    match (method, path) {
        (&Method::GET, "/healthz") => "ok\n".into_response(),
        (&Method::GET, "/readyz") => ready(options).await,
        (&Method::GET, "/metrics") => metrics(options),
        _ if !is_authorized(options, headers) => StatusCode::UNAUTHORIZED.into_response(),
        (&Method::GET, "/v1/status") => status(options).await,
        (&Method::GET, _) if path.starts_with(explain::PATH) => {
            let id = &path[explain::PATH.len()..];
            warp::reply::json(&options.explain.explain(id).await).into_response()
        }
        _ if path.starts_with(configuration::PATH) => {
            match body::collect(body, BODY_BYTES_MAX).await {
                Ok(body) => options.configuration.answer(method, path, &body).await,
                Err(refusal) => ConfigurationProblem::Invalid {
                    detail: refusal.detail,
                }
                .response(),
            }
        }
        _ => StatusCode::NOT_FOUND.into_response(),
    }
}

fn is_authorized(options: &OperatorsOptions, headers: &HeaderMap) -> bool {
    let Some(token) = &options.token else {
        return true;
    };
    let presented = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let presented = presented
        .and_then(|text| text.strip_prefix("Bearer "))
        .unwrap_or_default();
    bool::from(presented.as_bytes().ct_eq(token.as_bytes()))
}

async fn ready(options: &OperatorsOptions) -> Response {
    let Ok(readiness) = options.status.routing.send(IsReady).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let status = if readiness.ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    warp::reply::with_status(warp::reply::json(&readiness), status).into_response()
}

fn metrics(options: &OperatorsOptions) -> Response {
    let mut response = options.metrics.text().into_response();
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, METRICS_TYPE);
    response
}

async fn status(options: &OperatorsOptions) -> Response {
    match options.status.collect().await {
        Ok(status) => warp::reply::json(&status).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
