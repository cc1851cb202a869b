//! Refusals as problem documents (RFC 9457).

use http::{header, HeaderValue, StatusCode};
use jackdawchute_types::{Execution, Refusal, RefusalReason};
use serde::Serialize;
use warp::reply::Response;

const CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

/// The JSON body of a problem document; `type` is a URN made of the reason.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    reason: RefusalReason,
    execution: Execution,
}

/// Returns the HTTP status of a refusal.
pub(crate) fn status(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        RefusalReason::QueueFull | RefusalReason::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::DeadlineUnreachable
        | RefusalReason::DeadlineExpired
        | RefusalReason::AnswerLost => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::Invalid => StatusCode::BAD_REQUEST,
        RefusalReason::NotFound => StatusCode::NOT_FOUND,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::NeverFits | RefusalReason::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::KeyInProgress
        | RefusalReason::AnswerNotRetained
        | RefusalReason::Cancelled => StatusCode::CONFLICT,
        RefusalReason::NoMinion
        | RefusalReason::StoreUnavailable
        | RefusalReason::OwnerUnavailable
        | RefusalReason::Draining
        | RefusalReason::ConfigurationUnconfirmed
        | RefusalReason::ConnectFailed
        | RefusalReason::RetryBudgetExhausted => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the response for a refusal, with `retry-after` if a later call may succeed.
pub(crate) fn response(refusal: &Refusal) -> Response {
    let status = status(refusal);
    let problem = Problem {
        kind: format!("urn:jackdawchute:refusal:{}", refusal.reason),
        title: status.canonical_reason().unwrap_or("Refused"),
        status: status.as_u16(),
        detail: &refusal.detail,
        reason: refusal.reason,
        execution: refusal.execution,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, CONTENT_TYPE);
    if status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error() {
        let seconds = refusal.retry_after.as_secs_f64().ceil().max(1.0);
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.0}")) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
