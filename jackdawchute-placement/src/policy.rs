//! The border between this crate and those that place work.

use jackdawchute_types::{JobKind, Resources, WorkerId};

use crate::Fleet;

/// What needs a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRequest {
    /// How the tasks are placed.
    pub kind: JobKind,
    /// The number of equal tasks.
    pub count: u32,
    /// What each needs.
    pub resources: Resources,
    /// Workers that already run tasks of the same job, for spreading.
    pub placed: Vec<WorkerId>,
}

/// Chooses workers.
pub trait PlacementPolicy: Send {
    /// The name in measurements.
    fn name(&self) -> &'static str;

    /// One worker for each task, in order. A gang gets all or none; other kinds may get fewer.
    ///
    /// The choice counts each earlier task of the same ask; nothing is charged to the fleet.
    fn place(&mut self, fleet: &Fleet, ask: &PlacementRequest) -> Vec<WorkerId>;
}
