//! Requests that get no response.

use std::time::Duration;

use warp::{http::StatusCode, reply::Response, Reply};

/// How long a request without a response stays open, longer than any client waits.
const OPEN_TIME: Duration = Duration::from_secs(60);

/// Keeps a request open without a response for longer than any client waits.
pub(crate) async fn withhold_response() -> Response {
    tokio::time::sleep(OPEN_TIME).await;
    StatusCode::GATEWAY_TIMEOUT.into_response()
}
