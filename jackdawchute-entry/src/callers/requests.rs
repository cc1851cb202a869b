//! Carries a caller's request to a minion and the answer back.

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
    complete::{Completion, KeepAnswer},
    exchange::{Attempt, Exchange},
    inbound::Inbound,
    problem,
    responses::{insert_key, stored_response, stream_response},
};
use crate::{
    owner_client::RequestsOwnerClient,
    routing::{
        shutting_down, AskRetry, LocateGroup, Located, MatchRoute, OwnerMissing, PickGroup,
        RouteMatch, RoutingTask, Sent, Succeeded,
    },
    Metrics,
};

/// How long to wait before asking again for an owner that is not known yet.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What carries requests; clones share the tasks.
#[derive(Clone)]
pub(crate) struct RequestsApi {
    pub(crate) incarnation: IncarnationId,
    pub(crate) routing: Address<RoutingTask>,
    pub(crate) owner_client: RequestsOwnerClient,
    pub(crate) holder: Address<RequestsTask>,
    pub(crate) dispatch: Address<DispatchTask>,
    pub(crate) metrics: Metrics,
}

/// The outcome of a grant that was not used.
const NOT_SENT: GrantOutcome = GrantOutcome::NotSent {
    connection_refused: false,
};

/// What an owner gave.
enum Acquired {
    Held(Box<Completion>),
    Answered(StoredAnswer),
}

impl RequestsApi {
    /// Finds the route of a request before its body is read.
    pub(crate) async fn match_route(&self, route: MatchRoute) -> Result<RouteMatch, Refusal> {
        self.routing
            .send(route)
            .await
            .unwrap_or_else(|_| Err(shutting_down()))
    }

    /// Answers a request; every refusal is a problem document.
    ///
    /// The attempts run in a task of their own: a caller that goes away must not leave a grant
    /// behind that nobody gives back.
    pub(crate) async fn answer(&self, route: RouteMatch, inbound: Inbound) -> Response {
        let class = route.class.clone();
        let outcome = match self.exchange(route, inbound) {
            Ok(exchange) => {
                let front = self.clone();
                let concluded = tokio::spawn(async move { front.conclude(exchange).await });
                concluded.await.unwrap_or_else(|_| Err(shutting_down()))
            }
            Err(refusal) => Err(refusal),
        };
        outcome.unwrap_or_else(|refusal| {
            self.metrics.refused(&class, refusal.reason);
            problem::response(&refusal)
        })
    }

    fn exchange(&self, route: RouteMatch, inbound: Inbound) -> Result<Exchange, Refusal> {
        let arrived = Instant::now();
        let asked = inbound
            .deadline()?
            .map(|asked| asked.min(route.deadline_max));
        let deadline = arrived + asked.unwrap_or(route.deadline);
        let key = match inbound.key()? {
            _ if route.idempotent => None,
            Some(key) => Some(key),
            None => Some(format_smolstr!("{:032x}", rand::rng().random::<u128>())),
        };
        let digest = inbound.digest();
        let tried = Vec::new();
        Ok(Exchange {
            inbound,
            route,
            key,
            reserved: None,
            digest,
            arrived,
            deadline,
            tried,
            refused_by: None,
            failed_on: Vec::new(),
            unreachable: None,
            attempt: 0,
            waited: Duration::ZERO,
            sent: false,
        })
    }

    /// Makes attempts until one is final. A refusal says that nothing ran only if no attempt was
    /// sent; a key that is still reserved then may be used again.
    async fn conclude(&self, mut exchange: Exchange) -> Result<Response, Refusal> {
        let outcome = self.attempt_until_final(&mut exchange).await;
        if let Some(reserved) = exchange.reserved.take() {
            reserved.finish(NOT_SENT).await;
        }
        outcome.map_err(|refusal| match exchange.sent {
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
                Attempt::Answered(response) => return Ok(*response),
                Attempt::Refused(refusal) => return Err(refusal),
                Attempt::NoOwner(refusal) => {
                    let _handled = self.routing.send(OwnerMissing).detach().await;
                    (OWNER_RETRY_DELAY, refusal)
                }
                Attempt::Failed(reason, refusal) => {
                    (self.retry_delay(exchange, reason, &refusal).await?, refusal)
                }
            };
            if Instant::now() + delay >= exchange.deadline {
                return Err(refusal);
            }
            tokio::time::sleep(delay).await;
        }
    }

