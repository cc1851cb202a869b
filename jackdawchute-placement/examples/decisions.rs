//! Measures placement: `cargo run --release -p jackdawchute-placement --example decisions`.
//!
//! For each fleet size and policy it prints a table line and a JSON line: time per decision,
//! decisions per second on one core, and how full the fleet is packed compared with a best fit that
//! knows all jobs in advance. Seeds are fixed; each part is bounded in the number of decisions and
//! in time.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use jackdawchute_placement::{
    ByKind, FirstFit, Fleet, FleetWorker, Pack, PlacementPolicy, PlacementRequest, Random,
};
use jackdawchute_types::{JobKind, Resources, TaskId, WorkerId};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use serde_json::json;
use smol_str::format_smolstr;

const SEED: u64 = 20;
/// Seeds of the job sequences for packing; its figures are means over them.
const PACKING_SEEDS: [u64; 5] = [21, 22, 23, 24, 25];
const FLEET_SIZES: [usize; 4] = [50, 400, 2_000, 6_700];
const WORKERS_PER_RACK: usize = 8;
const FAILURE_DOMAINS: usize = 17;
const DECISIONS_MAX: usize = 20_000;
const TIME_MAX: Duration = Duration::from_secs(4);
/// How many tasks that exceed the total free capacity are skipped before a fill ends.
const SKIPPED_MAX: usize = 2_000;
/// Share of the fleet's processor time in use while decisions are timed, in per cent.
const FULL_PERCENT: u64 = 85;

fn main() {
    // Comes first: memory that the other parts freed would be reused and not counted.
    print_memory_use();
    println!(
        "{:>7} {:>10} {:>9} {:>9} {:>9} {:>12} {:>22} {:>9} {:>6} {:>18}",
        "workers",
        "policy",
        "p50 us",
        "p99 us",
        "max us",
        "decisions/s",
        "cpu/mem/acc at refusal",
        "hindsight",
        "least",
        "by resource"
    );
    let mut measurements = Vec::new();
    for workers in FLEET_SIZES {
        let hindsight_packings = PACKING_SEEDS.map(|seed| hindsight(workers, seed));
        for policy in [0, 1, 2] {
            let measurement = measure(workers, policy, &hindsight_packings);
            measurements.push((workers, policy, measurement));
        }
    }
    print_slopes(&measurements);
}

fn policy(number: usize) -> Box<dyn PlacementPolicy> {
    match number {
        0 => Box::new(ByKind::default()),
        1 => Box::new(FirstFit),
        _ => Box::new(Random::new(SEED)),
    }
}

/// Returns a fleet with the worker sizes of both users; about a third have accelerators, 14,000 on
/// 6,700 workers.
fn fleet(workers: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..workers {
        let capacity = match number % 20 {
            0..=5 => Resources::new(64_000, 262_144, 7),
            6..=12 => Resources::new(32_000, 131_072, 0),
            _ => Resources::new(16_000, 32_768, 0),
        };
        let rack = number / WORKERS_PER_RACK;
        fleet.upsert(FleetWorker {
            id: format_smolstr!("w{number:05}"),
            rack: format_smolstr!("r{rack:04}"),
            failure_domain: format_smolstr!("d{:02}", rack % FAILURE_DOMAINS),
            capacity,
            accepting: true,
            charged: Resources::ZERO,
        });
    }
    fleet
}

/// Returns a request for the next task of a random mix: a fifth services, some with accelerators,
/// few large.
fn next_request(random: &mut SmallRng) -> PlacementRequest {
    let kind = if random.random_ratio(1, 5) {
        JobKind::Service
    } else {
        JobKind::Batch
    };
    let resources = match random.random_range(0..100) {
        0..=14 => {
            let accelerators = [1, 1, 1, 2, 4][random.random_range(0..5)];
            let factor = u64::from(accelerators);
            Resources::new(6_000 * factor, 24_576 * factor, accelerators)
        }
        15..=19 => Resources::new(12_000, random.random_range(12..=48) * 1_024, 0),
        _ => {
            let cores = [500, 1_000, 1_000, 2_000, 4_000][random.random_range(0..5)];
            Resources::new(
                cores,
                cores * random.random_range(1..=8) / 1_000 * 1_024 + 512,
                0,
            )
        }
    };
    PlacementRequest {
        kind,
        count: 1,
        resources,
        placed: Vec::new(),
    }
}

struct Measurement {
    p50_us: f64,
}

