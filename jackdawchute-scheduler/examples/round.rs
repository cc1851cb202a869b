//! The cost of a scheduling round: 1,000 waiting jobs of 200 tenants on 7,000 workers.
//!
//! `cargo run --release -p jackdawchute-scheduler --example round`

use std::time::{Duration, Instant};

use jackdawchute_scheduler::{
    AdviceCost, AdvisorSlot, Advisors, Effect, EpochAuthority, JobGraph, QueuePolicy, RenewAnswer,
    RenewOrder, Scheduler, Settings, StartAnswer, StepSpec, WorkerEntry,
};
use jackdawchute_tenants::TenantPolicy;
use jackdawchute_types::Resources;
use smol_str::format_smolstr;

/// Enough that each step gets the advice that it asks for.
const ADVISORS: u16 = 1_000;
const WORKERS: u32 = 7_000;
const CORES_PER_WORKER: u64 = 32;
const TENANTS: u32 = 200;
const WAITING_JOBS: u32 = 1_000;
const ROUNDS: u32 = 50;
/// Rounds in which each step may run on each worker take far longer.
const ROUNDS_WITHOUT_ADVICE: u32 = 3;
/// Enough that the limit of starts under way does not matter.
const STARTS_UNDER_WAY_MAX: usize = 1_000_000;

/// A scheduler whose clock is advanced by hand.
struct Cell {
    scheduler: Scheduler,
    now: Instant,
    began_at: Instant,
}

impl Cell {
    fn new() -> Self {
        let now = Instant::now();
        let settings = Settings {
            starts_under_way_max: STARTS_UNDER_WAY_MAX,
            ..Settings::default()
        };
        let mut scheduler = Scheduler::new(settings, 1, now);
        let workers = (0..WORKERS).map(entry).collect();
        scheduler.workers_listed(workers, now);
        Self {
            scheduler,
            now,
            began_at: now,
        }
    }

    /// Advances the clock and answers what the scheduler sends.
    fn tick(&mut self) {
        self.now += Duration::from_millis(1);
        let authority = EpochAuthority {
            may_act: true,
            confirmed_at: self.now,
            earlier_until: self.began_at,
        };
        self.scheduler.set_authority(authority);
        let unix = Duration::from_secs(1_000_000) + (self.now - self.began_at);
        self.scheduler.tick(self.now, unix);
    }

    /// Answers orders and renewals, and commits.
    fn answer_effects(&mut self) {
        let clock = Duration::from_secs(10) + (self.now - self.began_at);
        for effect in self.scheduler.take_effects() {
            match effect {
                Effect::Renew(order) => self.answer_renewal(&order, clock),
                Effect::Start(order) => {
                    let answer = StartAnswer::Started { clock };
                    self.scheduler.start_answered(
                        &order.worker,
                        &order.task,
                        order.run,
                        answer,
                        self.now,
                    );
                }
                _ => {}
            }
        }
        while let Some(batch) = self.scheduler.take_batch(97, 1_000_000, 1) {
            self.scheduler.committed(&batch, self.now);
        }
    }

    fn answer_renewal(&mut self, order: &RenewOrder, clock: Duration) {
        let answer = RenewAnswer {
            started_unix_ms: 1,
            clock,
            running: Vec::new(),
            ended: Vec::new(),
            ends_left_out: 0,
            ended_complete: true,
        };
        self.scheduler
            .renew_answered(order, self.now, answer, self.now);
    }

    fn submit(&mut self, job: &str, tenant: u32, tasks: u32, cores: u64, advised: bool) {
        let step = StepSpec {
            tasks,
            resources: Resources::new(cores * 1_000, cores * 1_000, 0),
            estimate: Duration::from_secs(1_000),
            ..StepSpec::default()
        };
        let graph = JobGraph {
            steps: vec![step],
            ..JobGraph::default()
        };
        let tenant = Some(format_smolstr!("tenant-{tenant}"));
        self.scheduler
            .submit_for(tenant, &job.into(), graph, queue(advised), self.now);
    }

