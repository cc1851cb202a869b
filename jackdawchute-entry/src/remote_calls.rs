//! Typed calls of each slice over the peer transport.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use futures_util::future::join_all;
use jackdawchute_configuration as configuration;
use jackdawchute_jobs as jobs;
use jackdawchute_ownership::{self as ownership, Owner};
use jackdawchute_peer::{PeerClient, PeerService, Services, SliceName};
use jackdawchute_ports::MemberRole;
use jackdawchute_requests as requests;
use jackdawchute_settings::Timing;
use jackdawchute_types::{CallError, IncarnationId, Refusal};
use serde::{de::DeserializeOwned, Serialize};
use serde_json::Value;
use tokio::sync::oneshot;
use xtra::prelude::*;

use crate::operators::{ExplainSources, EXPLAIN};
use crate::routing::{Known, RoutingTask, View};

const REQUESTS: SliceName = "requests";
const JOBS: SliceName = "jobs";
const OWNERSHIP: SliceName = "ownership";
const CONFIGURATION: SliceName = "configuration";

/// What a call may take beyond the time it asks for.
const CALL_MARGIN: Duration = Duration::from_secs(1);
/// How long a call that waits for nothing may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a call that waits for a journal append may take.
const JOURNAL_CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// What a peer's answer may take beyond the table call that it makes for the caller.
const CARRY_MARGIN: Duration = Duration::from_millis(500);

/// Carries the calls of every slice.
#[derive(Clone, Debug)]
pub(crate) struct RemoteCalls {
    pub(crate) peers: PeerClient,
    /// How long a peer may take that answers from memory.
    peer_timeout: Duration,
    /// How long a peer may take that calls the table for this instance.
    carry_timeout: Duration,
}

impl RemoteCalls {
    pub(crate) fn new(peers: PeerClient, timing: &Timing) -> Self {
        Self {
            peers,
            peer_timeout: timing.peer_call_timeout,
            carry_timeout: timing.table_call_timeout() + CARRY_MARGIN,
        }
    }
}

#[async_trait]
impl requests::OwnerCalls for RemoteCalls {
    async fn call(
        &self,
        owner: &Owner,
        call: requests::Call,
    ) -> Result<Result<requests::Reply, Refusal>, CallError> {
        let timeout = match &call {
            requests::Call::Acquire(acquire) => acquire.deadline + CALL_MARGIN,
            requests::Call::Complete(_) => JOURNAL_CALL_TIMEOUT,
            requests::Call::Holdings { .. } => CALL_TIMEOUT,
        };
        self.peers
            .call(owner.peer_address, REQUESTS, &call, timeout)
            .await
    }
}

#[async_trait]
impl jobs::OwnerCalls for RemoteCalls {
    async fn call(
        &self,
        owner: &Owner,
        call: jobs::Call,
    ) -> Result<Result<jobs::Reply, Refusal>, CallError> {
        self.peers
            .call(owner.peer_address, JOBS, &call, JOURNAL_CALL_TIMEOUT)
            .await
    }
}

#[async_trait]
impl ownership::PeerCalls for RemoteCalls {
    async fn call(
        &self,
        peer: SocketAddr,
        call: ownership::Call,
    ) -> Result<ownership::Reply, CallError> {
        self.peers
            .call(peer, OWNERSHIP, &call, self.carry_timeout)
            .await
    }
}

/// Asks every unfenced incarnation that the directory names, and every other entry instance of
/// the membership list: at a start without the table, only that names any.
pub(crate) struct ConfigurationPeers {
    pub(crate) incarnation: IncarnationId,
    pub(crate) peer_address: SocketAddr,
    pub(crate) routing: Address<RoutingTask>,
    pub(crate) remote_calls: RemoteCalls,
}

impl ConfigurationPeers {
    fn others(&self, known: &Known) -> Vec<(IncarnationId, SocketAddr)> {
        let incarnations = &known.directory.incarnations;
        let unfenced = incarnations
            .iter()
            .filter(|(id, _)| **id != self.incarnation)
            .map(|(id, address)| (id.clone(), *address));
        let is_new = |address: &SocketAddr| {
            *address != self.peer_address && incarnations.values().all(|known| known != address)
        };
        let listed = known
            .members
            .members
            .iter()
            .filter(|member| member.role == MemberRole::Entry && is_new(&member.address))
            .map(|member| (member.id.clone(), member.address));
        unfenced.chain(listed).collect()
    }

