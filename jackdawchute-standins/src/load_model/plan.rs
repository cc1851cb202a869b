//! What a simulated cell is made of, and the load it gets.

use std::time::Duration;

use jackdawchute_scheduler::{AdviceCost, JobGraph, QueuePolicy, StepSpec};
use jackdawchute_types::Resources;
use rand::{rngs::StdRng, Rng};
use smol_str::SmolStr;

/// The service of every simulated worker and queue.
const SERVICE: &str = "service";

/// The workers and instances of a cell.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The number of workers.
    pub workers: usize,
    /// What each has.
    pub capacity: Resources,
    /// Instances, each with an advisor that answers one question at a time.
    pub advisors: usize,
    /// How much longer tasks take on a worker, by turns.
    pub slowness: Vec<f64>,
}

/// One kind of job.
#[derive(Clone, Debug)]
pub struct KindPlan {
    /// How its queue is treated.
    pub queue: QueuePolicy,
    /// Jobs a second.
    pub rate_per_s: f64,
    /// Tasks of a step, on average and at most.
    pub tasks: (f64, u32),
    /// Steps of a job, on average.
    pub steps: f64,
    /// The run time of a task on average, and how far a job's lies from it.
    pub run_time: Duration,
    /// How far a task's declared time may be off, as a share of it.
    pub estimate_off: f64,
    /// What a task needs on average.
    pub resources: Resources,
    /// How far a job's tasks may lie from that, as a share of it.
    pub resources_off: f64,
    /// The share of jobs whose tasks only work together.
    pub gang_share: f64,
    /// The share of workers that an advisor allows for a step.
    pub allowed_share: f64,
    /// What a job of average size is worth on time, and late.
    pub worth: (f64, f64),
}

/// A time of more jobs of one kind.
#[derive(Clone, Debug)]
pub struct Burst {
    /// The kind's queue.
    pub queue: SmolStr,
    /// When it begins.
    pub from: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The factor on the kind's rate.
    pub factor: f64,
}

/// A load on a cell.
#[derive(Clone, Debug)]
pub struct ModelPlan {
    /// The seed of all that is random.
    pub seed: u64,
    /// The cell.
    pub fleet: FleetPlan,
    /// The kinds of jobs.
    pub kinds: Vec<KindPlan>,
    /// The bursts.
    pub bursts: Vec<Burst>,
    /// How long jobs arrive.
    pub lasts: Duration,
}

fn ms(duration_ms: u64) -> Duration {
    Duration::from_millis(duration_ms)
}

fn queue(name: &str, priority: u32, objective: (f64, u64), advice: (f64, f64)) -> QueuePolicy {
    QueuePolicy {
        queue: name.into(),
        service: SERVICE.into(),
        priority,
        attempts_max: 4,
        stretch: objective.0,
        target: ms(objective.1),
        advice: Some(AdviceCost {
            fixed_ms: advice.0,
            per_worker_ms: advice.1,
            valid: ms(2_000),
        }),
    }
}

impl ModelPlan {
    /// Micdejun as it runs today: 48 workers of 16 cores, a load of four fifths of them.
    pub fn today(seed: u64) -> Self {
        Self {
            seed,
            fleet: FleetPlan {
                workers: 48,
                capacity: Resources::new(16_000, 32_768, 0),
                advisors: 7,
                slowness: vec![0.8, 1.0, 1.25],
            },
            kinds: vec![
                forecasts(KindSize {
                    rate_per_s: 1.84,
                    tasks_mean: 8.0,
                    resources: Resources::new(4_500, 6_400, 0),
                    advice_ms: (360.0, 5.1),
                    worth: 8.85,
                }),
                orders(KindSize {
                    rate_per_s: 5.42,
                    tasks_mean: 10.0,
                    resources: Resources::new(980, 1_800, 0),
                    advice_ms: (58.0, 0.82),
                    worth: 1.87,
                }),
                checks(KindSize {
                    rate_per_s: 30.8,
                    tasks_mean: 2.0,
                    resources: Resources::new(1_400, 2_800, 0),
                    advice_ms: (8.7, 0.12),
                    worth: 0.462,
                }),
            ],
            bursts: Vec::new(),
            lasts: Duration::from_secs(34),
        }
    }

