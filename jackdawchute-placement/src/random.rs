//! A baseline: a random worker with enough free capacity.

use jackdawchute_types::{JobKind, WorkerId};
use rand::{rngs::SmallRng, Rng, SeedableRng};

use crate::{choice::Choice, index::WorkerNumber, Fleet, PlacementPolicy, PlacementRequest};

/// Chooses a random accepting worker with enough free capacity.
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
    /// Creates a policy whose choices depend only on the seed and the requests.
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

    fn place(&mut self, fleet: &Fleet, request: &PlacementRequest) -> Vec<WorkerId> {
        let mut choice = Choice::new(fleet);
        let numbers = fleet.numbers_end();
        for _ in 0..request.count {
            let start = self.random.random_range(0..numbers.max(1));
            let mut order = (start..numbers).chain(0..start);
            let fits = |number: &WorkerNumber| {
                fleet.worker(*number).is_some_and(|worker| worker.accepting)
                    && choice.free_after(*number, &request.resources).is_some()
            };
            let Some(number) = order.find(fits) else {
                break;
            };
            choice.add_task(number, &request.resources);
        }
        choice.finish(request.kind == JobKind::Gang, request.count)
    }
}
