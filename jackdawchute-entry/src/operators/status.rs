//! Collects the status of one instance for the status page.

use std::{collections::BTreeMap, net::SocketAddr};

use jackdawchute_configuration::{ConfigurationTask, Current};
use jackdawchute_jobs as jobs;
use jackdawchute_requests as requests;
use jackdawchute_types::{
    ClassId, ConfigurationVersion, GroupId, IncarnationId, Refusal, RefusalReason,
};
use serde::Serialize;
use xtra::prelude::*;

use crate::{
    metrics::NO_CLASS,
    routing::{shutting_down, GetSnapshot, IsReady, Readiness, RoutingTask},
    Metrics,
};

type RefusalCounts =
    std::result::Result<BTreeMap<ClassId, BTreeMap<RefusalReason, u64>>, xtra::Error>;

/// The tasks and metrics that the status is collected from.
#[derive(Clone)]
pub(crate) struct StatusSources {
    pub(crate) incarnation: IncarnationId,
    pub(crate) metrics: Metrics,
    pub(crate) configuration: Address<ConfigurationTask>,
    pub(crate) routing: Address<RoutingTask>,
    pub(crate) requests: Address<requests::RequestsTask>,
    pub(crate) jobs: Address<jobs::JobsTask>,
}

/// The status of one instance: what it knows of others and the state of its own groups.
#[derive(Debug, Serialize)]
pub(crate) struct InstanceStatus {
    incarnation: IncarnationId,
    /// The lease state in lower case.
    standing: String,
    draining: bool,
    readiness: Readiness,
    configuration_version: Option<ConfigurationVersion>,
    incarnations: BTreeMap<IncarnationId, IncarnationStatus>,
    owners: BTreeMap<GroupId, IncarnationId>,
    /// The length of the membership list.
    members: usize,
    refusals: BTreeMap<ClassId, BTreeMap<RefusalReason, u64>>,
    requests: requests::RequestsStatus,
    jobs: jobs::JobsStatus,
}

/// An incarnation's row in the table, as last read.
#[derive(Debug, Serialize)]
pub(crate) struct IncarnationStatus {
    peer_address: SocketAddr,
    configuration_version: Option<ConfigurationVersion>,
}

impl StatusSources {
    /// Collects the status of this instance.
    ///
    /// # Errors
    /// The instance is shutting down.
    pub(crate) async fn collect(&self) -> Result<InstanceStatus, Refusal> {
        let ended = |_| shutting_down();
        let snapshot = self.routing.send(GetSnapshot).await.map_err(ended)?;
        let readiness = self.routing.send(IsReady).await.map_err(ended)?;
        let requests = self.requests.send(requests::Status).await.map_err(ended)?;
        let jobs = self.jobs.send(jobs::Status).await.map_err(ended)?;
        let refusals = self.refusals().await.map_err(ended)?;
        let directory = &snapshot.directory;
        let versions = &directory.configuration;
        let incarnations = directory.incarnations.iter().map(|(id, peer_address)| {
            let configuration_version = versions.get(id).copied();
            (
                id.clone(),
                IncarnationStatus {
                    peer_address: *peer_address,
                    configuration_version,
                },
            )
        });
        let owners = directory.owners.iter();
        Ok(InstanceStatus {
            incarnation: self.incarnation.clone(),
            standing: format!("{:?}", snapshot.lease_state).to_lowercase(),
            draining: snapshot.draining,
            readiness,
            configuration_version: snapshot.configuration_version,
            incarnations: incarnations.collect(),
            owners: owners
                .map(|(id, owner)| (id.clone(), owner.incarnation.clone()))
                .collect(),
            members: snapshot.members.members.len(),
            refusals,
            requests,
            jobs,
        })
    }

    /// Returns the refusals by class, for the classes of the configuration and for work without a
    /// known class.
    async fn refusals(&self) -> RefusalCounts {
        let current = self.configuration.send(Current).await?;
        let classes = current
            .iter()
            .flat_map(|configuration| configuration.classes.keys().cloned());
        let counted = classes
            .chain([ClassId::new(NO_CLASS)])
            .map(|class| (class.clone(), self.metrics.refusals(&class)))
            .filter(|(_, counts)| !counts.is_empty());
        Ok(counted.collect())
    }
}