    /// Micdejun after its growth: 350 workers of 16 cores.
    pub fn grown(seed: u64) -> Self {
        Self {
            fleet: FleetPlan {
                workers: 350,
                advisors: 35,
                slowness: vec![1.0],
                ..Self::today(seed).fleet
            },
            kinds: vec![
                forecasts(KindSize {
                    rate_per_s: 5.4,
                    tasks_mean: 20.0,
                    resources: Resources::new(4_500, 6_300, 0),
                    advice_ms: (455.0, 6.5),
                    worth: 7.19,
                }),
                orders(KindSize {
                    rate_per_s: 9.0,
                    tasks_mean: 25.0,
                    resources: Resources::new(1_700, 3_200, 0),
                    advice_ms: (130.0, 1.82),
                    worth: 2.69,
                }),
                checks(KindSize {
                    rate_per_s: 80.3,
                    tasks_mean: 3.2,
                    resources: Resources::new(2_500, 3_600, 0),
                    advice_ms: (14.3, 0.208),
                    worth: 0.421,
                }),
            ],
            ..Self::today(seed)
        }
    }

    /// The repair desk after its growth, on a day of high load: 350 workers of 32 cores, a third of
    /// them slow, and work for nearly all of their processors.
    pub fn repair_desk(seed: u64) -> Self {
        Self {
            fleet: FleetPlan {
                workers: 350,
                capacity: Resources::new(32_000, 131_072, 0),
                advisors: 44,
                slowness: vec![1.0, 1.0, 1.3],
            },
            kinds: vec![
                KindPlan {
                    resources_off: 0.6,
                    ..forecasts(KindSize {
                        rate_per_s: 5.96,
                        tasks_mean: 20.0,
                        resources: Resources::new(9_000, 26_000, 0),
                        advice_ms: (442.0, 6.37),
                        worth: 7.12,
                    })
                },
                orders(KindSize {
                    rate_per_s: 9.86,
                    tasks_mean: 25.0,
                    resources: Resources::new(3_500, 13_000, 0),
                    advice_ms: (130.0, 1.82),
                    worth: 2.69,
                }),
                checks(KindSize {
                    rate_per_s: 88.3,
                    tasks_mean: 3.2,
                    resources: Resources::new(5_000, 10_000, 0),
                    advice_ms: (14.3, 0.208),
                    worth: 0.421,
                }),
            ],
            ..Self::today(seed)
        }
    }

    /// The same cell so many times as large, with so many times the load.
    ///
    /// ```
    /// use jackdawchute_standins::load_model::ModelPlan;
    ///
    /// assert_eq!(ModelPlan::today(1).times(2.0).fleet.workers, 96);
    /// ```
    #[must_use]
    pub fn times(mut self, factor: f64) -> Self {
        let times = |count: usize| (count as f64 * factor).round() as usize;
        self.fleet.workers = times(self.fleet.workers);
        self.fleet.advisors = times(self.fleet.advisors);
        for kind in &mut self.kinds {
            kind.rate_per_s *= factor;
        }
        self
    }

    /// The same with a burst of the most urgent kind and one of the gangs.
    #[must_use]
    pub fn with_bursts(mut self) -> Self {
        let burst = |queue: &str, from_s, factor| Burst {
            queue: queue.into(),
            from: Duration::from_secs(from_s),
            lasts: Duration::from_secs(4),
            factor,
        };
        self.bursts = vec![burst("checks", 8, 2.0), burst("forecasts", 17, 1.6)];
        self
    }

    /// The same with a burst of each kind, and one tenth more of all: more than the cell can take.
    #[must_use]
    pub fn overloaded(mut self) -> Self {
        self = self.with_bursts();
        for kind in &mut self.kinds {
            kind.rate_per_s *= 1.1;
        }
        self.bursts.push(Burst {
            queue: "orders".into(),
            from: Duration::from_secs(4),
            lasts: Duration::from_secs(5),
            factor: 2.1,
        });
        self
    }

    /// The factor on a kind's rate at a time.
    pub(super) fn factor(&self, kind: &KindPlan, at: Duration) -> f64 {
        let active = |burst: &&Burst| {
            burst.queue == kind.queue.queue && at >= burst.from && at < burst.from + burst.lasts
        };
        self.bursts.iter().find(active).map_or(1.0, |it| it.factor)
    }
}

