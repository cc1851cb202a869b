//! What the routing task takes.

use std::{sync::Arc, time::Duration};

use http::Method;
use jackdawchute_ownership::{Directory, LeaseState, Owner};
use jackdawchute_ports::MembershipList;
use jackdawchute_requests::FailedAttempt;
use jackdawchute_types::{ClassId, ConfigurationVersion, GroupId, JobId, ServiceId, TeamId};
use serde::Serialize;

/// Asks whether the instance takes new work; refused without a confirmed configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TakesNewWork;

/// Asks for the route of a request; refused if there is none or the instance takes no new work.
#[derive(Clone, Debug)]
pub(crate) struct MatchRoute {
    pub(crate) method: Method,
    pub(crate) host: Option<String>,
    pub(crate) path: String,
}

/// How a request is treated, as the configuration says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RouteMatch {
    pub(crate) service: ServiceId,
    pub(crate) class: ClassId,
    pub(crate) team: TeamId,
    /// Whether it may be sent more than once.
    pub(crate) idempotent: bool,
    /// How long a caller waits that names no deadline.
    pub(crate) deadline: Duration,
    /// The longest deadline that a caller may name.
    pub(crate) deadline_max: Duration,
    pub(crate) body_bytes_max: usize,
    /// The largest answer to a keyed request that is kept.
    pub(crate) retained_body_bytes_max: usize,
}

/// Asks for the group that should give a request its slot, with its owner: the least used one
/// that is not in `tried`.
#[derive(Clone, Debug)]
pub(crate) struct PickGroup {
    pub(crate) service: ServiceId,
    pub(crate) tried: Vec<GroupId>,
}

/// Asks for the owner of a group.
#[derive(Clone, Debug)]
pub(crate) struct LocateGroup(pub(crate) GroupId);

/// Asks for the home group of a job and its owner.
#[derive(Clone, Debug)]
pub(crate) struct LocateJob(pub(crate) JobId);

/// A request of the group is under way from here.
#[derive(Clone, Debug)]
pub(crate) struct Sent(pub(crate) GroupId);

/// A request of the group is done; undoes one [`Sent`].
#[derive(Clone, Debug)]
pub(crate) struct Finished(pub(crate) GroupId);

/// An attempt of the class succeeded, which earns retry budget.
#[derive(Clone, Debug)]
pub(crate) struct Succeeded(pub(crate) ClassId);

/// Asks whether an attempt may be repeated and after which delay; takes from the budget.
#[derive(Clone, Debug)]
pub(crate) struct AskRetry(pub(crate) FailedAttempt);

/// A call found the owner gone or not known: the directory is read anew, soon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerMissing;

/// Takes no new calls from now on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BeginDrain;

/// Asks whether the balancer should send calls here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IsReady;

/// Whether the balancer should send calls here, and why not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Readiness {
    /// Whether new calls are taken.
    pub(crate) ready: bool,
    /// What is missing.
    pub(crate) missing: Vec<&'static str>,
}

/// Asks for what this instance knows, for the status page.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View;

/// What this instance knows.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub(crate) directory: Arc<Directory>,
    pub(crate) members: Arc<MembershipList>,
    pub(crate) lease_state: LeaseState,
    pub(crate) configuration_version: Option<ConfigurationVersion>,
    pub(crate) draining: bool,
}

/// A group and who owns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Located {
    pub(crate) group: GroupId,
    pub(crate) owner: Owner,
}
