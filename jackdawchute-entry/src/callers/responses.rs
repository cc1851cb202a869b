//! Builds the HTTP responses that callers get.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{stream, Stream};
use http::HeaderMap;
use jackdawchute_dispatch::Chunk;
use jackdawchute_requests::StoredAnswer;
use jackdawchute_types::{whole_ms, Refusal, RefusalReason, RequestKey};
use warp::reply::Response;

use super::{inbound::KEY_HEADER, problem};

/// The response header with the time that a request waited for its slot, in milliseconds.
const WAITED_HEADER: &str = "jackdawchute-waited-ms";

/// Adds the idempotency key to the headers, if there is one.
pub(super) fn insert_key(headers: &mut HeaderMap, key: Option<RequestKey>) {
    if let Some(value) = key.and_then(|key| key.parse().ok()) {
        headers.insert(KEY_HEADER, value);
    }
}

/// Returns the response that is stored under a key, or a problem document if its body was too large
/// to be stored.
pub(super) fn stored_response(answer: StoredAnswer) -> Response {
    let Some(body) = answer.body else {
        let detail = "answered before; the answer was too large to keep";
        return problem::response(&Refusal::unknown(RefusalReason::AnswerNotRetained, detail));
    };
    let mut response = Response::new(body.into());
    *response.status_mut() = answer.status.try_into().unwrap_or_default();
    let content_type = answer.content_type.and_then(|text| text.parse().ok());
    if let Some(value) = content_type {
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, value);
    }
    response
}

/// Returns a minion's response with a streamed body: the chunks read so far, then the others.
pub(super) fn stream_response(
    status: http::StatusCode,
    headers: HeaderMap,
    waited: Duration,
    first: Vec<Bytes>,
    rest: tokio::sync::mpsc::Receiver<Chunk>,
) -> Response {
    let body = body_stream(first, rest);
    let mut response = warp::Reply::into_response(warp::reply::stream(body));
    *response.status_mut() = status;
    response.headers_mut().extend(headers);
    response
        .headers_mut()
        .insert(WAITED_HEADER, http::HeaderValue::from(whole_ms(waited)));
    response
}

fn body_stream(
    first: Vec<Bytes>,
    rest: tokio::sync::mpsc::Receiver<Chunk>,
) -> impl Stream<Item = Chunk> {
    let rest = stream::unfold(rest, |mut rest| async move {
        let chunk = rest.recv().await?;
        Some((chunk, rest))
    });
    futures_util::StreamExt::chain(stream::iter(first.into_iter().map(Ok)), rest)
}
