//! Random runs of the lives of rack owners and of a worker's processes.

mod fixtures;

use fixtures::lives::World;

/// The number of runs; each has its number as seed.
const RUNS: u64 = 2_000;

#[test]
fn an_attempt_runs_nowhere_once_a_rack_owner_has_said_that_it_is_over() {
    for seed in 0..RUNS {
        let mut world = World::new(seed);

        let wrong = world.run();

        assert_eq!(wrong, None, "seed {seed}: {:#?}", world.history);
    }
}
