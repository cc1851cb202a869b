//! Releases grants at their owners and retains responses under idempotency keys.

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
    routing::{LocateGroup, RequestFinished, RoutingTask},
};

/// How long the caller of a keyed request waits for the key's owner to retain the response.
const RETAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay between two attempts to release a grant at its owner.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long the release is attempted. After that the owner counts the grant as in use until the
/// grant's life has passed.
const RELEASE_RETRY_TIME: Duration = Duration::from_secs(60);

/// A grant that this instance has to release.
pub(crate) struct Completion {
    pub(crate) grant: Grant,
    pub(crate) incarnation: IncarnationId,
    pub(crate) routing: Address<RoutingTask>,
    pub(crate) owner_client: RequestsOwnerClient,
    pub(crate) holder: Address<RequestsTask>,
}

impl Completion {
    /// Releases the grant with its outcome. Waits at most [`RETAIN_TIMEOUT`] for the owner's
    /// acknowledgement and then goes on in the background.
    pub(crate) async fn finish(self, outcome: GrantOutcome) {
        let background = tokio::spawn(self.release(outcome));
        let _ = tokio::time::timeout(RETAIN_TIMEOUT, background).await;
    }

    /// Releases the grant in the background once the whole response has been received or lost.
    pub(crate) fn finish_when_done(
        self,
        done: oneshot::Receiver<SendResult<()>>,
        in_flight: InFlight,
    ) {
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

    /// Ends the count of the request as in flight, by which the least used group is picked. A request
    /// whose response was lost may still run: the owner counts its slot as in use until `ended_after`
    /// has passed, when it is known to have ended. This instance does the same; otherwise it would
    /// pick a group whose slots are all used by such requests as the least used one.
    pub(super) async fn count_finished(&self, outcome: &GrantOutcome) {
        let finished = RequestFinished(self.grant.group.clone());
        let routing = self.routing.clone();
        if matches!(outcome, GrantOutcome::AnswerLost) {
            let ended_after = self.grant.ended_after;
            tokio::spawn(async move {
                tokio::time::sleep(ended_after).await;
                // The routing task ends only with the instance.
                let _ = routing.send(finished).await;
            });
        } else {
            let _counted = routing.send(finished).detach().await;
        }
    }

    async fn release(self, outcome: GrantOutcome) {
        let grant = &self.grant;
        let (group, epoch) = (grant.group.clone(), grant.epoch);
        self.update_holder(&outcome).await;
        let holder = self.incarnation.clone();
        let complete = Complete {
            group,
            grant: grant.id,
            epoch,
            holder,
            outcome,
        };
        let retry_until = Instant::now() + RELEASE_RETRY_TIME;
        while !self.report_to_owner(complete.clone()).await && Instant::now() < retry_until {
            tokio::time::sleep(RELEASE_RETRY_DELAY).await;
        }
    }

    /// Tells the local holder of grants that this one ended. A request whose response was lost may
    /// still run, so that its grant is abandoned and reported to a new owner.
    async fn update_holder(&self, outcome: &GrantOutcome) {
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

    /// Reports the outcome to the owner of the grant's group; returns whether it acknowledged.
    async fn report_to_owner(&self, complete: Complete) -> bool {
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

/// Reads a response and has it retained for repeated requests with the same key.
pub(crate) struct RetainAnswer {
    /// The maximum size of a body that is retained, in bytes.
    pub(crate) bytes_max: usize,
}

impl RetainAnswer {
    /// Reads the body up to `bytes_max` and has the key's owner retain the response before the
    /// caller gets it; of a larger one only status and content type are retained. Returns the
    /// chunks that were read and the receiver of the others.
    ///
    /// # Errors
    /// The response broke off; its loss was reported to the key's owner.
    pub(crate) async fn read(
        self,
        status: StatusCode,
        headers: &HeaderMap,
        mut body: mpsc::Receiver<Chunk>,
        key_grant: Completion,
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
                    key_grant.finish(GrantOutcome::AnswerLost).await;
                    return Err(error);
                }
            }
            if length_bytes > self.bytes_max {
                break;
            }
        }
        let whole = (length_bytes <= self.bytes_max).then(|| first.concat());
        let answer = Some(stored_answer(status, headers, whole));
        key_grant.finish(GrantOutcome::Answered { answer }).await;
        Ok((first, body))
    }
}

fn stored_answer(status: StatusCode, headers: &HeaderMap, body: Option<Vec<u8>>) -> StoredAnswer {
    let content_type = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    StoredAnswer {
        status: status.as_u16(),
        content_type: content_type.map(Into::into),
        body,
    }
}