    async fn ask_one(
        &self,
        peer: IncarnationId,
        address: SocketAddr,
        call: &configuration::Call,
    ) -> configuration::PeerAnswer {
        let reply = self.remote_calls.peers.call(
            address,
            CONFIGURATION,
            call,
            self.remote_calls.peer_timeout,
        );
        let failure = |error: CallError| match error {
            CallError::ConnectionRefused(..) => configuration::PeerFailure::Ended,
            _ => configuration::PeerFailure::Unreachable,
        };
        configuration::PeerAnswer {
            peer,
            result: reply.await.map_err(failure),
        }
    }
}

#[async_trait]
impl configuration::PeerCalls for ConfigurationPeers {
    async fn ask(&self, call: configuration::Call) -> configuration::PeerAnswers {
        let Ok(known) = self.routing.send(View).await else {
            return configuration::PeerAnswers::default();
        };
        let others = self.others(&known);
        let asked = others
            .iter()
            .map(|(id, address)| self.ask_one(id.clone(), *address, &call));
        let complete = known.directory.incarnations.contains_key(&self.incarnation);
        configuration::PeerAnswers {
            complete,
            answers: join_all(asked).await,
        }
    }
}

/// Hands the calls of peers to the task of a slice.
struct Incoming<M> {
    task: MessageChannel<M, ()>,
}

/// A message that carries a call and where its answer goes.
trait FromCall: Send + 'static {
    type Call: DeserializeOwned + Send;
    type Answer: Serialize + Send;

    fn from_call(call: Self::Call, reply: oneshot::Sender<Self::Answer>) -> Self;
}

#[async_trait]
impl<M: FromCall> PeerService for Incoming<M> {
    async fn serve(&self, call: Value) -> Option<Value> {
        let call = serde_json::from_value(call).ok()?;
        let (reply, answer) = oneshot::channel();
        let _handled = self
            .task
            .send(M::from_call(call, reply))
            .detach()
            .await
            .ok()?;
        serde_json::to_value(answer.await.ok()?).ok()
    }
}

impl FromCall for requests::Incoming {
    type Call = requests::Call;
    type Answer = Result<requests::Reply, Refusal>;

    fn from_call(call: Self::Call, reply: oneshot::Sender<Self::Answer>) -> Self {
        Self { call, reply }
    }
}

impl FromCall for jobs::Incoming {
    type Call = jobs::Call;
    type Answer = Result<jobs::Reply, Refusal>;

    fn from_call(call: Self::Call, reply: oneshot::Sender<Self::Answer>) -> Self {
        Self { call, reply }
    }
}

impl FromCall for ownership::Incoming {
    type Call = ownership::Call;
    type Answer = ownership::Reply;

    fn from_call(call: Self::Call, reply: oneshot::Sender<Self::Answer>) -> Self {
        Self { call, reply }
    }
}

impl FromCall for configuration::Incoming {
    type Call = configuration::Call;
    type Answer = configuration::Reply;

    fn from_call(call: Self::Call, reply: oneshot::Sender<Self::Answer>) -> Self {
        Self { call, reply }
    }
}

/// The tasks that answer peers.
pub(crate) struct Tasks {
    pub(crate) requests: MessageChannel<requests::Incoming, ()>,
    pub(crate) jobs: MessageChannel<jobs::Incoming, ()>,
    pub(crate) ownership: MessageChannel<ownership::Incoming, ()>,
    pub(crate) configuration: MessageChannel<configuration::Incoming, ()>,
}

/// The services of the peer listener.
pub(crate) fn services(tasks: Tasks, explain: ExplainSources) -> Services {
    let requests: Arc<dyn PeerService> = Arc::new(Incoming {
        task: tasks.requests,
    });
    let jobs: Arc<dyn PeerService> = Arc::new(Incoming { task: tasks.jobs });
    let ownership: Arc<dyn PeerService> = Arc::new(Incoming {
        task: tasks.ownership,
    });
    let configuration: Arc<dyn PeerService> = Arc::new(Incoming {
        task: tasks.configuration,
    });
    Services::from([
        (REQUESTS, requests),
        (JOBS, jobs),
        (OWNERSHIP, ownership),
        (CONFIGURATION, configuration),
        (EXPLAIN, Arc::new(explain)),
    ])
}
