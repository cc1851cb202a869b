//! Sends a caller's request to a minion and returns the response.

use std::time::{Duration, Instant};

use jackdawchute_dispatch::{Answer, DispatchTask, Error as SendError, SendRequest};
use jackdawchute_requests::{
    key_group, Acquire, Call, FailedAttempt, Grant, GrantOutcome, RegisterGrant, Reply,
    RequestsTask, StoredAnswer,
};
use jackdawchute_types::{
    Execution, IncarnationId, Recorder, Refusal, RefusalReason, RequestKey, RetryReason,
};
use rand::Rng;
use smol_str::format_smolstr;
use tokio::sync::oneshot;
use warp::reply::Response;
use xtra::prelude::*;

use super::{
    complete::{Completion, RetainAnswer},
    exchange::{AttemptOutcome, Exchange},
    inbound::Inbound,
    problem,
    responses::{insert_key, stored_response, stream_response},
};
use crate::{
    owner_client::RequestsOwnerClient,
    routing::{
        shutting_down, AttemptSucceeded, AuthorizeRetry, LocateGroup, Located, MatchRoute,
        OwnerMissing, PickGroup, RequestSent, RouteMatch, RoutingTask,
    },
    Metrics,
};

/// The delay before a group's owner is looked up again after it was unknown or did not answer.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The requests API for callers; clones share the tasks.
#[derive(Clone)]
pub(crate) struct RequestsApi {
    pub(crate) incarnation: IncarnationId,
    pub(crate) routing: Address<RoutingTask>,
    pub(crate) owner_client: RequestsOwnerClient,
    pub(crate) holder: Address<RequestsTask>,
    pub(crate) dispatch: Address<DispatchTask>,
    pub(crate) metrics: Metrics,
}

/// The outcome of a grant for which nothing was sent.
const NOT_SENT: GrantOutcome = GrantOutcome::NotSent {
    connection_refused: false,
};

/// An owner's answer to a call for a grant.
enum Acquired {
    /// The grant, registered at the local holder.
    Granted(Box<Completion>),
    /// The response that is stored under the key.
    Answered(StoredAnswer),
}

impl RequestsApi {
    /// Returns the route of a request, which is needed before its body is read.
    pub(crate) async fn match_route(&self, route: MatchRoute) -> Result<RouteMatch, Refusal> {
        self.routing
            .send(route)
            .await
            .unwrap_or_else(|_| Err(shutting_down()))
    }

    /// Answers a request; every refusal is a problem document.
    ///
    /// The attempts run in a separate task: if the caller disconnects, the grants must still be
    /// released.
    pub(crate) async fn answer(&self, route: RouteMatch, inbound: Inbound) -> Response {
        let class = route.class.clone();
        let outcome = match self.exchange(route, inbound) {
            Ok(exchange) => {
                let api = self.clone();
                let attempts = tokio::spawn(async move { api.run_to_completion(exchange).await });
                attempts.await.unwrap_or_else(|_| Err(shutting_down()))
            }
            Err(refusal) => Err(refusal),
        };
        outcome.unwrap_or_else(|refusal| {
            self.metrics.refused(&class, refusal.reason);
            problem::response(&refusal)
        })
    }

    /// Returns the state of a request that has just arrived.
    fn exchange(&self, route: RouteMatch, inbound: Inbound) -> Result<Exchange, Refusal> {
        let arrived = Instant::now();
        let requested = inbound
            .deadline()?
            .map(|requested| requested.min(route.deadline_max));
        let deadline = arrived + requested.unwrap_or(route.deadline);
        let key = match inbound.key()? {
            _ if route.idempotent => None,
            Some(key) => Some(key),
            None => Some(format_smolstr!("{:032x}", rand::rng().random::<u128>())),
        };
        let digest = inbound.digest();
        let tried_groups = Vec::new();
        Ok(Exchange {
            inbound,
            route,
            key,
            key_grant: None,
            digest,
            arrived,
            deadline,
            tried_groups,
            last_group_refusal: None,
            failed_on: Vec::new(),
            unreachable_group: None,
            failed_attempts: 0,
            slot_wait: Duration::ZERO,
            maybe_sent: false,
        })
    }

