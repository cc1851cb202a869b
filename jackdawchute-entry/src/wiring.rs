//! The task that translates changes of the configuration and of the membership list for each slice.

use std::sync::Arc;

use jackdawchute_configuration::Configuration;
use jackdawchute_dispatch::{DispatchTask, SetIdleConnections};
use jackdawchute_jobs as jobs;
use jackdawchute_membership::{MembershipTask, SetLeavingDomains};
use jackdawchute_ownership::{DesiredGroups, Directory, OwnershipTask, ReportConfiguration};
use jackdawchute_ports::{MemberRole, MembershipList};
use jackdawchute_requests as requests;
use jackdawchute_types::FailureDomainId;
use xtra::prelude::*;

use crate::slice_settings;

/// Turns a changed configuration or membership list into the settings of each slice and the groups
/// that need an owner.
#[derive(xtra::Actor)]
pub(crate) struct WiringTask {
    pub(crate) failure_domain: FailureDomainId,
    pub(crate) membership: Address<MembershipTask>,
    pub(crate) ownership: Address<OwnershipTask>,
    pub(crate) requests: Address<requests::RequestsTask>,
    pub(crate) jobs: Address<jobs::JobsTask>,
    pub(crate) dispatch: Address<DispatchTask>,
    /// The version in use; `None` until the first one has arrived.
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// The last list that was read; its version is 0 until the first one has arrived.
    pub(crate) members: Arc<MembershipList>,
}

impl WiringTask {
    /// Returns how many idle connections to each minion this instance may keep open: the smallest
    /// of its shares of the connections that the minions accept beyond their slots.
    fn idle_connections(&self, incarnations: u32) -> usize {
        let minions = self
            .members
            .members
            .iter()
            .filter_map(|member| match member.role {
                MemberRole::Minion {
                    slots, connections, ..
                } => Some(requests::idle_connections_max(
                    connections,
                    slots,
                    incarnations,
                )),
                _ => None,
            });
        minions.min().unwrap_or(0) as usize
    }

    /// Sends the groups that need an owner, once a configuration and a membership list are known.
    async fn update_desired_groups(&self) {
        if let Some(configuration) = &self.configuration {
            if self.members.version > 0 {
                let groups = slice_settings::desired_groups(configuration, &self.members);
                let _handled = self.ownership.send(DesiredGroups(groups)).detach().await;
            }
        }
    }
}

impl Handler<Arc<Configuration>> for WiringTask {
    type Return = ();

    async fn handle(&mut self, configuration: Arc<Configuration>, _: &mut Context<Self>) {
        let leaving = SetLeavingDomains(configuration.leaving_domains());
        let _handled = self.membership.send(leaving).detach().await;
        let settings = Arc::new(slice_settings::requests_settings(&configuration));
        let _handled = self
            .requests
            .send(requests::ChangeSettings(settings))
            .detach()
            .await;
        let settings = Arc::new(slice_settings::jobs_settings(
            &configuration,
            &self.failure_domain,
        ));
        let _handled = self
            .jobs
            .send(jobs::ChangeSettings(settings))
            .detach()
            .await;
        let report = ReportConfiguration(configuration.version);
        let _handled = self.ownership.send(report).detach().await;
        self.configuration = Some(configuration);
        self.update_desired_groups().await;
    }
}

impl Handler<Arc<MembershipList>> for WiringTask {
    type Return = ();

    async fn handle(&mut self, members: Arc<MembershipList>, _: &mut Context<Self>) {
        self.members = members;
        self.update_desired_groups().await;
    }
}

impl Handler<Arc<Directory>> for WiringTask {
    type Return = ();

    async fn handle(&mut self, directory: Arc<Directory>, _: &mut Context<Self>) {
        let incarnations = u32::try_from(directory.incarnations.len()).unwrap_or(u32::MAX);
        let idle = SetIdleConnections(self.idle_connections(incarnations));
        let _handled = self.dispatch.send(idle).detach().await;
    }
}
