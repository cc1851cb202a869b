//! Requests that get no answer.

use std::time::Duration;

use warp::{http::StatusCode, reply::Response, Reply};

/// How long a request without an answer is held, longer than any client waits.
const HOLD: Duration = Duration::from_secs(60);

/// Gives no answer while any client still waits for one.
pub(crate) async fn hold() -> Response {
    tokio::time::sleep(HOLD).await;
    StatusCode::GATEWAY_TIMEOUT.into_response()
}