    /// Makes attempts until one is final. A refusal says that nothing ran only if no attempt was
    /// sent; the key's grant, if it is still open, is then released so that the key can be reused.
    async fn run_to_completion(&self, mut exchange: Exchange) -> Result<Response, Refusal> {
        let outcome = self.attempt_until_final(&mut exchange).await;
        if let Some(key_grant) = exchange.key_grant.take() {
            key_grant.finish(NOT_SENT).await;
        }
        outcome.map_err(|refusal| match exchange.maybe_sent {
            true => Refusal {
                execution: Execution::Unknown,
                ..refusal
            },
            false => refusal,
        })
    }

    async fn attempt_until_final(&self, exchange: &mut Exchange) -> Result<Response, Refusal> {
        loop {
            let (delay, refusal) = match self.attempt(exchange).await {
                AttemptOutcome::Answered(response) => return Ok(*response),
                AttemptOutcome::Refused(refusal) => return Err(refusal),
                AttemptOutcome::OwnerUnreachable(refusal) => {
                    let _handled = self.routing.send(OwnerMissing).detach().await;
                    (OWNER_RETRY_DELAY, refusal)
                }
                AttemptOutcome::Failed(reason, refusal) => {
                    (self.retry_delay(exchange, reason, &refusal).await?, refusal)
                }
            };
            if Instant::now() + delay >= exchange.deadline {
                return Err(refusal);
            }
            tokio::time::sleep(delay).await;
        }
    }

    /// Returns the delay before the next attempt. If a retry after a lack of capacity is denied,
    /// the error is the refusal of the full group, which is more precise than that of the retry
    /// budget.
    async fn retry_delay(
        &self,
        exchange: &mut Exchange,
        reason: RetryReason,
        refusal: &Refusal,
    ) -> Result<Duration, Refusal> {
        exchange.failed_attempts += 1;
        let attempt = FailedAttempt {
            class: exchange.route.class.clone(),
            idempotent: exchange.route.idempotent,
            sent: exchange.maybe_sent,
            attempts: exchange.failed_attempts,
            reason,
            remaining: exchange.deadline.saturating_duration_since(Instant::now()),
        };
        match self.routing.send(AuthorizeRetry(attempt)).await {
            Ok(Ok(delay)) => {
                self.metrics.retried(&exchange.route.class, reason);
                Ok(delay)
            }
            Ok(Err(_)) if reason == RetryReason::NoCapacity => Err(refusal.clone()),
            Ok(Err(denied)) => Err(denied),
            Err(_) => Err(shutting_down()),
        }
    }

    /// Makes one attempt: acquires the grant for the key, if there is one and it is still needed,
    /// and a slot, and sends the request.
    async fn attempt(&self, exchange: &mut Exchange) -> AttemptOutcome {
        if let Some(key) = exchange
            .key
            .clone()
            .filter(|_| exchange.key_grant.is_none())
        {
            match self.reserve_key(exchange, key).await {
                Ok(key_grant) => exchange.key_grant = Some(key_grant),
                Err(attempt) => return attempt,
            }
        }
        let pick = PickGroup {
            service: exchange.route.service.clone(),
            excluded: exchange.excluded_groups(),
        };
        let located = match located_or_outcome(self.routing.send(pick).await) {
            Ok(located) => located,
            Err(AttemptOutcome::Refused(refusal))
                if refusal.reason == RefusalReason::QueueFull
                    && exchange.unreachable_group.take().is_some() =>
            {
                return AttemptOutcome::OwnerUnreachable(owner_unavailable())
            }
            // No group is left; the refusal of the last one is more precise.
            Err(AttemptOutcome::Refused(refusal)) => {
                return AttemptOutcome::Refused(
                    exchange.last_group_refusal.take().unwrap_or(refusal),
                )
            }
            Err(attempt) => return attempt,
        };
        let group = located.group.clone();
        let acquire = exchange.acquire(group.clone(), None, self.incarnation.clone());
        match self.acquire(&located, acquire).await {
            Ok(Acquired::Granted(completion)) => self.use_slot(exchange, *completion).await,
            Ok(Acquired::Answered(_)) => AttemptOutcome::Refused(unexpected_reply()),
            Err(AttemptOutcome::Refused(refusal)) => exchange.on_slot_refused(group, refusal),
            Err(attempt) => {
                exchange.unreachable_group = Some(group);
                attempt
            }
        }
    }

