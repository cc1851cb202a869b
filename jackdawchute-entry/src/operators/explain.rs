//! What happened to a job or a keyed request, as the owner of its group tells it.

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

use crate::routing::{RoutingTask, View};

/// The slice under which peers are asked.
pub(crate) const EXPLAIN: SliceName = "explain";
/// The first part of the path; the id follows.
pub(super) const PATH: &str = "/v1/explain/";
/// How long a peer may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks what an instance knows of a job's id or an idempotency key.
#[derive(Debug, Serialize, Deserialize)]
struct Ask {
    id: SmolStr,
}

/// What the instances say.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Answer {
    /// What owners know, each with the instance that says so.
    known: Vec<Known>,
    /// The instances that gave no answer; the id may be known there.
    unreachable: Vec<IncarnationId>,
}

/// What one owner knows.
#[derive(Debug, Serialize, Deserialize)]
struct Known {
    instance: IncarnationId,
    explanation: Value,
}

/// The tasks that know, and the way to those of other instances.
#[derive(Clone)]
pub(crate) struct ExplainSources {
    pub(crate) incarnation: IncarnationId,
    pub(crate) routing: Address<RoutingTask>,
    pub(crate) requests: Address<requests::RequestsTask>,
    pub(crate) jobs: Address<jobs::JobsTask>,
    pub(crate) peers: PeerClient,
}

impl ExplainSources {
    /// Asks this instance and every other that the directory names.
    pub(crate) async fn explain(&self, id: &str) -> Answer {
        let mut answer = Answer {
            known: self.own(id).await,
            unreachable: Vec::new(),
        };
        let Ok(view) = self.routing.send(View).await else {
            return answer;
        };
        let others = view
            .directory
            .incarnations
            .iter()
            .filter(|(other, _)| **other != self.incarnation);
        let asked = others.map(|(other, address)| self.ask(id, other, *address));
        for (other, known) in join_all(asked).await {
            match known {
                Some(known) => answer.known.extend(known),
                None => answer.unreachable.push(other),
            }
        }
        answer
    }

    async fn ask(
        &self,
        id: &str,
        other: &IncarnationId,
        address: SocketAddr,
    ) -> (IncarnationId, Option<Vec<Known>>) {
        let ask = Ask { id: id.into() };
        let known = self.peers.call(address, EXPLAIN, &ask, CALL_TIMEOUT).await;
        (other.clone(), known.ok())
    }

    /// What the groups that this instance owns know.
    async fn own(&self, id: &str) -> Vec<Known> {
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
        let known = |explanation| Known {
            instance: self.incarnation.clone(),
            explanation,
        };
        [job, key].into_iter().flatten().map(known).collect()
    }
}

#[async_trait]
impl PeerService for ExplainSources {
    async fn serve(&self, call: Value) -> Option<Value> {
        let ask: Ask = serde_json::from_value(call).ok()?;
        serde_json::to_value(self.own(&ask.id).await).ok()
    }
}
