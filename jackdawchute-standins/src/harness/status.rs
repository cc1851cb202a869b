//! What an entry instance says of itself; tests wait on it, and judge by the records alone.

use std::{collections::BTreeMap, time::Duration};

use jackdawchute_types::{ConfigurationVersion, GroupId, IncarnationId};
use serde::Deserialize;

use super::{entry::OPERATOR_TOKEN, wait_until, Cell, CellEntry};
use crate::{Error, Result};

/// How long one question may take.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// The parts of the status page that tests wait on.
#[derive(Clone, Debug, Deserialize)]
pub struct InstanceStatus {
    /// This start of the instance.
    pub incarnation: IncarnationId,
    /// The version of the configuration that it applies.
    pub configuration_version: Option<ConfigurationVersion>,
    /// The owner of each group, as far as it knows.
    pub owners: BTreeMap<GroupId, IncarnationId>,
}

impl CellEntry {
    /// Asks for its status.
    ///
    /// # Errors
    /// It did not answer, or with something else.
    pub async fn status(&self) -> Result<InstanceStatus> {
        let url = format!("http://{}/v1/status", self.process.operators);
        let failed = |cause: reqwest::Error| {
            Error::Invalid("ask status", self.name.to_string(), cause.to_string())
        };
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(ASK_TIMEOUT)
            .build()
            .map_err(failed)?;
        let response = client.get(url).bearer_auth(OPERATOR_TOKEN).send().await;
        response.map_err(failed)?.json().await.map_err(failed)
    }

    /// Whether this start of it owns a group, as `status` tells.
    fn owns_any(&self, incarnation: &IncarnationId, status: &InstanceStatus) -> bool {
        status.owners.values().any(|owner| owner == incarnation)
    }
}

impl Cell {
    /// Waits until the instance at `witness` knows no group of `incarnation`.
    ///
    /// # Errors
    /// It still knew one at the deadline.
    pub async fn wait_until_succeeded(
        &self,
        witness: usize,
        incarnation: &IncarnationId,
    ) -> Result<()> {
        let witness = &self.entries[witness];
        wait_until("groups with new owners", || async {
            let status = witness.status().await.ok()?;
            let succeeded = !status.owners.is_empty() && !witness.owns_any(incarnation, &status);
            succeeded.then_some(())
        })
        .await
    }

    /// Waits until every instance applies `version` or a later one.
    ///
    /// # Errors
    /// One did not at the deadline.
    pub async fn wait_until_in_force(&self, version: ConfigurationVersion) -> Result<()> {
        for entry in &self.entries {
            wait_until("configuration in force", || async {
                let status = entry.status().await.ok()?;
                (status.configuration_version? >= version).then_some(())
            })
            .await?;
        }
        Ok(())
    }
}
