//! Packs batch jobs and gangs, so that accelerators and large blocks of capacity stay free.

use jackdawchute_types::{JobKind, WorkerId};

use crate::{
    choice::{Choice, RemainderScore},
    Fleet, PlacementPolicy, PlacementRequest,
};

/// Chooses the worker with the fewest free accelerators that suffice and the least remaining
/// capacity.
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

    fn place(&mut self, fleet: &Fleet, request: &PlacementRequest) -> Vec<WorkerId> {
        let remainder = RemainderScore::new(fleet);
        let mut choice = Choice::new(fleet);
        while choice.workers.len() < request.count as usize {
            let mut score =
                |number| Some(remainder.score(&choice.free_after(number, &request.resources)?));
            let Some(number) = fleet.best(&request.resources, &mut score) else {
                break;
            };
            while choice.workers.len() < request.count as usize
                && choice.free_after(number, &request.resources).is_some()
            {
                choice.add_task(number, &request.resources);
            }
        }
        choice.finish(request.kind == JobKind::Gang, request.count)
    }
}