fn measure(workers: usize, policy_number: usize, hindsight_packings: &[Packing]) -> Measurement {
    let packings = PACKING_SEEDS.map(|seed| pack(workers, policy(policy_number).as_mut(), seed));
    let (histogram, per_second) = time_decisions(workers, policy(policy_number).as_mut());
    let us = |nanos: u64| nanos as f64 / 1_000.0;
    let (p50, p99) = (
        us(histogram.value_at_quantile(0.5)),
        us(histogram.value_at_quantile(0.99)),
    );
    let max = us(histogram.max());
    let name = policy(policy_number).name();
    let ratios: Vec<f64> = packings
        .iter()
        .zip(hindsight_packings)
        .map(|(packing, hindsight)| packing.mean_percent / hindsight.mean_percent.max(1e-9))
        .collect();
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    let (ratio, least) = (
        mean(&ratios),
        ratios.iter().copied().fold(f64::MAX, f64::min),
    );
    let used = |resource: usize| mean(&packings.each_ref().map(|p| p.used_percent[resource]));
    let [processor, memory, accelerators] = [used(0), used(1), used(2)];
    let used_in_hindsight = |resource: usize| {
        let values: Vec<f64> = hindsight_packings
            .iter()
            .map(|p| p.used_percent[resource])
            .collect();
        mean(&values)
    };
    let by_resource =
        [0, 1, 2].map(|resource| used(resource) / used_in_hindsight(resource).max(1e-9));
    println!(
        "{workers:>7} {name:>10} {p50:>9.1} {p99:>9.1} {max:>9.1} {per_second:>12.0} {:>22} {ratio:>9.3} {least:>6.3} {:>18}",
        format!("{processor:.1}/{memory:.1}/{accelerators:.1}"),
        by_resource.map(|ratio| format!("{ratio:.3}")).join("/")
    );
    let line = json!({
        "workers": workers, "policy": name, "p50_us": p50, "p99_us": p99, "max_us": max,
        "decisions_per_second": per_second, "processor_percent": processor,
        "memory_percent": memory, "accelerator_percent": accelerators,
        "hindsight_ratio": ratio, "hindsight_ratio_least": least, "hindsight_ratio_by_resource": by_resource,
    });
    println!("{line}");
    Measurement { p50_us: p50 }
}

/// Times each decision with its charge while the fleet stays about equally full.
fn time_decisions(workers: usize, policy: &mut dyn PlacementPolicy) -> (Histogram<u64>, f64) {
    let mut fleet = fleet(workers);
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut running: Vec<(TaskId, Resources)> = Vec::new();
    let mut used = Resources::ZERO;
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    let full = fleet.total().processor_millicores * FULL_PERCENT / 100;
    let started = Instant::now();
    let (mut number, mut timed, mut busy) = (0_u64, 0, Duration::ZERO);
    while timed < DECISIONS_MAX && started.elapsed() < TIME_MAX {
        number += 1;
        while used.processor_millicores > full {
            let (task, amount) = running.swap_remove(random.random_range(0..running.len()));
            fleet.release(&task);
            used = used.saturating_sub(&amount);
        }
        let request = next_request(&mut random);
        let decision_started = Instant::now();
        let chosen = policy.place(&fleet, &request);
        let task = format_smolstr!("t{number}");
        if let Some(worker) = chosen.first() {
            fleet.charge(worker, &task, request.resources);
            running.push((task, request.resources));
            used = used.saturating_add(&request.resources);
        }
        let elapsed = decision_started.elapsed();
        if used.processor_millicores * 10 > full * 9 {
            timed += 1;
            busy += elapsed;
            let _ = histogram.record(u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX));
        }
    }
    (histogram, timed as f64 / busy.as_secs_f64().max(1e-9))
}

struct Packing {
    /// Mean of the used shares of the three resources, in per cent.
    mean_percent: f64,
    /// Used shares of processor, memory and accelerators.
    used_percent: [f64; 3],
}

fn packing_of(total: &Resources, used: &Resources) -> Packing {
    let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
    let used_percent = [
        percent(used.processor_millicores, total.processor_millicores),
        percent(used.memory_mib, total.memory_mib),
        percent(used.accelerators.into(), total.accelerators.into()),
    ];
    let mean_percent = used_percent.iter().sum::<f64>() / used_percent.len() as f64;
    Packing {
        mean_percent,
        used_percent,
    }
}

/// Fills the fleet until no worker is found for a task that fits the total free capacity.
fn pack(workers: usize, policy: &mut dyn PlacementPolicy, seed: u64) -> Packing {
    let mut fleet = fleet(workers);
    let mut random = SmallRng::seed_from_u64(seed);
    let (mut used, mut tasks, mut skipped) = (Resources::ZERO, 0, 0);
    loop {
        let request = next_request(&mut random);
        if !used
            .saturating_add(&request.resources)
            .fits_in(&fleet.total())
        {
            skipped += 1;
            if skipped > SKIPPED_MAX {
                break;
            }
            continue;
        }
        let chosen = policy.place(&fleet, &request);
        let Some(worker) = chosen.first() else { break };
        fleet.charge(worker, &format_smolstr!("t{tasks}"), request.resources);
        used = used.saturating_add(&request.resources);
        tasks += 1;
    }
    packing_of(&fleet.total(), &used)
}

