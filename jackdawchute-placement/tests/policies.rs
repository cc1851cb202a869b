//! Properties of every policy's choices, checked on random fleets and requests.

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

fn request(kind: JobKind, count: u32, resources: Resources) -> PlacementRequest {
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

/// Returns a request from arbitrary numbers, with tasks small enough for an empty worker.
fn arbitrary_request(parts: (u8, u8, u8, u8, u8)) -> PlacementRequest {
    let kind = [JobKind::Service, JobKind::Batch, JobKind::Gang][usize::from(parts.0 % 3)];
    let processor = u64::from(parts.2 % 80 + 1) * 100;
    let memory = u64::from(parts.3 % 160 + 1) * 100;
    let accelerators = u32::from(parts.4 % 8 / 6);
    request(
        kind,
        u32::from(parts.1 % 12 + 1),
        Resources::new(processor, memory, accelerators),
    )
}

fn charge_all(
    fleet: &mut Fleet,
    chosen: &[WorkerId],
    request: &PlacementRequest,
    request_number: usize,
) {
    for (index, worker) in chosen.iter().enumerate() {
        fleet.charge(
            worker,
            &format_smolstr!("t{request_number}-{index}"),
            request.resources,
        );
    }
}

#[test]
fn no_worker_is_charged_above_its_capacity_and_a_non_accepting_one_gets_no_task() {
    fn holds(requests: Vec<(u8, u8, u8, u8, u8)>, not_accepting: u8) -> bool {
        policies().into_iter().all(|mut policy| {
            let mut fleet = fleet(10);
            let not_accepting = format_smolstr!("w{:02}", not_accepting % 10);
            fleet.set_accepting(&not_accepting, false);

            for (number, parts) in requests.iter().enumerate() {
                let request = arbitrary_request(*parts);
                let chosen = policy.place(&fleet, &request);
                charge_all(&mut fleet, &chosen, &request, number);
                // Releases leave uneven free capacity behind.
                fleet.release(&format_smolstr!("t{}-0", number / 2));
            }

            let within = fleet
                .workers()
                .all(|worker| worker.charged.fits_in(&worker.capacity));
            within
                && fleet
                    .get(&not_accepting)
                    .is_some_and(|worker| worker.charged == Resources::ZERO)
        })
    }
    check().quickcheck(holds as fn(Vec<(u8, u8, u8, u8, u8)>, u8) -> bool);
}

#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    fn holds(before: Vec<(u8, u8, u8, u8, u8)>, gang: (u8, u8, u8, u8, u8)) -> bool {
        policies().into_iter().all(|mut policy| {
            let mut fleet = fleet(6);
            for (number, parts) in before.iter().enumerate() {
                let request = arbitrary_request(*parts);
                let chosen = policy.place(&fleet, &request);
                charge_all(&mut fleet, &chosen, &request, number);
            }
            let gang = PlacementRequest {
                kind: JobKind::Gang,
                ..arbitrary_request(gang)
            };

            let chosen = policy.place(&fleet, &gang).len();

            chosen == 0 || chosen == gang.count as usize
        })
    }
    check().quickcheck(holds as fn(Vec<(u8, u8, u8, u8, u8)>, (u8, u8, u8, u8, u8)) -> bool);
}

#[test]
fn a_task_is_placed_if_and_only_if_a_worker_has_enough_free_capacity() {
    fn holds(before: Vec<(u8, u8, u8, u8, u8)>, next: (u8, u8, u8, u8, u8)) -> bool {
        policies().into_iter().all(|mut policy| {
            let mut fleet = fleet(10);
            for (number, parts) in before.iter().enumerate() {
                let request = arbitrary_request(*parts);
                let chosen = policy.place(&fleet, &request);
                charge_all(&mut fleet, &chosen, &request, number);
            }
            let next = PlacementRequest {
                count: 1,
                ..arbitrary_request(next)
            };
            let fits = fleet
                .workers()
                .any(|worker| next.resources.fits_in(&worker.free()));

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
        let service = request(JobKind::Service, tasks, Resources::new(1_000, 1_024, 0));

        let chosen = Spread::default().place(&fleet, &service);

        let mut domains: BTreeMap<_, u32> = BTreeMap::new();
        let mut racks: BTreeMap<_, u32> = BTreeMap::new();
        for worker in chosen.iter().filter_map(|worker| fleet.get(worker)) {
            *domains.entry(worker.failure_domain.clone()).or_default() += 1;
            *racks.entry(worker.rack.clone()).or_default() += 1;
        }
        chosen.len() == tasks as usize
            && domains.values().all(|&count| count <= tasks.div_ceil(3))
            && racks.values().all(|&count| count <= tasks.div_ceil(6))
    }
    check().quickcheck(holds as fn(u8) -> bool);
}

#[test]
fn accelerators_stay_free_while_plain_workers_have_free_capacity() {
    let mut fleet = fleet(8);
    let plain = request(JobKind::Batch, 1, Resources::new(1_000, 2_048, 0));

    // Two of the eight workers have accelerators; the other six hold 48 such tasks.
    for number in 0..48 {
        let chosen = Pack.place(&fleet, &plain);
        charge_all(&mut fleet, &chosen, &plain, number);
    }

    let accelerated = fleet
        .workers()
        .filter(|worker| worker.capacity.accelerators > 0);
    let charged: Vec<_> = accelerated.map(|worker| worker.charged).collect();
    assert_eq!(charged, [Resources::ZERO; 2]);
}

#[test]
fn a_removed_worker_is_not_chosen() {
    let mut fleet = fleet(2);
    fleet.remove(&"w00".into());
    let small = request(JobKind::Batch, 1, Resources::new(1_000, 1_024, 2));

    let chosen = Pack.place(&fleet, &small);

    assert_eq!(chosen, Vec::<WorkerId>::new());
    assert_eq!(fleet.len(), 1);
}
