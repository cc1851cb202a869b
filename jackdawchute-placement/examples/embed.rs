//! Placement alone: a small fleet, one gang, no other part of the scheduler.
//!
//! `cargo run -p jackdawchute-placement --example embed`

use jackdawchute_placement::{ByKind, Fleet, FleetWorker, PlacementPolicy, PlacementRequest};
use jackdawchute_types::{JobKind, Resources};
use smol_str::format_smolstr;

fn main() {
    let mut fleet = Fleet::default();
    for number in 0..4 {
        fleet.upsert(FleetWorker {
            id: format_smolstr!("w{number}"),
            rack: format_smolstr!("r{}", number / 2),
            failure_domain: "buh-1".into(),
            capacity: Resources::new(16_000, 32_768, 0),
            accepting: true,
            charged: Resources::ZERO,
        });
    }
    let gang = PlacementRequest {
        kind: JobKind::Gang,
        count: 6,
        resources: Resources::new(4_000, 8_192, 0),
        placed: Vec::new(),
    };

    let workers = ByKind::default().place(&fleet, &gang);
    for (index, worker) in workers.iter().enumerate() {
        println!("task {index} goes to {worker}");
        fleet.charge(worker, &format_smolstr!("gang-{index}"), gang.resources);
    }
}