    /// Fills all but one in `gaps` of the slots of eight cores.
    fn fill(&mut self, gaps: u32) {
        let slots = WORKERS * (CORES_PER_WORKER / 8) as u32;
        let tasks = (slots - slots.checked_div(gaps).unwrap_or(0)) / TENANTS;
        for tenant in 0..TENANTS {
            self.submit(&format!("filling-{tenant}"), tenant, tasks, 8, false);
        }
        for _ in 0..3 {
            self.answer_effects();
            self.tick();
            self.scheduler.run_round(advisors(self.now), self.now);
        }
        self.answer_effects();
    }

    fn measure(&mut self, rounds: u32) -> (Duration, Duration) {
        let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
        for _ in 0..rounds {
            self.tick();
            let began_at = Instant::now();
            self.scheduler.run_round(advisors(self.now), self.now);
            let took = began_at.elapsed();
            total += took;
            longest = longest.max(took);
            self.scheduler.take_effects();
        }
        (total / rounds, longest)
    }
}

/// Advisors that are all idle.
fn advisors(now: Instant) -> Advisors {
    let slots = (0..ADVISORS).map(|port| AdvisorSlot {
        advisor: ([127, 0, 0, 1], port).into(),
        free_at: now,
    });
    Advisors::new(slots.collect(), 0, Duration::ZERO, Duration::ZERO)
}

fn entry(number: u32) -> WorkerEntry {
    WorkerEntry {
        worker: format_smolstr!("worker-{number:05}"),
        address: ([127, 0, 0, 1], 80).into(),
        service: "service".into(),
        failure_domain: "a".into(),
        rack: Some(format_smolstr!("rack-{}", number / 20)),
        labels: vec!["a".into()],
        capacity: Resources::new(CORES_PER_WORKER * 1_000, 128_000, 0),
        leaving_in: None,
        started_unix_ms: 1,
    }
}

fn queue(advised: bool) -> QueuePolicy {
    let advice = AdviceCost {
        fixed_ms: 10.0,
        per_worker_ms: 0.5,
        valid: Duration::from_millis(2_500),
    };
    QueuePolicy {
        queue: if advised { "advised" } else { "plain" }.into(),
        service: "service".into(),
        priority: 1,
        attempts_max: 3,
        stretch: 2.0,
        target: Duration::from_secs(100_000),
        advice: advised.then_some(advice),
    }
}

fn policies() -> Vec<TenantPolicy> {
    let policy = |number: u32| TenantPolicy {
        tenant: format_smolstr!("tenant-{number}"),
        weight: 20.0 / f64::from(number + 1).powf(1.2),
        cap: Resources::new(4_000_000, 0, 0),
    };
    (0..TENANTS).map(policy).collect()
}

fn main() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    println!("| tenants | cell | advice | mean ms | longest ms |");
    println!("|---|---|---|---|---|");
    for with_tenants in [false, true] {
        for (cell_is, gaps) in [("full", 0), ("a twentieth free", 20)] {
            for advised in [false, true] {
                let mut cell = Cell::new();
                for _ in 0..WORKERS.div_ceil(300) {
                    cell.tick();
                    cell.answer_effects();
                }
                cell.scheduler.use_tenants(with_tenants.then(policies));
                cell.fill(gaps);
                for number in 0..WAITING_JOBS {
                    let tenant = number % TENANTS;
                    cell.submit(&format!("waiting-{number}"), tenant, 3, 16, advised);
                }
                cell.answer_effects();
                let rounds = if advised {
                    ROUNDS
                } else {
                    ROUNDS_WITHOUT_ADVICE
                };
                let (mean, longest) = cell.measure(rounds);
                let tenants = if with_tenants { TENANTS } else { 0 };
                println!(
                    "| {tenants} | {cell_is} | {advised} | {:.2} | {:.2} |",
                    mean.as_secs_f64() * 1_000.0,
                    longest.as_secs_f64() * 1_000.0
                );
            }
        }
    }
}
