//! The border between this crate and those that queue work.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_types::{duration_ms, ClassId, Refusal, TeamId};
use serde::{Deserialize, Serialize};

/// Names queued work within its policy.
pub type WorkItemId = u64;

/// Work that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkItem {
    /// Chosen by the caller, unique among the queued.
    pub id: WorkItemId,
    /// Its class.
    pub class: ClassId,
    /// The team that is charged.
    pub team: TeamId,
    /// When it arrived.
    pub arrived: Instant,
    /// When it must have started, if ever.
    pub deadline: Option<Instant>,
    /// How many units of capacity it takes while it runs.
    pub cost: u32,
}

/// The bounds of one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLimits {
    /// Urgency; a lower number goes first.
    pub priority: u32,
    /// The most queued tickets.
    pub queue_max: usize,
    /// The share of capacity, in per cent, that no other class can take while this one has work.
    pub floor_percent: u32,
    /// How long a ticket may wait if its request names no deadline.
    #[serde(with = "duration_ms", rename = "deadline_ms")]
    pub deadline: Duration,
}

/// The bounds of all classes and teams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// By class.
    pub classes: BTreeMap<ClassId, ClassLimits>,
    /// The most capacity units that each team may use at a time; teams not named have no bound.
    pub quotas: BTreeMap<TeamId, u32>,
}

/// Decides what waits, what runs next and what is refused.
pub trait AdmissionPolicy: Send {
    /// Replaces the bounds; queued tickets stay.
    fn set_limits(&mut self, limits: Limits);

    /// Sets the units of capacity that may be in use together.
    fn set_capacity(&mut self, units: u32);

    /// Queues a ticket.
    ///
    /// # Errors
    /// The refusal says why; the ticket was not taken.
    fn offer(&mut self, ticket: WorkItem, now: Instant) -> Result<(), Refusal>;

    /// Takes the ticket that runs next out of the queue and counts its cost as used.
    fn next(&mut self, now: Instant) -> Option<WorkItem>;

    /// Takes queued tickets out whose deadline passed or cannot be met any more.
    fn expire(&mut self, now: Instant) -> Vec<(WorkItem, Refusal)>;

    /// Takes one queued ticket out, such as for a caller that went away.
    fn cancel(&mut self, id: WorkItemId) -> Option<WorkItem>;

    /// Gives the capacity of a ticket back after it ran for `service_time`.
    ///
    /// A time of zero means that it never ran; it is not measured.
    fn release(&mut self, ticket: &WorkItem, service_time: Duration);

    /// The queued tickets by class.
    fn queued(&self) -> BTreeMap<ClassId, usize>;
}
