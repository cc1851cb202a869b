//! Gives grants back, together with the answer where it is kept.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{header, HeaderMap, StatusCode};
use jackdawchute_dispatch::{Chunk, Result as SendResult};
use jackdawchute_requests::{
    AbandonGrant, Call, Complete, Grant, GrantOutcome, ReleaseGrant, RequestsTask, StoredAnswer,
};
use jackdawchute_types::IncarnationId;
use tokio::sync::{mpsc, oneshot};
use xtra::prelude::*;

use super::requests::InFlight;
use crate::{
    owner_client::RequestsOwnerClient,
    routing::{Finished, LocateGroup, RoutingTask},
};

/// How long the caller of a keyed request waits for its answer to be kept.
const KEEP_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay between two tries to give a grant back.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long giving back is tried; then the owner counts the grant until its life has passed.
const RETRY_TIME: Duration = Duration::from_secs(60);

/// A grant that is to be given back.
pub(crate) struct Completion {
    pub(crate) grant: Grant,
    pub(crate) incarnation: IncarnationId,
    pub(crate) routing: Address<RoutingTask>,
    pub(crate) owner_client: RequestsOwnerClient,
    pub(crate) holder: Address<RequestsTask>,
}

impl Completion {
    /// Gives the grant back, waiting a short while for the owner to keep the outcome; the rest
    /// goes on in the background.
    pub(crate) async fn finish(self, outcome: GrantOutcome) {
        let background = tokio::spawn(self.release(outcome));
        let _ = tokio::time::timeout(KEEP_TIMEOUT, background).await;
    }

    /// Gives a slot back once the minion is done.
    pub(crate) fn finish_later(self, done: oneshot::Receiver<SendResult<()>>, in_flight: InFlight) {
        tokio::spawn(async move {
            let outcome = match done.await {
                Ok(Ok(())) => GrantOutcome::Answered { answer: None },
                _ => GrantOutcome::AnswerLost,
            };
            drop(in_flight);
            self.count_finished(&outcome).await;
            self.release(outcome).await;
        });
    }

    /// Counts the slot as free for the choice of a group. A request without an answer may still
    /// run, and its owner counts it until it has surely ended; so does this instance, or it would
    /// take a group whose slots are all lost for the least used one.
    pub(super) async fn count_finished(&self, outcome: &GrantOutcome) {
        let finished = Finished(self.grant.group.clone());
        let routing = self.routing.clone();
        if matches!(outcome, GrantOutcome::AnswerLost) {
            let ended_after = self.grant.ended_after;
            tokio::spawn(async move {
                tokio::time::sleep(ended_after).await;
                // The task is gone only when the instance ends.
                let _ = routing.send(finished).await;
            });
        } else {
            let _counted = routing.send(finished).detach().await;
        }
    }

    async fn release(self, outcome: GrantOutcome) {
        let grant = &self.grant;
        let (group, epoch) = (grant.group.clone(), grant.epoch);
        self.tell_holder(&outcome).await;
        let holder = self.incarnation.clone();
        let complete = Complete {
            group,
            grant: grant.id,
            epoch,
            holder,
            outcome,
        };
        let give_up_at = Instant::now() + RETRY_TIME;
        while !self.tell_owner(complete.clone()).await && Instant::now() < give_up_at {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// A request whose answer was lost may still run, which a new owner must be told.
    async fn tell_holder(&self, outcome: &GrantOutcome) {
        let Grant {
            id: grant,
            group,
            epoch,
            ..
        } = self.grant.clone();
        if matches!(outcome, GrantOutcome::AnswerLost) {
            let _ = self
                .holder
                .send(AbandonGrant {
                    grant,
                    group,
                    epoch,
                })
                .await;
        } else {
            let _ = self
                .holder
                .send(ReleaseGrant {
                    grant,
                    group,
                    epoch,
                })
                .await;
        }
    }

    async fn tell_owner(&self, complete: Complete) -> bool {
        let locate = LocateGroup(complete.group.clone());
        let Ok(Ok(located)) = self.routing.send(locate).await else {
            return false;
        };
        let answer = self
            .owner_client
            .call(&located.owner, Call::Complete(complete))
            .await;
        matches!(answer, Ok(Ok(_)))
    }
}

/// Reads an answer that is kept for repeated calls.
pub(crate) struct KeepAnswer {
    /// The largest body that is kept.
    pub(crate) bytes_max: usize,
}

impl KeepAnswer {
    /// Reads the body up to the bound and lets the key's owner keep the answer before the caller
    /// gets it; of a larger one only the status is kept. Returns what was read and the rest.
    ///
    /// # Errors
    /// The answer broke off; the owner was told.
    pub(crate) async fn read(
        self,
        status: StatusCode,
        headers: &HeaderMap,
        mut body: mpsc::Receiver<Chunk>,
        reserved: Completion,
    ) -> SendResult<(Vec<Bytes>, mpsc::Receiver<Chunk>)> {
        let mut first = Vec::new();
        let mut length_bytes = 0;
        while let Some(chunk) = body.recv().await {
            match chunk {
                Ok(bytes) => {
                    length_bytes += bytes.len();
                    first.push(bytes);
                }
                Err(error) => {
                    reserved.finish(GrantOutcome::AnswerLost).await;
                    return Err(error);
                }
            }
            if length_bytes > self.bytes_max {
                break;
            }
        }
        let whole = (length_bytes <= self.bytes_max).then(|| first.concat());
        let answer = Some(stored(status, headers, whole));
        reserved.finish(GrantOutcome::Answered { answer }).await;
        Ok((first, body))
    }
}

fn stored(status: StatusCode, headers: &HeaderMap, body: Option<Vec<u8>>) -> StoredAnswer {
    let content_type = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    StoredAnswer {
        status: status.as_u16(),
        content_type: content_type.map(Into::into),
        body,
    }
}
