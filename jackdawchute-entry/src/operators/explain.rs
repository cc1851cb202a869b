//! Explains what happened to a job or a keyed request, from the state of its group's owner.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use futures_util::future::join_all;
use jackdawchute_jobs as jobs;
use jackdawchute_peer::{PeerClient, PeerService, SliceName};
use jackdawchute_requests as requests;
use jackdawchute_types::IncarnationId;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use xtra::prelude::*;

use crate::routing::{GetSnapshot, RoutingTask};

/// The name under which peers answer explain calls.
pub(crate) const EXPLAIN: SliceName = "explain";
/// The prefix of the path, before the id.
pub(super) const PATH: &str = "/v1/explain/";
/// The timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A call to a peer for what its own groups know of a job id or an idempotency key.
#[derive(Debug, Serialize, Deserialize)]
struct ExplainCall {
    id: SmolStr,
}

/// The explanations of all instances that answered.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Explanations {
    /// The explanations of owners, each with the owner's incarnation.
    known: Vec<OwnerExplanation>,
    /// The incarnations that did not answer; the id may be known there.
    unreachable: Vec<IncarnationId>,
}

/// What the owner of a group knows of the id.
#[derive(Debug, Serialize, Deserialize)]
struct OwnerExplanation {
    /// The owner's incarnation.
    instance: IncarnationId,
    /// The explanation of the jobs or requests slice, as JSON.
    explanation: Value,
}

/// The local tasks and the peer client that explain calls are answered from.
#[derive(Clone)]
pub(crate) struct ExplainSources {
    pub(crate) incarnation: IncarnationId,
    pub(crate) routing: Address<RoutingTask>,
    pub(crate) requests: Address<requests::RequestsTask>,
    pub(crate) jobs: Address<jobs::JobsTask>,
    pub(crate) peers: PeerClient,
}

impl ExplainSources {
    /// Collects explanations from this instance and every other one in the directory.
    pub(crate) async fn explain(&self, id: &str) -> Explanations {
        let mut answer = Explanations {
            known: self.explain_locally(id).await,
            unreachable: Vec::new(),
        };
        let Ok(snapshot) = self.routing.send(GetSnapshot).await else {
            return answer;
        };
        let others = snapshot
            .directory
            .incarnations
            .iter()
            .filter(|(other, _)| **other != self.incarnation);
        let calls = others.map(|(other, address)| self.ask_peer(id, other, *address));
        for (other, known) in join_all(calls).await {
            match known {
                Some(known) => answer.known.extend(known),
                None => answer.unreachable.push(other),
            }
        }
        answer
    }

    /// Returns the explanations of a peer, or `None` if it did not answer.
    async fn ask_peer(
        &self,
        id: &str,
        other: &IncarnationId,
        address: SocketAddr,
    ) -> (IncarnationId, Option<Vec<OwnerExplanation>>) {
        let call = ExplainCall { id: id.into() };
        let known = self.peers.call(address, EXPLAIN, &call, CALL_TIMEOUT).await;
        (other.clone(), known.ok())
    }

    /// Returns what the groups of this instance know of the id.
    async fn explain_locally(&self, id: &str) -> Vec<OwnerExplanation> {
        let job = self
            .jobs
            .send(jobs::Explain { id: id.into() })
            .await
            .ok()
            .flatten();
        let key = self
            .requests
            .send(requests::Explain { key: id.into() })
            .await
            .ok()
            .flatten();
        let job = job.and_then(|job| serde_json::to_value(job).ok());
        let key = key.and_then(|key| serde_json::to_value(key).ok());
        let known = |explanation| OwnerExplanation {
            instance: self.incarnation.clone(),
            explanation,
        };
        [job, key].into_iter().flatten().map(known).collect()
    }
}

#[async_trait]
impl PeerService for ExplainSources {
    async fn serve(&self, call: Value) -> Option<Value> {
        let call: ExplainCall = serde_json::from_value(call).ok()?;
        serde_json::to_value(self.explain_locally(&call.id).await).ok()
    }
}
