//! The interface between admission policies and their callers.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_types::{duration_ms, ClassId, Refusal, TeamId};
use serde::{Deserialize, Serialize};

/// The id of a work item within its policy.
pub type WorkItemId = u64;

/// A piece of work that is queued until there is capacity for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkItem {
    /// The id, set by the caller; unique among the queued and running items of the policy.
    pub id: WorkItemId,
    /// The class whose priority, floor and queue bound apply.
    pub class: ClassId,
    /// The team whose quota is charged.
    pub team: TeamId,
    /// When the work arrived; items of one team and class run in this order.
    pub arrived: Instant,
    /// The time by which the work must have started; `None` for no limit.
    pub deadline: Option<Instant>,
    /// The units of capacity that the work uses while it runs.
    pub cost: u32,
}

/// The priority, floor and bounds of one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLimits {
    /// The urgency; a lower number goes first.
    pub priority: u32,
    /// The highest number of queued items.
    pub queue_max: usize,
    /// The share of capacity, in per cent, that no other class can take while this one has work.
    pub floor_percent: u32,
    /// How long an item may wait if its request has no deadline of its own.
    #[serde(with = "duration_ms", rename = "deadline_ms")]
    pub deadline: Duration,
}

/// The limits of all classes and teams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The limits of each class; work of a class not listed is refused by most policies.
    pub classes: BTreeMap<ClassId, ClassLimits>,
    /// The most capacity units that each team may use at a time; a team not listed has no bound.
    pub quotas: BTreeMap<TeamId, u32>,
}

/// Queues work items, decides which one runs next and refuses what cannot run in time.
pub trait AdmissionPolicy: Send {
    /// Replaces the limits; queued items stay.
    fn set_limits(&mut self, limits: Limits);

    /// Sets the units of capacity that may be in use at a time.
    fn set_capacity(&mut self, units: u32);

    /// Queues an item.
    ///
    /// # Errors
    /// Returns the refusal; the item is not queued.
    fn offer(&mut self, item: WorkItem, now: Instant) -> Result<(), Refusal>;

    /// Removes the item that runs next from its queue and counts its cost as used.
    ///
    /// Returns `None` if nothing is queued or the capacity does not suffice.
    fn next(&mut self, now: Instant) -> Option<WorkItem>;

    /// Removes the queued items whose deadline has passed or can no longer be met, and returns each
    /// with its refusal.
    fn expire(&mut self, now: Instant) -> Vec<(WorkItem, Refusal)>;

    /// Removes a queued item, such as when its caller has disconnected.
    fn cancel(&mut self, id: WorkItemId) -> Option<WorkItem>;

    /// Releases the capacity of an item that ran for `service_time`.
    ///
    /// A time of zero means that it never ran; it is not used for estimates.
    fn release(&mut self, item: &WorkItem, service_time: Duration);

    /// Returns the number of queued items by class.
    fn queued(&self) -> BTreeMap<ClassId, usize>;
}
