//! The policy for each kind of job.

use jackdawchute_types::{JobKind, WorkerId};

use crate::{Fleet, Pack, PlacementPolicy, PlacementRequest, Spread};

/// Spreads services; packs batch jobs and gangs.
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

    fn place(&mut self, fleet: &Fleet, ask: &PlacementRequest) -> Vec<WorkerId> {
        match ask.kind {
            JobKind::Service => self.spread.place(fleet, ask),
            JobKind::Batch | JobKind::Gang => self.pack.place(fleet, ask),
        }
    }
}