    /// The delay before the next attempt; without one, a full group's own refusal says more.
    async fn retry_delay(
        &self,
        exchange: &mut Exchange,
        reason: RetryReason,
        refusal: &Refusal,
    ) -> Result<Duration, Refusal> {
        exchange.attempt += 1;
        let attempt = FailedAttempt {
            class: exchange.route.class.clone(),
            idempotent: exchange.route.idempotent,
            sent: exchange.sent,
            attempts: exchange.attempt,
            reason,
            remaining: exchange.deadline.saturating_duration_since(Instant::now()),
        };
        match self.routing.send(AskRetry(attempt)).await {
            Ok(Ok(delay)) => {
                self.metrics.retried(&exchange.route.class, reason);
                Ok(delay)
            }
            Ok(Err(_)) if reason == RetryReason::NoCapacity => Err(refusal.clone()),
            Ok(Err(denied)) => Err(denied),
            Err(_) => Err(shutting_down()),
        }
    }

    async fn attempt(&self, exchange: &mut Exchange) -> Attempt {
        if let Some(key) = exchange.key.clone().filter(|_| exchange.reserved.is_none()) {
            match self.reserve_key(exchange, key).await {
                Ok(reserved) => exchange.reserved = Some(reserved),
                Err(attempt) => return attempt,
            }
        }
        let pick = PickGroup {
            service: exchange.route.service.clone(),
            tried: exchange.passed_over(),
        };
        let located = match located(self.routing.send(pick).await) {
            Ok(located) => located,
            Err(Attempt::Refused(refusal))
                if refusal.reason == RefusalReason::QueueFull
                    && exchange.unreachable.take().is_some() =>
            {
                return Attempt::NoOwner(owner_unavailable())
            }
            // No group is left; the last one's own refusal says more.
            Err(Attempt::Refused(refusal)) => {
                return Attempt::Refused(exchange.refused_by.take().unwrap_or(refusal))
            }
            Err(attempt) => return attempt,
        };
        let group = located.group.clone();
        let acquire = exchange.acquire(group.clone(), None, self.incarnation.clone());
        match self.acquire(&located, acquire).await {
            Ok(Acquired::Held(completion)) => self.use_slot(exchange, *completion).await,
            Ok(Acquired::Answered(_)) => Attempt::Refused(unexpected_reply()),
            Err(Attempt::Refused(refusal)) => exchange.slot_refused(group, refusal),
            Err(attempt) => {
                exchange.unreachable = Some(group);
                attempt
            }
        }
    }

    /// Has the key's group journal the intent, or answer as it did before.
    async fn reserve_key(
        &self,
        exchange: &Exchange,
        key: RequestKey,
    ) -> Result<Completion, Attempt> {
        let group = key_group(&key, &exchange.route.service);
        let located = located(self.routing.send(LocateGroup(group.clone())).await)?;
        let acquire = exchange.acquire(group, Some(key), self.incarnation.clone());
        match self.acquire(&located, acquire).await? {
            Acquired::Held(completion) => Ok(*completion),
            Acquired::Answered(answer) => Err(Attempt::Answered(Box::new(stored_response(answer)))),
        }
    }

    async fn acquire(&self, located: &Located, acquire: Acquire) -> Result<Acquired, Attempt> {
        let asked_at = Instant::now();
        let reply = self
            .owner_client
            .call(&located.owner, Call::Acquire(acquire))
            .await;
        match reply {
            Ok(Ok(Reply::Granted(grant))) => self.register(grant, asked_at).await,
            Ok(Ok(Reply::Answered(answer))) => Ok(Acquired::Answered(answer)),
            Ok(Ok(_)) => Err(Attempt::Refused(unexpected_reply())),
            Ok(Err(refusal)) => Err(refused(refusal)),
            // Nothing was sent by this instance; a lost grant is asked back from it by its owner.
            Err(_) => Err(Attempt::NoOwner(owner_unavailable())),
        }
    }

