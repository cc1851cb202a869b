//! Decisions about routes and owners; no clock or socket.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use jackdawchute_configuration::{Configuration, Confirmation};
use jackdawchute_jobs::home_group as job_home_group;
use jackdawchute_ownership::{Directory, LeaseState};
use jackdawchute_ports::{MemberRole, MemberState, MembershipList};
use jackdawchute_requests::service_group;
use jackdawchute_types::{GroupId, JobId, Refusal, RefusalReason, ServiceId};

use super::{
    messages::{Known, Located, MatchRoute, PickGroup, Readiness, RouteMatch},
    routes,
};

/// What this instance knows and has under way.
#[derive(Debug)]
pub(crate) struct State {
    pub(super) configuration: Option<Arc<Configuration>>,
    pub(super) confirmation: Confirmation,
    pub(super) directory: Arc<Directory>,
    pub(super) members: Arc<MembershipList>,
    pub(super) lease_state: LeaseState,
    pub(super) draining: bool,
    in_flight: BTreeMap<GroupId, u32>,
    picks: usize,
}

impl Default for State {
    fn default() -> Self {
        Self {
            configuration: None,
            confirmation: Confirmation::Unconfirmed,
            directory: Arc::default(),
            members: Arc::default(),
            lease_state: LeaseState::CutOff,
            draining: false,
            in_flight: BTreeMap::new(),
            picks: 0,
        }
    }
}

impl State {
    /// Whether new calls are taken, and what is missing if not.
    pub(super) fn readiness(&self, now: Instant) -> Readiness {
        let checks = [
            (self.configuration.is_some(), "configuration"),
            (
                self.confirmation.is_valid_at(now),
                "confirmation of the configuration",
            ),
            (!self.directory.owners.is_empty(), "directory of owners"),
            // Other instances' claims fill the directory before this one has read any list.
            (self.members.version > 0, "membership list"),
            (!self.draining, "an end of the shutdown"),
            (
                self.lease_state != LeaseState::Fenced,
                "an unfenced incarnation",
            ),
        ];
        let missing: Vec<_> = checks
            .iter()
            .filter(|(holds, _)| !holds)
            .map(|(_, name)| *name)
            .collect();
        Readiness {
            ready: missing.is_empty(),
            missing,
        }
    }

    pub(super) fn known(&self) -> Known {
        Known {
            directory: self.directory.clone(),
            members: self.members.clone(),
            lease_state: self.lease_state,
            configuration_version: self.configuration.as_ref().map(|known| known.version),
            draining: self.draining,
        }
    }

    /// Gives the configuration that new work is taken with.
    pub(super) fn takes_new_work(&self, now: Instant) -> Result<&Configuration, Refusal> {
        let refusal =
            |detail: &str| Refusal::not_run(RefusalReason::ConfigurationUnconfirmed, detail);
        let Some(configuration) = &self.configuration else {
            return Err(refusal("no configuration yet"));
        };
        if !self.confirmation.is_valid_at(now) {
            return Err(refusal("the configuration could not be confirmed in time"));
        }
        Ok(configuration)
    }

    /// Finds a request's route.
    pub(super) fn match_route(
        &self,
        request: &MatchRoute,
        now: Instant,
    ) -> Result<RouteMatch, Refusal> {
        let configuration = self.takes_new_work(now)?;
        let host = request.host.as_deref();
        let found = routes::find(configuration, &request.method, host, &request.path);
        found.ok_or_else(|| {
            let detail = format!("no route for {} {}", request.method, request.path);
            Refusal::not_run(RefusalReason::NotFound, detail)
        })
    }

    /// Picks the least used group of the service that was not tried.
    pub(super) fn pick_group(&mut self, pick: &PickGroup) -> Result<Located, Refusal> {
        let listed = self.listed_groups(&pick.service);
        if listed.is_empty() {
            let detail = format!("no minion of service {} is listed", pick.service);
            return Err(Refusal::not_run(RefusalReason::NoMinion, detail));
        }
        self.least_used(&listed, &pick.tried)
    }

    /// The groups of a service that own minions, also those whose minions are all leaving.
    fn listed_groups(&self, service: &ServiceId) -> Vec<GroupId> {
        let members = self.members.members.iter();
        let groups = members.filter_map(|member| match &member.role {
            MemberRole::Minion { service: of, .. } if of == service => {
                Some(service_group(service, &member.failure_domain))
            }
            _ => None,
        });
        groups.collect::<BTreeSet<_>>().into_iter().collect()
    }

    fn least_used(&mut self, groups: &[GroupId], tried: &[GroupId]) -> Result<Located, Refusal> {
        self.picks = self.picks.wrapping_add(1);
        let start = self.picks % groups.len();
        let (before, after) = groups.split_at(start);
        let rotated = after.iter().chain(before);
        let untried = rotated.filter(|group| !tried.contains(group));
        let slots = self.slots();
        let load = |group: &&GroupId| {
            let in_flight = self.in_flight.get(*group).copied().unwrap_or(0);
            let slots = slots.get(*group).copied().unwrap_or(0).max(1);
            (
                !self.directory.owners.contains_key(*group),
                slots == 1,
                u64::from(in_flight) * LOAD_SCALE / u64::from(slots),
            )
        };
        match untried.min_by_key(load) {
            Some(group) => self.locate(group),
            None => Err(Refusal::not_run(
                RefusalReason::QueueFull,
                "every group refused",
            )),
        }
    }

    fn slots(&self) -> BTreeMap<GroupId, u32> {
        let mut slots = BTreeMap::new();
        for member in &self.members.members {
            if let (
                MemberRole::Minion {
                    service,
                    slots: more,
                    ..
                },
                MemberState::Live,
            ) = (&member.role, member.state)
            {
                let group = service_group(service, &member.failure_domain);
                *slots.entry(group).or_insert(0) += more;
            }
        }
        slots
    }

    pub(super) fn locate(&self, group: &GroupId) -> Result<Located, Refusal> {
        let owner = self.directory.owners.get(group).cloned();
        let owner = owner.ok_or_else(|| {
            let detail = format!("no owner of group {group} is known");
            Refusal::not_run(RefusalReason::OwnerUnavailable, detail)
        })?;
        Ok(Located {
            group: group.clone(),
            owner,
        })
    }

    pub(super) fn locate_job(&self, job: &JobId) -> Result<Located, Refusal> {
        let Some(configuration) = &self.configuration else {
            let detail = "no configuration yet";
            return Err(Refusal::not_run(
                RefusalReason::ConfigurationUnconfirmed,
                detail,
            ));
        };
        self.locate(&job_home_group(job, configuration.job_partitions))
    }

    pub(super) fn sent(&mut self, group: GroupId) {
        *self.in_flight.entry(group).or_default() += 1;
    }

    pub(super) fn finished(&mut self, group: &GroupId) {
        if let Some(count) = self.in_flight.get_mut(group) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Keeps the fraction when loads are compared as whole numbers.
const LOAD_SCALE: u64 = 1_000;
