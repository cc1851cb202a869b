//! The interface between placement policies and their callers.

use jackdawchute_types::{JobKind, Resources, WorkerId};

use crate::Fleet;

/// A request for workers for one or more equal tasks of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRequest {
    /// The kind of the job, which decides how the tasks are placed.
    pub kind: JobKind,
    /// The number of tasks to place.
    pub count: u32,
    /// The resources that each task needs.
    pub resources: Resources,
    /// The workers that already run tasks of the same job, one entry for each task; read by
    /// [`Spread`](crate::Spread) only.
    pub placed: Vec<WorkerId>,
}

/// Chooses workers for the tasks of a job.
pub trait PlacementPolicy: Send {
    /// Returns the policy's name, as benchmark output shows it.
    fn name(&self) -> &'static str;

    /// Returns one worker for each task, in order.
    ///
    /// A gang gets a worker for every task or none at all; other kinds may get fewer workers than
    /// tasks. Each choice accounts for the earlier tasks of the same request, but nothing is
    /// charged to the fleet.
    fn place(&mut self, fleet: &Fleet, request: &PlacementRequest) -> Vec<WorkerId>;
}