    /// Acquires the grant for a key: its key group journals the intent, or returns the stored
    /// response.
    async fn reserve_key(
        &self,
        exchange: &Exchange,
        key: RequestKey,
    ) -> Result<Completion, AttemptOutcome> {
        let group = key_group(&key, &exchange.route.service);
        let located = located_or_outcome(self.routing.send(LocateGroup(group.clone())).await)?;
        let acquire = exchange.acquire(group, Some(key), self.incarnation.clone());
        match self.acquire(&located, acquire).await? {
            Acquired::Granted(completion) => Ok(*completion),
            Acquired::Answered(answer) => {
                Err(AttemptOutcome::Answered(Box::new(stored_response(answer))))
            }
        }
    }

    /// Calls the owner of a group for a grant and registers the grant.
    async fn acquire(
        &self,
        located: &Located,
        acquire: Acquire,
    ) -> Result<Acquired, AttemptOutcome> {
        let called_at = Instant::now();
        let reply = self
            .owner_client
            .call(&located.owner, Call::Acquire(acquire))
            .await;
        match reply {
            Ok(Ok(Reply::Granted(grant))) => self.register(grant, called_at).await,
            Ok(Ok(Reply::Answered(answer))) => Ok(Acquired::Answered(answer)),
            Ok(Ok(_)) => Err(AttemptOutcome::Refused(unexpected_reply())),
            Ok(Err(refusal)) => Err(classify_refusal(refusal)),
            // Nothing was sent; if a grant was lost on the way, the owner asks this holder for it.
            Err(_) => Err(AttemptOutcome::OwnerUnreachable(owner_unavailable())),
        }
    }

    /// Registers a grant at the local holder. A grant that arrived too late to be used is released;
    /// nothing was sent with it, so that it costs no retry.
    async fn register(&self, grant: Grant, called_at: Instant) -> Result<Acquired, AttemptOutcome> {
        let register = RegisterGrant {
            grant: grant.clone(),
            elapsed: called_at.elapsed(),
        };
        let may_use = self.holder.send(register).await.unwrap_or(false);
        let completion = self.completion(&grant);
        if may_use {
            return Ok(Acquired::Granted(Box::new(completion)));
        }
        completion.finish(NOT_SENT).await;
        let refusal = Refusal::not_run(RefusalReason::OwnerUnavailable, "the grant came late");
        Err(AttemptOutcome::OwnerUnreachable(refusal))
    }

    /// Sends the request with the grant of a slot, unless the deadline has passed.
    async fn use_slot(&self, exchange: &mut Exchange, completion: Completion) -> AttemptOutcome {
        if exchange.is_past_deadline() {
            completion.finish(NOT_SENT).await;
            let refusal = Refusal::not_run(RefusalReason::DeadlineExpired, "the slot came late");
            return AttemptOutcome::Refused(refusal);
        }
        exchange.slot_wait = exchange.arrived.elapsed();
        self.metrics
            .placed(&exchange.route.class, exchange.slot_wait);
        let grant = &completion.grant;
        let _counted = self
            .routing
            .send(RequestSent(grant.group.clone()))
            .detach()
            .await;
        let answer = self.send(exchange, grant).await;
        match answer {
            Ok(answer) => self.forward(exchange, answer, completion).await,
            Err(error) => self.send_failed(exchange, error, completion).await,
        }
    }

    fn completion(&self, grant: &Grant) -> Completion {
        Completion {
            grant: grant.clone(),
            incarnation: self.incarnation.clone(),
            routing: self.routing.clone(),
            owner_client: self.owner_client.clone(),
            holder: self.holder.clone(),
        }
    }

