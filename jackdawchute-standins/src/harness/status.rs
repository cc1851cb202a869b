//! The status page of an entry instance.
//!
//! Tests wait for states that it shows. Their assertions use the records of minions and workers
//! only, because an instance that works wrongly may also report wrongly.

use std::{collections::BTreeMap, time::Duration};

use jackdawchute_types::{ConfigurationVersion, GroupId, IncarnationId};
use serde::Deserialize;

use super::{entry::OPERATOR_TOKEN, wait_until, Cell, CellEntry};
use crate::{Error, Result};

/// How long one read of the status page may take.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// The fields of the status page that tests wait for.
#[derive(Clone, Debug, Deserialize)]
pub struct InstanceStatus {
    /// The id of the instance's current incarnation.
    pub incarnation: IncarnationId,
    /// The version of the configuration in use; `None` before the first one.
    pub configuration_version: Option<ConfigurationVersion>,
    /// The owner of each group in the instance's directory, which may be stale.
    pub owners: BTreeMap<GroupId, IncarnationId>,
}

impl CellEntry {
    /// Reads the instance's status page.
    ///
    /// # Errors
    /// The instance did not answer in time, or its answer is not a status page.
    pub async fn status(&self) -> Result<InstanceStatus> {
        let url = format!("http://{}/v1/status", self.process.operators);
        let failed = |cause: reqwest::Error| {
            Error::Invalid("read status", self.name.to_string(), cause.to_string())
        };
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(STATUS_TIMEOUT)
            .build()
            .map_err(failed)?;
        let response = client.get(url).bearer_auth(OPERATOR_TOKEN).send().await;
        response.map_err(failed)?.json().await.map_err(failed)
    }

    /// Returns whether `status` names `incarnation` as the owner of at least one group.
    fn names_as_owner(&self, incarnation: &IncarnationId, status: &InstanceStatus) -> bool {
        status.owners.values().any(|owner| owner == incarnation)
    }
}

impl Cell {
    /// Waits until the status of the instance at index `witness` names other owners for all groups
    /// of `incarnation`.
    ///
    /// # Errors
    /// The status still named `incarnation` as an owner, or no owner at all, at the deadline.
    pub async fn wait_until_succeeded(
        &self,
        witness: usize,
        incarnation: &IncarnationId,
    ) -> Result<()> {
        let witness = &self.entries[witness];
        wait_until("groups with new owners", || async {
            let status = witness.status().await.ok()?;
            let succeeded =
                !status.owners.is_empty() && !witness.names_as_owner(incarnation, &status);
            succeeded.then_some(())
        })
        .await
    }

    /// Waits until every instance uses the configuration `version` or a later one.
    ///
    /// # Errors
    /// An instance used an earlier version, or none, at the deadline.
    pub async fn wait_until_in_force(&self, version: ConfigurationVersion) -> Result<()> {
        for entry in &self.entries {
            wait_until("configuration in use", || async {
                let status = entry.status().await.ok()?;
                (status.configuration_version? >= version).then_some(())
            })
            .await?;
        }
        Ok(())
    }
}
