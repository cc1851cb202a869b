//! Carries a caller's request to a minion and the answer back.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{stream, Stream};
use http::HeaderMap;
use jackdawchute_dispatch::{Answer, Chunk, DispatchTask, Error as SendError, Outgoing, Send};
use jackdawchute_requests::{
    Acquire, Call, FailedAttempt, Grant, GrantOutcome, Held, Reply, RequestsTask, StoredAnswer,
};
use jackdawchute_types::{
    Execution, GroupId, IncarnationId, Recorder, Refusal, RefusalReason, RequestKey, RetryReason,
};
use tokio::sync::oneshot;
use warp::reply::Response;
use xtra::prelude::*;

use super::{
    complete::{Completion, KeepAnswer},
    inbound::{Inbound, KEY_HEADER},
    problem,
};
use crate::{
    authority::RequestsAuthority,
    routing::{
        AskRetry, Finished, KeyChoice, MatchRoute, OwnerMissing, PickGroup, RouteMatch,
        RoutingTask, Sent, Succeeded,
    },
    Metrics,
};

/// The header that says how long a request waited for its slot, in milliseconds.
const WAITED_HEADER: &str = "jackdawchute-waited-ms";
/// How long to wait before asking again for an owner that is not known yet.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What carries requests; clones share the tasks.
#[derive(Clone)]
pub(crate) struct RequestsFront {
    pub(crate) incarnation: IncarnationId,
    pub(crate) routing: Address<RoutingTask>,
    pub(crate) authority: RequestsAuthority,
    pub(crate) holder: Address<RequestsTask>,
    pub(crate) dispatch: Address<DispatchTask>,
    pub(crate) metrics: Metrics,
}

/// One request on its way, over all its attempts.
struct Journey {
    inbound: Inbound,
    route: RouteMatch,
    /// The caller's own key.
    key: Option<RequestKey>,
    /// The key of a non-idempotent request whose caller gave none.
    generated_key: Option<RequestKey>,
    digest: u64,
    arrived: Instant,
    deadline: Instant,
    tried: Vec<GroupId>,
    attempt: u32,
    waited: Duration,
    /// Whether a byte of any attempt may have reached a minion.
    sent: bool,
}

/// What one attempt led to.
enum Attempt {
    Answered(Response),
    /// The owner is not known or does not answer, and nothing was sent.
    NoOwner(Refusal),
    /// Another attempt may be made.
    Failed(RetryReason, Refusal),
    Refused(Refusal),
}

impl RequestsFront {
    /// Finds the route of a request before its body is read.
    pub(crate) async fn match_route(&self, route: MatchRoute) -> Result<RouteMatch, Refusal> {
        self.routing
            .send(route)
            .await
            .unwrap_or_else(|_| Err(shutting_down()))
    }

    /// Answers a request; every refusal is a problem document.
    pub(crate) async fn answer(&self, route: RouteMatch, inbound: Inbound) -> Response {
        let class = route.class.clone();
        let outcome = match self.journey(route, inbound) {
            Ok(journey) => self.travel(journey).await,
            Err(refusal) => Err(refusal),
        };
        outcome.unwrap_or_else(|refusal| {
            self.metrics.refused(&class, refusal.reason);
            problem::response(&refusal)
        })
    }

    fn journey(&self, route: RouteMatch, inbound: Inbound) -> Result<Journey, Refusal> {
        let arrived = Instant::now();
        let asked = inbound
            .deadline()?
            .map(|asked| asked.min(route.deadline_max));
        let deadline = arrived + asked.unwrap_or(route.deadline);
        let key = inbound.key()?;
        let digest = inbound.digest();
        let tried = Vec::new();
        Ok(Journey {
            inbound,
            route,
            key,
            generated_key: None,
            digest,
            arrived,
            deadline,
            tried,
            attempt: 0,
            waited: Duration::ZERO,
            sent: false,
        })
    }

    /// Makes attempts until one is final. A refusal says that nothing ran only if no attempt was
    /// sent.
    async fn travel(&self, mut journey: Journey) -> Result<Response, Refusal> {
        let outcome = self.attempt_until_final(&mut journey).await;
        outcome.map_err(|refusal| match journey.sent {
            true => Refusal {
                execution: Execution::Unknown,
                ..refusal
            },
            false => refusal,
        })
    }

    async fn attempt_until_final(&self, journey: &mut Journey) -> Result<Response, Refusal> {
        loop {
            let (delay, refusal) = match self.attempt(journey).await {
                Attempt::Answered(response) => return Ok(response),
                Attempt::Refused(refusal) => return Err(refusal),
                Attempt::NoOwner(refusal) => {
                    let _handled = self.routing.send(OwnerMissing).detach().await;
                    (OWNER_RETRY_DELAY, refusal)
                }
                Attempt::Failed(reason, refusal) => {
                    (self.retry_delay(journey, reason, &refusal).await?, refusal)
                }
            };
            if Instant::now() + delay >= journey.deadline {
                return Err(refusal);
            }
            tokio::time::sleep(delay).await;
        }
    }