/// What differs between the cells of a user, of one kind.
struct KindSize {
    rate_per_s: f64,
    /// Tasks of a step, on average; at most six times as many.
    tasks_mean: f64,
    resources: Resources,
    /// The time of a question, and of each worker that it names.
    advice_ms: (f64, f64),
    worth: f64,
}

/// Gangs that take seconds: weekly forecasts.
fn forecasts(size: KindSize) -> KindPlan {
    KindPlan {
        queue: queue("forecasts", 1, (2.2, 1_000), size.advice_ms),
        rate_per_s: size.rate_per_s,
        tasks: (size.tasks_mean, (size.tasks_mean * 6.0) as u32),
        steps: 1.2,
        run_time: ms(4_000),
        estimate_off: 0.3,
        resources: size.resources,
        resources_off: 0.45,
        gang_share: 1.0,
        allowed_share: 0.35,
        worth: (size.worth, size.worth / 5.0),
    }
}

/// Many single tasks that are declared badly: orders of suppliers.
fn orders(size: KindSize) -> KindPlan {
    KindPlan {
        queue: queue("orders", 2, (4.0, 3_000), size.advice_ms),
        steps: 1.5,
        run_time: ms(2_700),
        estimate_off: 0.7,
        gang_share: 0.0,
        allowed_share: 0.45,
        ..forecasts(size)
    }
}

/// Small and urgent: checks before dawn.
fn checks(size: KindSize) -> KindPlan {
    KindPlan {
        queue: queue("checks", 0, (1.5, 300), size.advice_ms),
        steps: 1.0,
        run_time: ms(1_000),
        estimate_off: 0.2,
        gang_share: 0.3,
        allowed_share: 0.7,
        ..forecasts(size)
    }
}

/// A job and what only the simulation knows of it.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) graph: JobGraph,
    /// The true run time of a task of each step on a sound worker.
    pub(super) run_times: Vec<Duration>,
    pub(super) worth: (f64, f64),
}

impl Arrival {
    pub(super) fn draw(kind: &KindPlan, random: &mut StdRng) -> Self {
        let steps = 1 + u32::from(random.random::<f64>() < kind.steps - 1.0);
        let off = kind.resources_off;
        let size = random.random_range(1.0 - off..1.0 + off);
        let resources = Resources::new(
            (kind.resources.processor_millicores as f64 * size) as u64,
            (kind.resources.memory_mib as f64 * size) as u64,
            0,
        );
        let gang = random.random::<f64>() < kind.gang_share;
        let mut specs = Vec::new();
        let mut run_times = Vec::new();
        let mut core_seconds = 0.0;
        for step in 0..steps {
            let (mean, max) = kind.tasks;
            let spread = -(1.0 - random.random::<f64>()).ln();
            let tasks = ((mean * (0.3 + 0.7 * spread)).round() as u32).clamp(1, max);
            let run_time = kind.run_time.mul_f64(random.random_range(0.5..1.5));
            let off = 1.0 + kind.estimate_off * random.random_range(-1.0..1.0);
            core_seconds +=
                f64::from(tasks) * run_time.as_secs_f64() * resources.processor_millicores as f64
                    / 1_000.0;
            run_times.push(run_time);
            specs.push(StepSpec {
                tasks,
                resources,
                estimate: run_time.mul_f64(off),
                after: step.checked_sub(1).into_iter().collect(),
                gang,
                ..StepSpec::default()
            });
        }
        let mean_core_seconds = kind.steps
            * kind.tasks.0
            * kind.run_time.as_secs_f64()
            * kind.resources.processor_millicores as f64
            / 1_000.0;
        let factor = (0.3 + 0.7 * core_seconds / mean_core_seconds).min(4.0);
        Self {
            graph: JobGraph {
                payload: "payload".into(),
                steps: specs,
                repeat: None,
            },
            run_times,
            worth: (kind.worth.0 * factor, kind.worth.1 * factor),
        }
    }

    /// The time within which its end counts as on time: the stretched chain of its work, with one
    /// question about 30 workers a step, and the queue's target.
    pub(super) fn objective(&self, queue: &QueuePolicy) -> Duration {
        let question = queue
            .advice
            .map_or(Duration::ZERO, |cost| cost.duration(30));
        let chain: Duration = self.run_times.iter().map(|it| *it + question).sum();
        chain.mul_f64(queue.stretch) + queue.target
    }
}