    async fn register(&self, grant: Grant, asked_at: Instant) -> Result<Acquired, Attempt> {
        let register = RegisterGrant {
            grant: grant.clone(),
            elapsed: asked_at.elapsed(),
        };
        let may_use = self.holder.send(register).await.unwrap_or(false);
        let completion = self.completion(&grant);
        if may_use {
            return Ok(Acquired::Held(Box::new(completion)));
        }
        completion.finish(NOT_SENT).await;
        let refusal = Refusal::not_run(RefusalReason::OwnerUnavailable, "the grant came late");
        Err(Attempt::Failed(RetryReason::OwnerChanged, refusal))
    }

    async fn use_slot(&self, exchange: &mut Exchange, completion: Completion) -> Attempt {
        if exchange.is_late() {
            completion.finish(NOT_SENT).await;
            let refusal = Refusal::not_run(RefusalReason::DeadlineExpired, "the slot came late");
            return Attempt::Refused(refusal);
        }
        exchange.waited = exchange.arrived.elapsed();
        self.metrics.placed(&exchange.route.class, exchange.waited);
        let grant = &completion.grant;
        let _counted = self.routing.send(Sent(grant.group.clone())).detach().await;
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

    async fn send_failed(
        &self,
        exchange: &mut Exchange,
        error: SendError,
        completion: Completion,
    ) -> Attempt {
        exchange.failed_on.push(completion.grant.minion.clone());
        let connection_refused = matches!(error, SendError::Connect(..));
        if error.is_not_sent() {
            let outcome = GrantOutcome::NotSent { connection_refused };
            completion.count_finished(&outcome).await;
            completion.finish(outcome).await;
            let refusal = Refusal::not_run(RefusalReason::ConnectFailed, error.to_string());
            return Attempt::Failed(RetryReason::ConnectFailed, refusal);
        }
        exchange.sent = true;
        completion.count_finished(&GrantOutcome::AnswerLost).await;
        completion.finish(GrantOutcome::AnswerLost).await;
        if let Some(reserved) = exchange.reserved.take() {
            reserved.finish(GrantOutcome::AnswerLost).await;
        }
        let refusal = Refusal::unknown(RefusalReason::AnswerLost, error.to_string());
        if exchange.route.idempotent {
            Attempt::Failed(RetryReason::AnswerLost, refusal)
        } else {
            Attempt::Refused(refusal)
        }
    }

    /// Passes the answer on; a keyed one is first kept by the key's owner, if it is small enough.
    async fn forward(&self, exchange: &mut Exchange, answer: Answer, slot: Completion) -> Attempt {
        self.metrics.answered(&exchange.route.class);
        let succeeded = Succeeded(exchange.route.class.clone());
        let _counted = self.routing.send(succeeded).detach().await;
        let (status, headers) = (answer.status, answer.headers.clone());
        slot.finish_later(answer.done, InFlight::begin(&self.metrics));
        let waited = exchange.waited;
        let Some(reserved) = exchange.reserved.take() else {
            let response = stream_response(status, headers, waited, Vec::new(), answer.body);
            return Attempt::Answered(Box::new(response));
        };
        exchange.sent = true;
        let keep = KeepAnswer {
            bytes_max: exchange.route.retained_body_bytes_max,
        };
        match keep.read(status, &headers, answer.body, reserved).await {
            Ok((first, rest)) => {
                let mut response = stream_response(status, headers, waited, first, rest);
                insert_key(response.headers_mut(), exchange.key.clone());
                Attempt::Answered(Box::new(response))
            }
            Err(error) => {
                let reason = RefusalReason::AnswerLost;
                Attempt::Refused(Refusal::unknown(reason, error.to_string()))
            }
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

/// The group and its owner, or what their absence means.
fn located(answer: Result<Result<Located, Refusal>, xtra::Error>) -> Result<Located, Attempt> {
    match answer {
        Ok(Ok(located)) => Ok(located),
        Ok(Err(refusal)) => Err(refused(refusal)),
        Err(_) => Err(Attempt::Refused(shutting_down())),
    }
}

/// Another owner may be found within the deadline; other refusals are final.
fn refused(refusal: Refusal) -> Attempt {
    match refusal.reason {
        RefusalReason::OwnerUnavailable => Attempt::NoOwner(refusal),
        _ => Attempt::Refused(refusal),
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
