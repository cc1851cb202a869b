//! Random sequences of requests, takeovers, handovers, store outages, and lost and late messages.

mod fixtures;

use fixtures::world::World;
use quickcheck::{Gen, QuickCheck};
use rand::{rngs::SmallRng, Rng, SeedableRng};

const SEED: u64 = 23;
/// The size parameter of the generator.
const GEN_SIZE: usize = 100;
const STEPS: usize = 1_500;
const RUNS: u64 = 300;

/// Runs random steps and returns the final world, or `None` once a step violates an invariant.
fn run(seed: u64) -> Option<World> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut world = World::new();
    for _ in 0..STEPS {
        world.step(random.random());
        if !world.invariants_hold() {
            return None;
        }
    }
    Some(world)
}

#[test]
fn no_minion_is_overloaded_and_no_key_runs_twice() {
    fn upholds_invariants(seed: u64) -> bool {
        run(seed).is_some()
    }
    let random = Gen::from_size_and_seed(GEN_SIZE, SEED);

    QuickCheck::new()
        .rng(random)
        .tests(RUNS)
        .quickcheck(upholds_invariants as fn(u64) -> bool);
}

/// Guards against random runs that pass because hardly any request or takeover happens in them.
#[test]
fn random_runs_run_many_requests_and_takeovers() {
    let worlds: Vec<World> = (0..20).filter_map(run).collect();

    let requests: u32 = worlds.iter().map(|world| world.total_runs).sum();
    let keyed: u32 = worlds.iter().flat_map(|world| world.runs.values()).sum();
    let takeovers: u64 = worlds.iter().map(|world| world.epoch() - 1).sum();

    println!("{requests} requests ran, {keyed} of them with a key, over {takeovers} takeovers");
    assert!(requests > 1_000 && keyed > 200 && takeovers > 50);
}