    /// The delay before the next attempt; without one, a full group's own refusal says more.
    async fn retry_delay(
        &self,
        journey: &mut Journey,
        reason: RetryReason,
        refusal: &Refusal,
    ) -> Result<Duration, Refusal> {
        journey.attempt += 1;
        let attempt = FailedAttempt {
            class: journey.route.class.clone(),
            idempotent: journey.route.idempotent,
            sent: journey.sent,
            attempts: journey.attempt,
            reason,
            remaining: journey.deadline.saturating_duration_since(Instant::now()),
        };
        match self.routing.send(AskRetry(attempt)).await {
            Ok(Ok(delay)) => {
                self.metrics.retried(&journey.route.class, reason);
                Ok(delay)
            }
            Ok(Err(_)) if reason == RetryReason::NoCapacity => Err(refusal.clone()),
            Ok(Err(denied)) => Err(denied),
            Err(_) => Err(shutting_down()),
        }
    }

    async fn attempt(&self, journey: &mut Journey) -> Attempt {
        let pick = PickGroup {
            service: journey.route.service.clone(),
            key: journey.key_choice(),
            tried: journey.tried.clone(),
        };
        let picked = match self.routing.send(pick).await {
            Ok(Ok(picked)) => picked,
            Ok(Err(refusal)) if refusal.reason == RefusalReason::OwnerUnavailable => {
                return Attempt::NoOwner(refusal)
            }
            Ok(Err(refusal)) => return Attempt::Refused(refusal),
            Err(_) => return Attempt::Refused(shutting_down()),
        };
        let located = picked.located;
        journey.generated_key = picked.generated.or(journey.generated_key.take());
        let asked_at = Instant::now();
        let acquire = journey.acquire(located.group.clone(), self.incarnation.clone());
        let reply = self
            .authority
            .call(&located.owner, Call::Acquire(acquire))
            .await;
        match reply {
            Ok(Ok(Reply::Granted(grant))) => self.use_grant(journey, grant, asked_at).await,
            Ok(Ok(Reply::Answered(answer))) => Attempt::Answered(stored_response(answer)),
            Ok(Ok(_)) => Attempt::Refused(unexpected_reply()),
            Ok(Err(refusal)) => journey.refused(located.group, refusal),
            // Nothing was sent by this instance; a lost grant is asked back from it by its owner.
            Err(_) => Attempt::NoOwner(owner_unavailable()),
        }
    }

    async fn use_grant(&self, journey: &mut Journey, grant: Grant, asked_at: Instant) -> Attempt {
        let held = Held {
            grant: grant.clone(),
            elapsed: asked_at.elapsed(),
        };
        let may_send = self.holder.send(held).await.unwrap_or(false);
        let completion = self.completion(&grant);
        if !may_send {
            completion
                .finish(GrantOutcome::NotSent {
                    connection_refused: false,
                })
                .await;
            let refusal = Refusal::not_run(RefusalReason::OwnerUnavailable, "the grant came late");
            return Attempt::Failed(RetryReason::OwnerChanged, refusal);
        }
        journey.waited = journey.arrived.elapsed();
        self.metrics.placed(&journey.route.class, journey.waited);
        let _counted = self.routing.send(Sent(grant.group.clone())).detach().await;
        let answer = self.send(journey, &grant).await;
        match answer {
            Ok(answer) => self.forward(journey, answer, completion).await,
            Err(error) => self.send_failed(journey, error, completion).await,
        }
    }

    fn completion(&self, grant: &Grant) -> Completion {
        Completion {
            grant: grant.clone(),
            incarnation: self.incarnation.clone(),
            routing: self.routing.clone(),
            authority: self.authority.clone(),
            holder: self.holder.clone(),
        }
    }

    async fn send(&self, journey: &Journey, grant: &Grant) -> Result<Answer, SendError> {
        let (reply, answer) = oneshot::channel();
        let now = Instant::now();
        let send = Send {
            minion: grant.minion.clone(),
            address: grant.address,
            send_by: now + grant.send_within,
            answer_by: now + grant.life,
            request: journey.outgoing(),
            reply,
        };
        let peer = grant.address.to_string();
        let sent = self.dispatch.send(send).detach().await;
        let _handled = sent.map_err(|_| SendError::GrantExpired(peer.clone()))?;
        let lost = || SendError::AnswerLost(peer, "shutting down".to_owned());
        answer.await.unwrap_or_else(|_| Err(lost()))
    }

    async fn send_failed(
        &self,
        journey: &mut Journey,
        error: SendError,
        completion: Completion,
    ) -> Attempt {
        let _counted = self
            .routing
            .send(Finished(completion.grant.group.clone()))
            .detach()
            .await;
        let connection_refused = matches!(error, SendError::Connect(..));
        if error.is_not_sent() {
            completion
                .finish(GrantOutcome::NotSent { connection_refused })
                .await;
            let refusal = Refusal::not_run(RefusalReason::ConnectFailed, error.to_string());
            return Attempt::Failed(RetryReason::ConnectFailed, refusal);
        }
        journey.sent = true;
        completion.finish(GrantOutcome::AnswerLost).await;
        let refusal = Refusal::unknown(RefusalReason::AnswerLost, error.to_string());
        if journey.route.idempotent {
            Attempt::Failed(RetryReason::AnswerLost, refusal)
        } else {
            Attempt::Refused(refusal)
        }
    }

