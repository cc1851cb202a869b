//! Random runs over takeovers, handovers, outages, lost and late messages.

mod fixtures;

use fixtures::world::World;
use quickcheck::{Gen, QuickCheck};
use rand::{rngs::SmallRng, Rng, SeedableRng};

const SEED: u64 = 23;
const SIZE: usize = 100;
const STEPS: usize = 1_500;
const RUNS: u64 = 300;

/// Does random steps until one of them breaks something; `None` if none does.
fn run(seed: u64) -> Option<World> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut world = World::new();
    for _ in 0..STEPS {
        world.step(random.random());
        if !world.holds() {
            return None;
        }
    }
    Some(world)
}

#[test]
fn no_minion_is_overloaded_and_no_key_runs_twice() {
    fn holds(seed: u64) -> bool {
        run(seed).is_some()
    }
    let random = Gen::from_size_and_seed(SIZE, SEED);

    QuickCheck::new()
        .rng(random)
        .tests(RUNS)
        .quickcheck(holds as fn(u64) -> bool);
}

/// The runs above prove nothing if hardly anything runs in them.
#[test]
fn random_runs_do_run_requests() {
    let worlds: Vec<World> = (0..20).filter_map(run).collect();

    let plain: u32 = worlds.iter().map(|world| world.total_runs).sum();
    let keyed: u32 = worlds.iter().flat_map(|world| world.runs.values()).sum();
    let takeovers: u64 = worlds.iter().map(|world| world.epoch() - 1).sum();

    println!("{plain} requests ran, {keyed} of them with a key, over {takeovers} takeovers");
    assert!(plain > 1_000 && keyed > 200 && takeovers > 50);
}