/// Packs the longest prefix of the same jobs that a best fit can place when it knows all of them
/// and places the largest first.
fn hindsight(workers: usize, seed: u64) -> Packing {
    let total = fleet(workers).total();
    let mut random = SmallRng::seed_from_u64(seed);
    let mut requests: Vec<PlacementRequest> = Vec::new();
    let (mut sum, mut skipped) = (Resources::ZERO, 0);
    while skipped <= SKIPPED_MAX {
        let request = next_request(&mut random);
        let sum_with_request = sum.saturating_add(&request.resources);
        if !sum_with_request.fits_in(&total) {
            skipped += 1;
            continue;
        }
        sum = sum_with_request;
        requests.push(request);
    }
    let (mut packs, mut fails) = (0, requests.len() + 1);
    while fails - packs > (requests.len() / 500).max(1) {
        let middle = (packs + fails) / 2;
        if packs_all(workers, &requests[..middle], &total) {
            packs = middle;
        } else {
            fails = middle;
        }
    }
    let used = requests[..packs]
        .iter()
        .fold(Resources::ZERO, |sum, request| {
            sum.saturating_add(&request.resources)
        });
    packing_of(&total, &used)
}

fn packs_all(workers: usize, requests: &[PlacementRequest], total: &Resources) -> bool {
    let mut fleet = fleet(workers);
    let mut requests: Vec<&PlacementRequest> = requests.iter().collect();
    let share = |request: &PlacementRequest| {
        let processor =
            request.resources.processor_millicores as f64 / total.processor_millicores as f64;
        let memory = request.resources.memory_mib as f64 / total.memory_mib as f64;
        let accelerators =
            f64::from(request.resources.accelerators) / f64::from(total.accelerators.max(1));
        processor.max(memory).max(accelerators)
    };
    requests.sort_by(|left, right| {
        let key = |request: &PlacementRequest| (request.resources.accelerators, share(request));
        key(right)
            .partial_cmp(&key(left))
            .expect("shares are numbers")
    });
    let mut policy = Pack;
    requests.iter().enumerate().all(|(number, request)| {
        let request = PlacementRequest {
            kind: JobKind::Batch,
            ..(*request).clone()
        };
        let chosen: Vec<WorkerId> = policy.place(&fleet, &request);
        let Some(worker) = chosen.first() else {
            return false;
        };
        fleet.charge(worker, &format_smolstr!("t{number}"), request.resources);
        true
    })
}

/// Prints how the median grows with the number of workers, as an exponent.
fn print_slopes(measurements: &[(usize, usize, Measurement)]) {
    for policy_number in [0, 1, 2] {
        let median_us = |workers| {
            let found = measurements
                .iter()
                .find(|(size, policy, _)| *size == workers && *policy == policy_number);
            found.map_or(1.0, |(_, _, measurement)| measurement.p50_us.max(0.001))
        };
        let (least, most) = (FLEET_SIZES[0], FLEET_SIZES[FLEET_SIZES.len() - 1]);
        let slope = (median_us(most) / median_us(least)).ln() / (most as f64 / least as f64).ln();
        let name = policy(policy_number).name();
        println!("{name}: median grows with workers^{slope:.2} from {least} to {most}");
        println!("{}", json!({"policy": name, "slope_exponent": slope}));
    }
}

/// Prints how the resident set grows with the workers and with ten charged tasks on each.
fn print_memory_use() {
    let (before, workers) = (resident_bytes(), FLEET_SIZES[FLEET_SIZES.len() - 1]);
    let mut fleet = fleet(workers);
    let empty = resident_bytes();
    let ids: Vec<WorkerId> = fleet.workers().map(|worker| worker.id.clone()).collect();
    for task in 0..workers * 10 {
        let amount = Resources::new(100, 100, 0);
        fleet.charge(
            &ids[task % workers],
            &format_smolstr!("job{task:08}-0"),
            amount,
        );
    }
    let full = resident_bytes();
    let per = |bytes: u64, count: usize| bytes as f64 / count as f64;
    let (worker, task) = (
        per(empty - before, workers),
        per(full - empty, workers * 10),
    );
    println!("state: {worker:.0} bytes per worker, {task:.0} bytes per charged task");
    println!(
        "{}",
        json!({"bytes_per_worker": worker, "bytes_per_task": task})
    );
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
