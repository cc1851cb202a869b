//! Typed calls between the slices of two instances over the peer transport.

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
use crate::routing::{GetSnapshot, RoutingSnapshot, RoutingTask};

const REQUESTS: SliceName = "requests";
const JOBS: SliceName = "jobs";
const OWNERSHIP: SliceName = "ownership";
const CONFIGURATION: SliceName = "configuration";

/// How much longer than its own deadline a call may take.
const CALL_MARGIN: Duration = Duration::from_secs(1);
/// The timeout of a call for a holder's grants, which is answered from memory.
const HOLDINGS_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout of a call that waits for a journal append.
const JOURNAL_CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How much longer than a call to the table its forwarding by a peer may take.
const FORWARD_MARGIN: Duration = Duration::from_millis(500);

/// Makes the calls of every slice to other instances.
#[derive(Clone, Debug)]
pub(crate) struct RemoteCalls {
    pub(crate) peers: PeerClient,
    /// The timeout of a configuration call, which the peer answers from memory.
    configuration_timeout: Duration,
    /// The timeout of an ownership call, for which the peer may call the table.
    ownership_timeout: Duration,
}

impl RemoteCalls {
    pub(crate) fn new(peers: PeerClient, timing: &Timing) -> Self {
        Self {
            peers,
            configuration_timeout: timing.peer_call_timeout,
            ownership_timeout: timing.table_call_timeout() + FORWARD_MARGIN,
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
            requests::Call::Holdings { .. } => HOLDINGS_TIMEOUT,
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
            .call(peer, OWNERSHIP, &call, self.ownership_timeout)
            .await
    }
}

/// Calls every unfenced incarnation in the directory and every other entry instance of the
/// membership list. When an instance starts while the table is down, its directory is empty and
/// only the membership list names peers.
pub(crate) struct ConfigurationPeers {
    pub(crate) incarnation: IncarnationId,
    /// This instance's address, which is not called if the membership list names it.
    pub(crate) peer_address: SocketAddr,
    pub(crate) routing: Address<RoutingTask>,
    pub(crate) remote_calls: RemoteCalls,
}

impl ConfigurationPeers {
    /// Returns the peers to call; those only in the membership list have their member id in place
    /// of an incarnation.
    fn other_instances(&self, snapshot: &RoutingSnapshot) -> Vec<(IncarnationId, SocketAddr)> {
        let incarnations = &snapshot.directory.incarnations;
        let unfenced = incarnations
            .iter()
            .filter(|(id, _)| **id != self.incarnation)
            .map(|(id, address)| (id.clone(), *address));
        let is_additional = |address: &SocketAddr| {
            *address != self.peer_address && incarnations.values().all(|known| known != address)
        };
        let listed = snapshot
            .members
            .members
            .iter()
            .filter(|member| member.role == MemberRole::Entry && is_additional(&member.address))
            .map(|member| (member.id.clone(), member.address));
        unfenced.chain(listed).collect()
    }

    async fn call_peer(
        &self,
        peer: IncarnationId,
        address: SocketAddr,
        call: &configuration::Call,
    ) -> configuration::PeerAnswer {
        let reply = self.remote_calls.peers.call(
            address,
            CONFIGURATION,
            call,
            self.remote_calls.configuration_timeout,
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
        let Ok(snapshot) = self.routing.send(GetSnapshot).await else {
            return configuration::PeerAnswers::default();
        };
        let other_instances = self.other_instances(&snapshot);
        let calls = other_instances
            .iter()
            .map(|(id, address)| self.call_peer(id.clone(), *address, &call));
        let complete = snapshot
            .directory
            .incarnations
            .contains_key(&self.incarnation);
        configuration::PeerAnswers {
            complete,
            answers: join_all(calls).await,
        }
    }
}

/// Passes the calls of peers to the task of a slice.
struct SliceService<M> {
    task: MessageChannel<M, ()>,
}

/// A message of a slice's task with a call and the sender for its answer.
trait FromCall: Send + 'static {
    type Call: DeserializeOwned + Send;
    type Answer: Serialize + Send;

    fn from_call(call: Self::Call, reply: oneshot::Sender<Self::Answer>) -> Self;
}

#[async_trait]
impl<M: FromCall> PeerService for SliceService<M> {
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

/// The tasks that answer the calls of peers.
pub(crate) struct PeerCallTasks {
    pub(crate) requests: MessageChannel<requests::Incoming, ()>,
    pub(crate) jobs: MessageChannel<jobs::Incoming, ()>,
    pub(crate) ownership: MessageChannel<ownership::Incoming, ()>,
    pub(crate) configuration: MessageChannel<configuration::Incoming, ()>,
}

/// Returns the services of the peer listener by slice name.
pub(crate) fn services(tasks: PeerCallTasks, explain: ExplainSources) -> Services {
    let requests: Arc<dyn PeerService> = Arc::new(SliceService {
        task: tasks.requests,
    });
    let jobs: Arc<dyn PeerService> = Arc::new(SliceService { task: tasks.jobs });
    let ownership: Arc<dyn PeerService> = Arc::new(SliceService {
        task: tasks.ownership,
    });
    let configuration: Arc<dyn PeerService> = Arc::new(SliceService {
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
