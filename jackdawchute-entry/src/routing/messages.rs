//! The messages of the routing task and their answers.

use std::{sync::Arc, time::Duration};

use http::Method;
use jackdawchute_ownership::{Directory, LeaseState, Owner};
use jackdawchute_ports::MembershipList;
use jackdawchute_requests::FailedAttempt;
use jackdawchute_types::{ClassId, ConfigurationVersion, GroupId, JobId, ServiceId, TeamId};
use serde::Serialize;

/// Asks whether the instance accepts new work; refused without a confirmed configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CheckNewWork;

/// Asks for the route of a request; refused if there is none or the instance accepts no new work.
#[derive(Clone, Debug)]
pub(crate) struct MatchRoute {
    pub(crate) method: Method,
    /// The `Host` header, if the caller sent one.
    pub(crate) host: Option<String>,
    pub(crate) path: String,
}

/// What the configuration prescribes for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RouteMatch {
    pub(crate) service: ServiceId,
    pub(crate) class: ClassId,
    pub(crate) team: TeamId,
    /// Whether the request may be sent more than once.
    pub(crate) idempotent: bool,
    /// The deadline of a request whose caller gives none.
    pub(crate) deadline: Duration,
    /// The longest deadline; a caller's longer one is shortened to it.
    pub(crate) deadline_max: Duration,
    /// The maximum size of the request's body in bytes.
    pub(crate) body_bytes_max: usize,
    /// The maximum size in bytes of a response's body that is retained under its key.
    pub(crate) retained_body_bytes_max: usize,
}

/// Asks for the group to get a slot from, with its owner: the least used group of the service that
/// is not in `excluded`.
#[derive(Clone, Debug)]
pub(crate) struct PickGroup {
    pub(crate) service: ServiceId,
    pub(crate) excluded: Vec<GroupId>,
}

/// Asks for the owner of a group; refused if none is known.
#[derive(Clone, Debug)]
pub(crate) struct LocateGroup(pub(crate) GroupId);

/// Asks for the home group of a job with its owner; refused if none is known.
#[derive(Clone, Debug)]
pub(crate) struct LocateJob(pub(crate) JobId);

/// Counts a request that this instance sent with a grant of the group.
#[derive(Clone, Debug)]
pub(crate) struct RequestSent(pub(crate) GroupId);

/// Ends the count of one [`RequestSent`]: the slot of the group is free again.
#[derive(Clone, Debug)]
pub(crate) struct RequestFinished(pub(crate) GroupId);

/// Adds retry budget for an attempt of the class that succeeded.
#[derive(Clone, Debug)]
pub(crate) struct AttemptSucceeded(pub(crate) ClassId);

/// Asks whether a failed attempt may be repeated and after which delay. A retry is taken from the
/// budget of the class; refused if the budget is exhausted.
#[derive(Clone, Debug)]
pub(crate) struct AuthorizeRetry(pub(crate) FailedAttempt);

/// Reports that an owner is not known or does not answer, so that the rows of the table are scanned
/// soon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerMissing;

/// Makes the instance unready from now on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BeginDrain;

/// Asks whether the balancer should send callers here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IsReady;

/// Whether the balancer should send callers here, and if not, why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Readiness {
    /// Whether nothing is missing.
    pub(crate) ready: bool,
    /// The conditions that are not met; operators read them.
    pub(crate) missing: Vec<&'static str>,
}

/// Asks for a [`RoutingSnapshot`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct GetSnapshot;

/// What this instance knows of others and of its own state at one moment.
#[derive(Clone, Debug)]
pub(crate) struct RoutingSnapshot {
    pub(crate) directory: Arc<Directory>,
    pub(crate) members: Arc<MembershipList>,
    pub(crate) lease_state: LeaseState,
    /// The version in use; `None` until the first one has arrived.
    pub(crate) configuration_version: Option<ConfigurationVersion>,
    pub(crate) draining: bool,
}

/// A group and its owner, as the directory names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Located {
    pub(crate) group: GroupId,
    pub(crate) owner: Owner,
}
