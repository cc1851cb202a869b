//! Exceptions from the fleet's defaults.

use std::time::Duration;

use jackdawchute_types::{optional_duration_ms, ClassId, FailureDomainId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};

/// What an exception applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// One service.
    Service(ServiceId),
    /// One class.
    Class(ClassId),
    /// One team.
    Team(TeamId),
    /// The workers and minions of one failure domain.
    FailureDomain(FailureDomainId),
}

/// A deviation from the defaults, with the reason for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Exception {
    /// The service it applies to; exactly one of the four is given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// The class it applies to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassId>,
    /// The team it applies to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// The failure domain it applies to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub failure_domain: Option<FailureDomainId>,
    /// What differs.
    pub set: Override,
    /// Why, for the next operator.
    pub reason: String,
}

impl Exception {
    /// What it applies to, if exactly one target is given.
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
        let domain = self.failure_domain.clone().map(Target::FailureDomain);
        [service, class, team, domain]
            .into_iter()
            .flatten()
            .collect()
    }
}

/// The values that an exception sets; each is allowed for one kind of target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Override {
    /// For a class: its urgency.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// For a class: its most queued requests or tasks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_max: Option<u32>,
    /// For a class: its kept share of capacity in per cent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub floor_percent: Option<u32>,
    /// For a class: how long work may wait if its request names no deadline.
    #[serde(
        with = "optional_duration_ms",
        rename = "deadline_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline: Option<Duration>,
    /// For a class: its retries in per cent of its requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_budget_percent: Option<u32>,
    /// For a team: the most capacity units in use at a time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quota: Option<u32>,
    /// For a service: the most bytes of a request's body.
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