    /// Passes the answer on; a keyed one is first kept by the owner, if it is small enough.
    async fn forward(&self, journey: &Journey, answer: Answer, completion: Completion) -> Attempt {
        self.metrics.answered(&journey.route.class);
        let succeeded = Succeeded(journey.route.class.clone());
        let _counted = self.routing.send(succeeded).detach().await;
        let in_flight = InFlight::begin(&self.metrics);
        if journey.home_key().is_none() {
            let Answer {
                status,
                headers,
                body,
                done,
            } = answer;
            completion.finish_later(done, None, in_flight);
            return Attempt::Answered(stream_response(
                status,
                headers,
                journey.waited,
                Vec::new(),
                body,
            ));
        }
        let keep = KeepAnswer {
            bytes_max: journey.route.retained_body_bytes_max,
        };
        let key = journey.key();
        match keep.read(answer, completion, in_flight).await {
            Ok(kept) => {
                let mut response = stream_response(
                    kept.status,
                    kept.headers,
                    journey.waited,
                    kept.first,
                    kept.rest,
                );
                insert_key(response.headers_mut(), key);
                Attempt::Answered(response)
            }
            Err(error) => Attempt::Refused(Refusal::unknown(
                RefusalReason::AnswerLost,
                error.to_string(),
            )),
        }
    }
}

impl Journey {
    /// The key that decides the home group; a key on an idempotent route changes nothing.
    fn home_key(&self) -> Option<RequestKey> {
        self.key().filter(|_| !self.route.idempotent)
    }

    fn key(&self) -> Option<RequestKey> {
        self.key.clone().or_else(|| self.generated_key.clone())
    }

    fn key_choice(&self) -> KeyChoice {
        match self.home_key() {
            Some(key) => KeyChoice::Home(key),
            None if self.route.idempotent => KeyChoice::Unkeyed,
            None => KeyChoice::Generate,
        }
    }

    fn acquire(&self, group: GroupId, holder: IncarnationId) -> Acquire {
        Acquire {
            group,
            service: self.route.service.clone(),
            class: self.route.class.clone(),
            team: self.route.team.clone(),
            idempotent: self.route.idempotent,
            key: self.home_key(),
            digest: self.digest,
            deadline: self.deadline.saturating_duration_since(Instant::now()),
            holder,
        }
    }

    fn outgoing(&self) -> Outgoing {
        Outgoing {
            method: self.inbound.method.clone(),
            path_and_query: self.inbound.path_and_query(),
            headers: self.inbound_headers(),
            body: self.inbound.body.clone(),
        }
    }

    fn inbound_headers(&self) -> HeaderMap {
        let mut headers = jackdawchute_dispatch::end_to_end(&self.inbound.headers);
        insert_key(&mut headers, self.key());
        headers
    }

    /// Another group may still have room; a request under the caller's own key has only the one.
    fn refused(&mut self, group: GroupId, refusal: Refusal) -> Attempt {
        match refusal.reason {
            RefusalReason::OwnerUnavailable => Attempt::NoOwner(refusal),
            RefusalReason::QueueFull | RefusalReason::NoMinion
                if self.key.is_none() || self.route.idempotent =>
            {
                self.generated_key = None;
                self.tried.push(group);
                Attempt::Failed(RetryReason::NoCapacity, refusal)
            }
            _ => Attempt::Refused(refusal),
        }
    }
}

/// Counts a request that a minion works on.
pub(crate) struct InFlight {
    metrics: Metrics,
}

impl InFlight {
    fn begin(metrics: &Metrics) -> Self {
        metrics.in_flight().inc();
        Self {
            metrics: metrics.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.metrics.in_flight().dec();
    }
}

fn insert_key(headers: &mut HeaderMap, key: Option<RequestKey>) {
    if let Some(value) = key.and_then(|key| key.parse().ok()) {
        headers.insert(KEY_HEADER, value);
    }
}

fn shutting_down() -> Refusal {
    Refusal::not_run(RefusalReason::Draining, "the instance is shutting down")
}

fn owner_unavailable() -> Refusal {
    Refusal::not_run(
        RefusalReason::OwnerUnavailable,
        "the owner of the group did not answer",
    )
}

fn unexpected_reply() -> Refusal {
    Refusal::not_run(
        RefusalReason::OwnerUnavailable,
        "the owner answered another call",
    )
}

fn stored_response(answer: StoredAnswer) -> Response {
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

fn stream_response(
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
        .insert(WAITED_HEADER, http::HeaderValue::from(millis(waited)));
    response
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
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
