//! Moves an answer's body from the minion's connection to the caller's.

use std::time::Instant;

use futures_util::StreamExt;
use reqwest::Response;
use tokio::sync::{mpsc, oneshot};

use crate::{Chunk, Error, Result};

/// How many parts wait for a slow caller before the minion's connection is read no further.
const BUFFERED_CHUNKS: usize = 16;

/// Starts moving; the second receiver resolves when the minion is done.
pub(crate) fn start(
    response: Response,
    peer: String,
    answer_by: Instant,
) -> (mpsc::Receiver<Chunk>, oneshot::Receiver<Result<()>>) {
    let (chunks, body) = mpsc::channel(BUFFERED_CHUNKS);
    let (finished, done) = oneshot::channel();
    tokio::spawn(async move {
        let moved = tokio::time::timeout_at(answer_by.into(), move_body(response, &peer, &chunks));
        let late = || {
            Err(Error::AnswerLost(
                peer.clone(),
                "not whole in time".to_owned(),
            ))
        };
        let outcome = moved.await.unwrap_or_else(|_| late());
        let broken = outcome.as_ref().err().cloned();
        let _ = finished.send(outcome);
        if let Some(error) = broken {
            let _ = chunks.send(Err(error)).await;
        }
    });
    (body, done)
}

/// Reads to the end also after the caller went away: the minion's slot is in use until then.
async fn move_body(response: Response, peer: &str, chunks: &mpsc::Sender<Chunk>) -> Result<()> {
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
