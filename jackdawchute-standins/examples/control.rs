//! Measures the control overhead of idle entry instances, at several sizes of the cell.
//!
//! `cargo build --release && cargo run --release -p jackdawchute-standins --example control --
//! target/release/jackdawchute 20` prints, for each size, the mean over the instances of processor
//! time, resident memory, bytes on all connections, and calls to the table. Bytes need the system's
//! `ss`; without it, `-` is printed.

use std::{collections::BTreeMap, path::PathBuf, process::Command, time::Duration};

use jackdawchute_standins::harness::{Cell, CellOptions, ServicePlan, Timing, WorkerPlan};
use jackdawchute_types::Resources;

/// The number of entry instances of each cell.
const INSTANCES: usize = 6;
/// How long the cell runs before it is measured.
const WARM_UP: Duration = Duration::from_secs(12);
/// Clock ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// The size of a memory page, the unit of `/proc/ID/statm`.
const PAGE_BYTES: f64 = 4_096.0;

/// The numbers of workers and minions of each cell.
const SIZES: [(usize, usize); 4] = [(0, 50), (24, 50), (48, 50), (96, 50)];

/// The resources that an instance has used so far.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    processor_seconds: f64,
    resident_bytes: f64,
    /// Bytes sent and received; `None` without `ss`.
    network_bytes: Option<f64>,
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let program = arguments
        .next()
        .expect("the first argument is the path of the program");
    let seconds = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(20);
    println!(
        "{:>7} {:>7} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "workers", "minions", "cpu %", "MB", "B/s", "writes/s", "scans/s", "reads/s"
    );
    for (workers, minions) in SIZES {
        measure(PathBuf::from(&program), workers, minions, seconds).await;
    }
}

async fn measure(program: PathBuf, workers: usize, minions: usize, seconds: u64) {
    let cell = Cell::start(options(program, workers, minions))
        .await
        .expect("the cell starts");
    tokio::time::sleep(WARM_UP).await;
    let calls_before = calls(&cell).await;
    let before: Vec<Sample> = sample(&cell);
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after: Vec<Sample> = sample(&cell);
    let calls_after = calls(&cell).await;
    let period = seconds as f64;
    let mean = |value: &dyn Fn(&Sample, &Sample) -> f64| {
        let pairs = before.iter().zip(&after);
        pairs
            .map(|(before, after)| value(before, after))
            .sum::<f64>()
            / INSTANCES as f64
    };
    let processor =
        mean(&|before, after| (after.processor_seconds - before.processor_seconds) / period);
    let memory = mean(&|_, after| after.resident_bytes);
    let network = before
        .iter()
        .all(|sample| sample.network_bytes.is_some())
        .then(|| {
            mean(&|before, after| {
                let bytes = |sample: &Sample| sample.network_bytes.unwrap_or_default();
                (bytes(after) - bytes(before)) / period
            })
        });
    let rate = |name: &str| {
        let total = |calls: &BTreeMap<&str, u64>| calls.get(name).copied().unwrap_or(0) as f64;
        (total(&calls_after) - total(&calls_before)) / period / INSTANCES as f64
    };
    println!(
        "{workers:>7} {minions:>7} {:>8.2} {:>9.1} {:>9} {:>9.2} {:>9.2} {:>9.2}",
        processor * 100.0,
        memory / 1e6,
        network.map_or("-".to_owned(), |bytes| format!("{bytes:.0}")),
        rate("commit"),
        rate("scan"),
        rate("read"),
    );
}

fn options(program: PathBuf, workers: usize, minions: usize) -> CellOptions {
    let mut options = CellOptions::new(program);
    options.entries = INSTANCES;
    options.services = vec![ServicePlan {
        service: "repair-desk".into(),
        minions,
        slots: 8,
        connections: 64,
    }];
    options.workers = WorkerPlan {
        workers,
        workers_per_rack: 8,
        resources: Resources::new(32_000, 131_072, 2),
    };
    options.timing = Timing {
        renewal_interval: Duration::from_millis(1_000),
        lease: Duration::from_millis(4_000),
        takeover: Duration::from_millis(6_000),
        membership_poll: Duration::from_millis(1_000),
        configuration_poll: Duration::from_millis(2_000),
        configuration_confirm: Duration::from_millis(10_000),
    };
    options
}

/// Returns the calls to the table so far, by kind.
async fn calls(cell: &Cell) -> BTreeMap<&'static str, u64> {
    let counts = cell
        .table
        .counts()
        .await
        .expect("the table's task runs as long as its cell");
    let mut calls = BTreeMap::new();
    for count in counts.values() {
        *calls.entry("commit").or_default() += count.commits;
        *calls.entry("scan").or_default() += count.scans;
        *calls.entry("read").or_default() += count.reads;
    }
    calls
}

fn sample(cell: &Cell) -> Vec<Sample> {
    let network = network_bytes();
    let ids = cell.entries.iter().map(|entry| entry.process.id());
    ids.map(|id| Sample {
        processor_seconds: processor_seconds(id),
        resident_bytes: resident_bytes(id),
        network_bytes: network
            .as_ref()
            .map(|bytes| bytes.get(&id).copied().unwrap_or(0.0)),
    })
    .collect()
}

fn processor_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("the instance runs");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND
}

fn resident_bytes(id: u32) -> f64 {
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).expect("the instance runs");
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Returns the bytes sent and received so far on the open connections of each process; `None`
/// without `ss`.
fn network_bytes() -> Option<BTreeMap<u32, f64>> {
    let output = Command::new("ss").args(["-tinpH"]).output().ok()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let mut bytes = BTreeMap::new();
    let mut process = None;
    for line in text.lines() {
        if let Some(rest) = line.split("pid=").nth(1) {
            process = rest.split(',').next().and_then(|id| id.parse::<u32>().ok());
        }
        for word in line.split(' ') {
            let value = word
                .strip_prefix("bytes_sent:")
                .or(word.strip_prefix("bytes_received:"));
            if let (Some(id), Some(value)) =
                (process, value.and_then(|text| text.parse::<f64>().ok()))
            {
                *bytes.entry(id).or_insert(0.0) += value;
            }
        }
    }
    Some(bytes)
}
