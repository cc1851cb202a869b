//! Decisions about routes and owners, without a clock or a socket.

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
    messages::{Located, MatchRoute, PickGroup, Readiness, RouteMatch, RoutingSnapshot},
    routes,
};

/// What this instance knows, and its requests in flight.
#[derive(Debug)]
pub(crate) struct State {
    pub(super) configuration: Option<Arc<Configuration>>,
    pub(super) confirmation: Confirmation,
    pub(super) directory: Arc<Directory>,
    pub(super) members: Arc<MembershipList>,
    pub(super) lease_state: LeaseState,
    pub(super) draining: bool,
    /// The requests of this instance that use a slot, by group.
    in_flight: BTreeMap<GroupId, u32>,
    /// The number of picks so far, which rotates the order among equally used groups.
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
    /// Returns whether new calls are accepted, and what is missing if not.
    pub(super) fn readiness(&self, now: Instant) -> Readiness {
        let checks = [
            (self.configuration.is_some(), "configuration"),
            (
                self.confirmation.is_valid_at(now),
                "confirmation of the configuration",
            ),
            (!self.directory.owners.is_empty(), "directory of owners"),
            // The claims of other instances can fill the directory before a list has been read.
            (self.members.version > 0, "membership list"),
            (!self.draining, "an end of the shutdown"),
            (
                self.lease_state != LeaseState::Fenced,
                "an unfenced incarnation",
            ),
        ];
        let missing: Vec<_> = checks
            .iter()
            .filter(|(is_met, _)| !is_met)
            .map(|(_, name)| *name)
            .collect();
        Readiness {
            ready: missing.is_empty(),
            missing,
        }
    }

    /// Returns what the status page and other tasks need to know.
    pub(super) fn snapshot(&self) -> RoutingSnapshot {
        RoutingSnapshot {
            directory: self.directory.clone(),
            members: self.members.clone(),
            lease_state: self.lease_state,
            configuration_version: self.configuration.as_ref().map(|current| current.version),
            draining: self.draining,
        }
    }

    /// Returns the configuration under which new work is accepted.
    ///
    /// # Errors
    /// Refused if there is none, or if it is not confirmed.
    pub(super) fn configuration_for_new_work(
        &self,
        now: Instant,
    ) -> Result<&Configuration, Refusal> {
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

    /// Returns the route of a request.
    pub(super) fn match_route(
        &self,
        request: &MatchRoute,
        now: Instant,
    ) -> Result<RouteMatch, Refusal> {
        let configuration = self.configuration_for_new_work(now)?;
        let host = request.host.as_deref();
        let route = routes::find(configuration, &request.method, host, &request.path);
        route.ok_or_else(|| {
            let detail = format!("no route for {} {}", request.method, request.path);
            Refusal::not_run(RefusalReason::NotFound, detail)
        })
    }

    /// Picks the least used group of the service that is not excluded.
    pub(super) fn pick_group(&mut self, pick: &PickGroup) -> Result<Located, Refusal> {
        let listed = self.listed_groups(&pick.service);
        if listed.is_empty() {
            let detail = format!("no minion of service {} is listed", pick.service);
            return Err(Refusal::not_run(RefusalReason::NoMinion, detail));
        }
        self.least_used(&listed, &pick.excluded)
    }

    /// Returns the groups of a service that have minions, also those whose minions are all leaving.
    fn listed_groups(&self, service: &ServiceId) -> Vec<GroupId> {
        let members = self.members.members.iter();
        let groups = members.filter_map(|member| match &member.role {
            MemberRole::Minion { service: name, .. } if name == service => {
                Some(service_group(service, &member.failure_domain))
            }
            _ => None,
        });
        groups.collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Returns the group with the lowest load that is not excluded. Groups without a known owner
    /// come last, and of the others those with a single slot or none.
    fn least_used(&mut self, groups: &[GroupId], excluded: &[GroupId]) -> Result<Located, Refusal> {
        self.picks = self.picks.wrapping_add(1);
        let start = self.picks % groups.len();
        let (before, after) = groups.split_at(start);
        let rotated = after.iter().chain(before);
        let candidates = rotated.filter(|group| !excluded.contains(group));
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
        match candidates.min_by_key(load) {
            Some(group) => self.locate(group),
            None => Err(Refusal::not_run(
                RefusalReason::QueueFull,
                "every group refused",
            )),
        }
    }

    /// Returns the slots of the live minions of each group.
    fn slots(&self) -> BTreeMap<GroupId, u32> {
        let mut slots = BTreeMap::new();
        for member in &self.members.members {
            if let (
                MemberRole::Minion {
                    service,
                    slots: minion_slots,
                    ..
                },
                MemberState::Live,
            ) = (&member.role, member.state)
            {
                let group = service_group(service, &member.failure_domain);
                *slots.entry(group).or_insert(0) += minion_slots;
            }
        }
        slots
    }

    /// Returns the group with its owner.
    ///
    /// # Errors
    /// Refused if the directory names no owner.
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

    /// Returns the home group of a job with its owner.
    ///
    /// # Errors
    /// Refused if there is no configuration yet or the directory names no owner.
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

    /// Counts a request in flight for a group.
    pub(super) fn request_sent(&mut self, group: GroupId) {
        *self.in_flight.entry(group).or_default() += 1;
    }

    /// Ends the count of one request in flight for a group.
    pub(super) fn request_finished(&mut self, group: &GroupId) {
        if let Some(count) = self.in_flight.get_mut(group) {
            *count = count.saturating_sub(1);
        }
    }
}

/// The scale of loads, which are compared as whole numbers without losing the fraction.
const LOAD_SCALE: u64 = 1_000;
