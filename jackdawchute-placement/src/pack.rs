//! Batch jobs and gangs: packed, so that accelerators and large holes stay free.

use jackdawchute_types::{JobKind, WorkerId};

use crate::{
    choice::{Choice, Leftover},
    Fleet, PlacementPolicy, PlacementRequest,
};

/// Takes the worker with the fewest free accelerators that suffice and the least left over.
///
/// ```
/// use jackdawchute_placement::{Pack, PlacementPolicy};
///
/// assert_eq!(Pack.name(), "pack");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Pack;

impl PlacementPolicy for Pack {
    fn name(&self) -> &'static str {
        "pack"
    }

    fn place(&mut self, fleet: &Fleet, ask: &PlacementRequest) -> Vec<WorkerId> {
        let leftover = Leftover::new(fleet);
        let mut choice = Choice::new(fleet);
        while choice.workers.len() < ask.count as usize {
            let mut score = |number| Some(leftover.score(&choice.left(number, &ask.resources)?));
            let Some(number) = fleet.best(&ask.resources, &mut score) else {
                break;
            };
            while choice.workers.len() < ask.count as usize
                && choice.left(number, &ask.resources).is_some()
            {
                choice.take(number, &ask.resources);
            }
        }
        choice.finish(ask.kind == JobKind::Gang, ask.count)
    }
}
