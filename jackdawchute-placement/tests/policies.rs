//! What every choice of a policy keeps.

use std::collections::BTreeMap;

use jackdawchute_placement::{
    ByKind, FirstFit, Fleet, FleetWorker, Pack, PlacementPolicy, PlacementRequest, Random, Spread,
};
use jackdawchute_types::{JobKind, Resources, WorkerId};
use quickcheck::{Gen, QuickCheck};
use smol_str::format_smolstr;

const SEED: u64 = 11;
const SIZE: usize = 60;

fn check() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(300)
}

fn worker(number: usize, accelerators: u32) -> FleetWorker {
    FleetWorker {
        id: format_smolstr!("w{number:02}"),
        rack: format_smolstr!("r{}", number / 2),
        failure_domain: format_smolstr!("d{}", number / 2 % 3),
        capacity: Resources::new(8_000, 16_384, accelerators),
        accepting: true,
        charged: Resources::ZERO,
    }
}

fn fleet(workers: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..workers {
        fleet.upsert(worker(number, if number % 4 == 0 { 2 } else { 0 }));
    }
    fleet
}

fn ask(kind: JobKind, count: u32, resources: Resources) -> PlacementRequest {
    PlacementRequest {
        kind,
        count,
        resources,
        placed: Vec::new(),
    }
}

fn policies() -> Vec<Box<dyn PlacementPolicy>> {
    vec![
        Box::new(ByKind::default()),
        Box::new(FirstFit),
        Box::new(Random::new(SEED)),
    ]
}

/// An ask from arbitrary numbers, of a size that a worker may have.
fn arbitrary_ask(parts: (u8, u8, u8, u8, u8)) -> PlacementRequest {
    let kind = [JobKind::Service, JobKind::Batch, JobKind::Gang][usize::from(parts.0 % 3)];
    let processor = u64::from(parts.2 % 80 + 1) * 100;
    let memory = u64::from(parts.3 % 160 + 1) * 100;
    let accelerators = u32::from(parts.4 % 8 / 6);
    ask(
        kind,
        u32::from(parts.1 % 12 + 1),
        Resources::new(processor, memory, accelerators),
    )
}

fn charge_all(fleet: &mut Fleet, chosen: &[WorkerId], ask: &PlacementRequest, name: usize) {
    for (index, worker) in chosen.iter().enumerate() {
        fleet.charge(worker, &format_smolstr!("t{name}-{index}"), ask.resources);
    }
}

#[test]
fn no_worker_is_given_more_than_it_has() {
    fn holds(asks: Vec<(u8, u8, u8, u8, u8)>, cordoned: u8) -> bool {
        policies().into_iter().all(|mut policy| {
            let mut fleet = fleet(10);
            let cordoned = format_smolstr!("w{:02}", cordoned % 10);
            fleet.set_accepting(&cordoned, false);

            for (name, parts) in asks.iter().enumerate() {
                let ask = arbitrary_ask(*parts);
                let chosen = policy.place(&fleet, &ask);
                charge_all(&mut fleet, &chosen, &ask, name);
                // A release now and then opens holes.
                fleet.release(&format_smolstr!("t{}-0", name / 2));
            }

            let within = fleet
                .workers()
                .all(|slot| slot.charged.fits_in(&slot.capacity));
            within
                && fleet
                    .get(&cordoned)
                    .is_some_and(|slot| slot.charged == Resources::ZERO)
        })
    }
    check().quickcheck(holds as fn(Vec<(u8, u8, u8, u8, u8)>, u8) -> bool);
}

#[test]
fn a_gang_is_whole_or_absent() {
    fn holds(before: Vec<(u8, u8, u8, u8, u8)>, gang: (u8, u8, u8, u8, u8)) -> bool {
        policies().into_iter().all(|mut policy| {
            let mut fleet = fleet(6);
            for (name, parts) in before.iter().enumerate() {
                let ask = arbitrary_ask(*parts);
                let chosen = policy.place(&fleet, &ask);
                charge_all(&mut fleet, &chosen, &ask, name);
            }
            let gang = PlacementRequest {
                kind: JobKind::Gang,
                ..arbitrary_ask(gang)
            };

            let chosen = policy.place(&fleet, &gang).len();

            chosen == 0 || chosen == gang.count as usize
        })
    }
    check().quickcheck(holds as fn(Vec<(u8, u8, u8, u8, u8)>, (u8, u8, u8, u8, u8)) -> bool);
}

#[test]
fn what_fits_a_worker_is_placed() {
    fn holds(before: Vec<(u8, u8, u8, u8, u8)>, next: (u8, u8, u8, u8, u8)) -> bool {
        policies().into_iter().all(|mut policy| {
            let mut fleet = fleet(10);
            for (name, parts) in before.iter().enumerate() {
                let ask = arbitrary_ask(*parts);
                let chosen = policy.place(&fleet, &ask);
                charge_all(&mut fleet, &chosen, &ask, name);
            }
            let next = PlacementRequest {
                count: 1,
                ..arbitrary_ask(next)
            };
            let fits = fleet
                .workers()
                .any(|slot| next.resources.fits_in(&slot.free()));

            let chosen = policy.place(&fleet, &next);

            chosen.is_empty() != fits
        })
    }
    check().quickcheck(holds as fn(Vec<(u8, u8, u8, u8, u8)>, (u8, u8, u8, u8, u8)) -> bool);
}

#[test]
fn a_service_is_spread_over_domains_and_racks() {
    fn holds(tasks: u8) -> bool {
        let fleet = fleet(12);
        let tasks = u32::from(tasks % 12 + 1);
        let service = ask(JobKind::Service, tasks, Resources::new(1_000, 1_024, 0));

        let chosen = Spread::default().place(&fleet, &service);

        let mut domains: BTreeMap<_, u32> = BTreeMap::new();
        let mut racks: BTreeMap<_, u32> = BTreeMap::new();
        for slot in chosen.iter().filter_map(|worker| fleet.get(worker)) {
            *domains.entry(slot.failure_domain.clone()).or_default() += 1;
            *racks.entry(slot.rack.clone()).or_default() += 1;
        }
        chosen.len() == tasks as usize
            && domains.values().all(|&count| count <= tasks.div_ceil(3))
            && racks.values().all(|&count| count <= tasks.div_ceil(6))
    }
    check().quickcheck(holds as fn(u8) -> bool);
}

#[test]
fn accelerators_stay_free_while_plain_workers_have_room() {
    let mut fleet = fleet(8);
    let plain = ask(JobKind::Batch, 1, Resources::new(1_000, 2_048, 0));

    // Two of the eight workers have accelerators; the other six hold 48 such tasks.
    for name in 0..48 {
        let chosen = Pack.place(&fleet, &plain);
        charge_all(&mut fleet, &chosen, &plain, name);
    }

    let accelerated = fleet
        .workers()
        .filter(|slot| slot.capacity.accelerators > 0);
    let charged: Vec<_> = accelerated.map(|slot| slot.charged).collect();
    assert_eq!(charged, [Resources::ZERO; 2]);
}

#[test]
fn a_removed_worker_is_chosen_no_more() {
    let mut fleet = fleet(2);
    fleet.remove(&"w00".into());
    let small = ask(JobKind::Batch, 1, Resources::new(1_000, 1_024, 2));

    let chosen = Pack.place(&fleet, &small);

    assert_eq!(chosen, Vec::<WorkerId>::new());
    assert_eq!(fleet.len(), 1);
}
