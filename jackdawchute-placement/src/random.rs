//! A baseline: any worker with room.

use jackdawchute_types::{JobKind, WorkerId};
use rand::{rngs::SmallRng, Rng, SeedableRng};

use crate::{choice::Choice, index::SlotNumber, Fleet, PlacementPolicy, PlacementRequest};

/// Takes a random accepting worker that has room.
///
/// ```
/// use jackdawchute_placement::{PlacementPolicy, Random};
///
/// assert_eq!(Random::new(7).name(), "random");
/// ```
#[derive(Clone, Debug)]
pub struct Random {
    random: SmallRng,
}

impl Random {
    /// The same seed makes the same choices.
    pub fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
        }
    }
}

impl PlacementPolicy for Random {
    fn name(&self) -> &'static str {
        "random"
    }

    fn place(&mut self, fleet: &Fleet, ask: &PlacementRequest) -> Vec<WorkerId> {
        let mut choice = Choice::new(fleet);
        let numbers = fleet.numbers_max();
        for _ in 0..ask.count {
            let start = self.random.random_range(0..numbers.max(1));
            let mut order = (start..numbers).chain(0..start);
            let fits = |number: &SlotNumber| {
                fleet.slot(*number).is_some_and(|slot| slot.accepting)
                    && choice.left(*number, &ask.resources).is_some()
            };
            let Some(number) = order.find(fits) else {
                break;
            };
            choice.take(number, &ask.resources);
        }
        choice.finish(ask.kind == JobKind::Gang, ask.count)
    }
}