    async fn send(&self, exchange: &Exchange, grant: &Grant) -> Result<Answer, SendError> {
        let (reply, answer) = oneshot::channel();
        let now = Instant::now();
        let send = SendRequest {
            minion: grant.minion.clone(),
            address: grant.address,
            send_by: now + grant.send_within,
            answer_by: now + grant.life,
            request: exchange.outgoing(),
            reply,
        };
        let peer = grant.address.to_string();
        let sent = self.dispatch.send(send).detach().await;
        let _handled = sent.map_err(|_| SendError::GrantExpired(peer.clone()))?;
        let lost = || SendError::AnswerLost(peer, "shutting down".to_owned());
        answer.await.unwrap_or_else(|_| Err(lost()))
    }

    /// Releases the grants of an attempt that could not be sent or whose response was lost, and
    /// returns its outcome. An idempotent request may be sent again after a lost response.
    async fn send_failed(
        &self,
        exchange: &mut Exchange,
        error: SendError,
        completion: Completion,
    ) -> AttemptOutcome {
        exchange.failed_on.push(completion.grant.minion.clone());
        let connection_refused = matches!(error, SendError::Connect(..));
        if error.is_not_sent() {
            let outcome = GrantOutcome::NotSent { connection_refused };
            completion.count_finished(&outcome).await;
            completion.finish(outcome).await;
            let refusal = Refusal::not_run(RefusalReason::ConnectFailed, error.to_string());
            return AttemptOutcome::Failed(RetryReason::ConnectFailed, refusal);
        }
        exchange.maybe_sent = true;
        completion.count_finished(&GrantOutcome::AnswerLost).await;
        completion.finish(GrantOutcome::AnswerLost).await;
        if let Some(key_grant) = exchange.key_grant.take() {
            key_grant.finish(GrantOutcome::AnswerLost).await;
        }
        let refusal = Refusal::unknown(RefusalReason::AnswerLost, error.to_string());
        if exchange.route.idempotent {
            AttemptOutcome::Failed(RetryReason::AnswerLost, refusal)
        } else {
            AttemptOutcome::Refused(refusal)
        }
    }

    /// Passes the response to the caller. With a key, the key's owner first retains it, if it is
    /// small enough.
    async fn forward(
        &self,
        exchange: &mut Exchange,
        answer: Answer,
        slot: Completion,
    ) -> AttemptOutcome {
        self.metrics.answered(&exchange.route.class);
        let succeeded = AttemptSucceeded(exchange.route.class.clone());
        let _counted = self.routing.send(succeeded).detach().await;
        let (status, headers) = (answer.status, answer.headers.clone());
        slot.finish_when_done(answer.done, InFlight::begin(&self.metrics));
        let waited = exchange.slot_wait;
        let Some(key_grant) = exchange.key_grant.take() else {
            let response = stream_response(status, headers, waited, Vec::new(), answer.body);
            return AttemptOutcome::Answered(Box::new(response));
        };
        exchange.maybe_sent = true;
        let retain = RetainAnswer {
            bytes_max: exchange.route.retained_body_bytes_max,
        };
        match retain.read(status, &headers, answer.body, key_grant).await {
            Ok((first, rest)) => {
                let mut response = stream_response(status, headers, waited, first, rest);
                insert_key(response.headers_mut(), exchange.key.clone());
                AttemptOutcome::Answered(Box::new(response))
            }
            Err(error) => {
                let reason = RefusalReason::AnswerLost;
                AttemptOutcome::Refused(Refusal::unknown(reason, error.to_string()))
            }
        }
    }
}

/// Counts a request as in flight until dropped.
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

/// Returns the group with its owner, or the outcome of the attempt if they are not known.
fn located_or_outcome(
    answer: Result<Result<Located, Refusal>, xtra::Error>,
) -> Result<Located, AttemptOutcome> {
    match answer {
        Ok(Ok(located)) => Ok(located),
        Ok(Err(refusal)) => Err(classify_refusal(refusal)),
        Err(_) => Err(AttemptOutcome::Refused(shutting_down())),
    }
}

/// Classifies a refusal: an unavailable owner may be found before the deadline; every other refusal
/// is final.
fn classify_refusal(refusal: Refusal) -> AttemptOutcome {
    match refusal.reason {
        RefusalReason::OwnerUnavailable => AttemptOutcome::OwnerUnreachable(refusal),
        _ => AttemptOutcome::Refused(refusal),
    }
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
