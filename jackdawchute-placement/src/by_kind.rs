//! Selects the placement policy by the kind of job.

use jackdawchute_types::{JobKind, WorkerId};

use crate::{Fleet, Pack, PlacementPolicy, PlacementRequest, Spread};

/// Places services with [`Spread`], batch jobs and gangs with [`Pack`].
///
/// ```
/// use jackdawchute_placement::{ByKind, PlacementPolicy};
///
/// assert_eq!(ByKind::default().name(), "by-kind");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ByKind {
    spread: Spread,
    pack: Pack,
}

impl PlacementPolicy for ByKind {
    fn name(&self) -> &'static str {
        "by-kind"
    }

    fn place(&mut self, fleet: &Fleet, request: &PlacementRequest) -> Vec<WorkerId> {
        match request.kind {
            JobKind::Service => self.spread.place(fleet, request),
            JobKind::Batch | JobKind::Gang => self.pack.place(fleet, request),
        }
    }
}
