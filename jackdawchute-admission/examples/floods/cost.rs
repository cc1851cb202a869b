//! The processor time of a decision, by queue length and number of teams.

use std::time::{Duration, Instant};

use jackdawchute_admission::{
    AdmissionPolicy, ClassLimits, FairShare, Fifo, Limits, StrictPriority, WorkItem, WorkItemId,
};
use jackdawchute_types::{ClassId, TeamId};
use serde_json::json;

const CLASSES: u64 = 3;
const DECISIONS: u64 = 200_000;
const CAPACITY_UNITS: u32 = 400;
const QUEUE_LENGTHS: [u64; 4] = [100, 1_000, 10_000, 100_000];
const TEAM_COUNTS: [u64; 2] = [1, 140];
const SERVICE_TIME: Duration = Duration::from_millis(50);

fn limits() -> Limits {
    let class = |index| {
        let limits = ClassLimits {
            priority: u32::try_from(index).unwrap_or(u32::MAX),
            queue_max: 1_000_000,
            floor_percent: 25,
            deadline: Duration::from_secs(3_600),
        };
        (class_id(index), limits)
    };
    Limits {
        classes: (0..CLASSES).map(class).collect(),
        ..Limits::default()
    }
}

fn class_id(index: u64) -> ClassId {
    smol_str::format_smolstr!("class-{index}")
}

fn ticket(id: WorkItemId, teams: &[TeamId], classes: &[ClassId], start: Instant) -> WorkItem {
    let arrived = start + Duration::from_micros(id);
    WorkItem {
        id,
        class: classes[(id % CLASSES) as usize].clone(),
        team: teams[(id / CLASSES) as usize % teams.len()].clone(),
        arrived,
        deadline: Some(arrived + Duration::from_secs(3_600)),
        cost: 1,
    }
}

/// The mean time of one offer, next and release together, with `queued` tickets waiting.
fn measure(mut policy: Box<dyn AdmissionPolicy>, queued: u64, team_count: u64) -> f64 {
    let start = Instant::now();
    let teams: Vec<TeamId> = (0..team_count)
        .map(|team| smol_str::format_smolstr!("team-{team}"))
        .collect();
    let classes: Vec<ClassId> = (0..CLASSES).map(class_id).collect();
    policy.set_limits(limits());
    policy.set_capacity(CAPACITY_UNITS);
    let mut id = 0;
    let mut running = std::collections::VecDeque::new();
    for _ in 0..queued + u64::from(CAPACITY_UNITS) {
        id += 1;
        let offered = policy.offer(ticket(id, &teams, &classes, start), start);
        offered.expect("the queue has room");
        running.extend(policy.next(start));
    }
    let begin = Instant::now();
    for _ in 0..DECISIONS {
        id += 1;
        let ticket = ticket(id, &teams, &classes, start);
        policy.offer(ticket, start).expect("the queue has room");
        let done = running.pop_front().expect("the capacity is in use");
        policy.release(&done, SERVICE_TIME);
        running.extend(policy.next(start));
    }
    begin.elapsed().as_nanos() as f64 / DECISIONS as f64
}

/// Prints the cost of each policy.
pub fn print_all() {
    println!("\ncost of a decision (offer, next and release), mean of {DECISIONS}");
    println!(
        "{:<16} {:>6} {:>9} {:>9}",
        "policy", "teams", "queued", "ns"
    );
    for name in ["fifo", "strict-priority", "fair-share"] {
        for teams in TEAM_COUNTS {
            for queued in QUEUE_LENGTHS {
                let policy: Box<dyn AdmissionPolicy> = match name {
                    "fifo" => Box::new(Fifo::default()),
                    "strict-priority" => Box::new(StrictPriority::default()),
                    _ => Box::new(FairShare::default()),
                };
                let ns = measure(policy, queued, teams);
                println!("{name:<16} {teams:>6} {queued:>9} {ns:>9.0}");
                let line = json!({"policy": name, "teams": teams, "queued": queued, "ns": ns});
                println!("{line}");
            }
        }
    }
}
