//! Exceptions from the fleet's defaults.

use std::time::Duration;

use jackdawchute_types::{optional_duration_ms, ClassId, FailureDomainId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};

/// The service, class, team or failure domain that an exception applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// The requests to one service.
    Service(ServiceId),
    /// The requests and tasks of one class.
    Class(ClassId),
    /// The work that one team is charged for.
    Team(TeamId),
    /// The workers and minions of one failure domain.
    FailureDomain(FailureDomainId),
}

/// A deviation from the defaults for one target, with the reason for it.
///
/// Exactly one of `service`, `class`, `team` and `failure_domain` must be set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Exception {
    /// The service that the exception applies to, if it is for a service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// The class that the exception applies to, if it is for a class.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassId>,
    /// The team that the exception applies to, if it is for a team.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// The failure domain that the exception applies to, if it is for a failure domain.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub failure_domain: Option<FailureDomainId>,
    /// The values that replace the defaults, at least one.
    pub set: Override,
    /// Why the exception exists, for the operators who come upon it later; required.
    pub reason: String,
}

impl Exception {
    /// Returns the target, or `None` unless exactly one is given.
    ///
    /// ```
    /// use jackdawchute_configuration::{Exception, Target};
    ///
    /// let exception = Exception { class: Some("counter".into()), ..Exception::default() };
    /// assert_eq!(exception.target(), Some(Target::Class("counter".into())));
    /// ```
    pub fn target(&self) -> Option<Target> {
        let mut targets = self.targets();
        targets.pop().filter(|_| targets.is_empty())
    }

    fn targets(&self) -> Vec<Target> {
        let service = self.service.clone().map(Target::Service);
        let class = self.class.clone().map(Target::Class);
        let team = self.team.clone().map(Target::Team);
        let failure_domain = self.failure_domain.clone().map(Target::FailureDomain);
        [service, class, team, failure_domain]
            .into_iter()
            .flatten()
            .collect()
    }
}

/// The values that an exception sets; `None` leaves a value as it is.
///
/// Each value is allowed for one kind of target only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Override {
    /// For a class: its urgency; a lower number goes first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// For a class: the most queued requests or tasks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_max: Option<u32>,
    /// For a class: the share of capacity, in per cent, that no other class can take while this
    /// one has work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub floor_percent: Option<u32>,
    /// For a class: how long work may wait if its request names no deadline.
    #[serde(
        with = "optional_duration_ms",
        rename = "deadline_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline: Option<Duration>,
    /// For a class: the most retries, in per cent of its requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_budget_percent: Option<u32>,
    /// For a team: the most capacity units that it may use at a time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quota: Option<u32>,
    /// For a service: the maximum size of a request's body, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
    /// For a service: the longest deadline that a caller may ask for.
    #[serde(
        with = "optional_duration_ms",
        rename = "deadline_max_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline_max: Option<Duration>,
    /// For a failure domain: whether its workers and minions get no new work, as if they were
    /// leaving.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
}
