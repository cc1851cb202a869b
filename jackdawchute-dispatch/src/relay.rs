//! Forwards a response body from the minion's connection to the caller's.

use std::time::Instant;

use futures_util::StreamExt;
use reqwest::Response;
use tokio::sync::{mpsc, oneshot};

use crate::{Chunk, Error, Result};

/// How many parts are buffered for a slow caller before reading from the minion's connection
/// pauses.
const BUFFERED_CHUNKS: usize = 16;

/// Starts to forward the body of a response to the first receiver; the second one resolves when the
/// minion has finished or the response was lost.
pub(crate) fn start(
    response: Response,
    peer: String,
    answer_by: Instant,
) -> (mpsc::Receiver<Chunk>, oneshot::Receiver<Result<()>>) {
    let (chunks, body) = mpsc::channel(BUFFERED_CHUNKS);
    let (finished, done) = oneshot::channel();
    tokio::spawn(async move {
        let forwarding =
            tokio::time::timeout_at(answer_by.into(), forward_body(response, &peer, &chunks));
        let timed_out = || {
            Err(Error::AnswerLost(
                peer.clone(),
                "not whole in time".to_owned(),
            ))
        };
        let outcome = forwarding.await.unwrap_or_else(|_| timed_out());
        let failure = outcome.as_ref().err().cloned();
        let _ = finished.send(outcome);
        if let Some(error) = failure {
            let _ = chunks.send(Err(error)).await;
        }
    });
    (body, done)
}

/// Forwards the body to its end, also after the caller went away, because the minion's slot is in
/// use until then.
async fn forward_body(response: Response, peer: &str, chunks: &mpsc::Sender<Chunk>) -> Result<()> {
    let mut stream = response.bytes_stream();
    while let Some(part) = stream.next().await {
        match part {
            Ok(bytes) => {
                let _ = chunks.send(Ok(bytes)).await;
            }
            Err(error) => return Err(Error::AnswerLost(peer.to_owned(), error.to_string())),
        }
    }
    Ok(())
}
