//! The configuration of a simulated cell and its load.

use std::time::Duration;

use jackdawchute_scheduler::{AdviceCost, JobGraph, QueuePolicy, Settings, StepSpec};
use jackdawchute_types::Resources;
use rand::{rngs::StdRng, Rng};
use smol_str::SmolStr;

use super::ProcessorPlan;

/// The service of all simulated workers and queues.
const SERVICE: &str = "service";

/// The workers and instances of a cell.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The number of workers.
    pub workers: usize,
    /// The resources of each worker.
    pub capacity: Resources,
    /// The number of instances, each with an advisor that answers one request at a time.
    pub advisors: usize,
    /// Factors on the run time of tasks, assigned to the workers in turn.
    pub slowness: Vec<f64>,
}

/// The jobs of one queue.
#[derive(Clone, Debug)]
pub struct KindPlan {
    /// The policy of the queue.
    pub queue: QueuePolicy,
    /// The mean number of jobs per second, outside bursts.
    pub rate_per_s: f64,
    /// The mean and the maximum number of tasks of a step.
    pub tasks: (f64, u32),
    /// The mean number of steps of a job, from 1 to 2.
    pub steps: f64,
    /// The mean run time of a task; that of a step is uniform between 0.5 and 1.5 times this.
    pub run_time: Duration,
    /// The maximum error of a task's declared run time, as a share of the true one.
    pub estimate_error: f64,
    /// The mean resources of a task.
    pub resources: Resources,
    /// The maximum deviation of a job's tasks from the mean resources, as a share of them.
    pub resources_spread: f64,
    /// The share of jobs whose steps are gangs.
    pub gang_share: f64,
    /// The share of workers that an advisor allows for a step.
    pub allowed_share: f64,
    /// The worth of a job of average size, if completed on time and if late.
    pub worth: (f64, f64),
}

/// A period with a higher rate of jobs of one kind.
#[derive(Clone, Debug)]
pub struct Burst {
    /// The name of the kind's queue.
    pub queue: SmolStr,
    /// When the burst begins, since the arrival of jobs began.
    pub start: Duration,
    /// The length of the burst.
    pub duration: Duration,
    /// The factor on the kind's rate during the burst.
    pub factor: f64,
}

/// A simulated cell and its load.
#[derive(Clone, Debug)]
pub struct ModelPlan {
    /// The seed of all random choices.
    pub seed: u64,
    /// The workers and advisors of the cell.
    pub fleet: FleetPlan,
    /// The kinds of jobs, each with arrivals of its own.
    pub kinds: Vec<KindPlan>,
    /// The bursts; of two of one kind at once, the first applies.
    pub bursts: Vec<Burst>,
    /// How long jobs arrive; as long again is simulated for them to complete.
    pub duration: Duration,
    /// The processor of the leader; `None` for one that takes no time.
    pub processor: Option<ProcessorPlan>,
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
    /// Returns Micdejun's cell today: 48 workers of 16 cores, and a load of four fifths of their
    /// processors.
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
            duration: Duration::from_secs(34),
            processor: None,
        }
    }

    /// Returns Micdejun's cell after its growth: 350 workers of 16 cores.
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

    /// Returns the repair desk's cell after its growth, on a day of high load: 350 workers of 32
    /// cores, a third of them slow, and a load of nearly all of their processors.
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
                    resources_spread: 0.6,
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

    /// Multiplies the workers, the advisors and the load by `factor`.
    ///
    /// ```
    /// use jackdawchute_standins::load_model::ModelPlan;
    ///
    /// assert_eq!(ModelPlan::today(1).scaled(2.0).fleet.workers, 96);
    /// ```
    #[must_use]
    pub fn scaled(mut self, factor: f64) -> Self {
        let scale = |count: usize| (count as f64 * factor).round() as usize;
        self.fleet.workers = scale(self.fleet.workers);
        self.fleet.advisors = scale(self.fleet.advisors);
        for kind in &mut self.kinds {
            kind.rate_per_s *= factor;
        }
        self
    }

    /// Adds a burst of the most urgent kind, and one of the gangs.
    #[must_use]
    pub fn with_bursts(mut self) -> Self {
        let burst = |queue: &str, start_s, factor| Burst {
            queue: queue.into(),
            start: Duration::from_secs(start_s),
            duration: Duration::from_secs(4),
            factor,
        };
        self.bursts = vec![burst("checks", 8, 2.0), burst("forecasts", 17, 1.6)];
        self
    }

    /// Adds a burst of each kind and one tenth to all rates: more load than the cell can serve.
    #[must_use]
    pub fn overloaded(mut self) -> Self {
        self = self.with_bursts();
        for kind in &mut self.kinds {
            kind.rate_per_s *= 1.1;
        }
        self.bursts.push(Burst {
            queue: "orders".into(),
            start: Duration::from_secs(4),
            duration: Duration::from_secs(5),
            factor: 2.1,
        });
        self
    }

    /// Gives the leader a processor that the load nearly saturates, and adds a burst of the most
    /// urgent kind that exceeds it.
    ///
    /// ```
    /// use jackdawchute_standins::load_model::ModelPlan;
    ///
    /// assert!(ModelPlan::repair_desk(1).with_saturating_burst().processor.is_some());
    /// ```
    #[must_use]
    pub fn with_saturating_burst(mut self) -> Self {
        self.processor = Some(ProcessorPlan {
            call: Duration::from_micros(430),
            listed_end: Duration::from_micros(15),
            round_per_worker: Duration::from_micros(8),
            starts_under_way_max: 96,
        });
        self.bursts = vec![Burst {
            queue: "checks".into(),
            start: Duration::from_secs(6),
            duration: Duration::from_secs(4),
            factor: 2.0,
        }];
        self
    }

    /// Returns the settings of the scheduler.
    pub(super) fn settings(&self) -> Settings {
        let defaults = Settings::default();
        let starts_under_way_max = self
            .processor
            .map_or(defaults.starts_under_way_max, |it| it.starts_under_way_max);
        Settings {
            starts_under_way_max,
            ..defaults
        }
    }

    /// Returns the factor on a kind's rate at a time since the arrival of jobs began.
    pub(super) fn factor(&self, kind: &KindPlan, at: Duration) -> f64 {
        let active = |burst: &&Burst| {
            burst.queue == kind.queue.queue
                && at >= burst.start
                && at < burst.start + burst.duration
        };
        self.bursts.iter().find(active).map_or(1.0, |it| it.factor)
    }
}

/// The values of a kind that differ between cells.
struct KindSize {
    rate_per_s: f64,
    /// The mean number of tasks of a step; the maximum is six times this.
    tasks_mean: f64,
    resources: Resources,
    /// The duration of an advice request, fixed and for each worker that it names.
    advice_ms: (f64, f64),
    worth: f64,
}

/// Returns gangs that run for seconds: weekly forecasts.
fn forecasts(size: KindSize) -> KindPlan {
    KindPlan {
        queue: queue("forecasts", 1, (2.2, 1_000), size.advice_ms),
        rate_per_s: size.rate_per_s,
        tasks: (size.tasks_mean, (size.tasks_mean * 6.0) as u32),
        steps: 1.2,
        run_time: ms(4_000),
        estimate_error: 0.3,
        resources: size.resources,
        resources_spread: 0.45,
        gang_share: 1.0,
        allowed_share: 0.35,
        worth: (size.worth, size.worth / 5.0),
    }
}

/// Returns many single tasks with inaccurate estimates: orders of suppliers.
fn orders(size: KindSize) -> KindPlan {
    KindPlan {
        queue: queue("orders", 2, (4.0, 3_000), size.advice_ms),
        steps: 1.5,
        run_time: ms(2_700),
        estimate_error: 0.7,
        gang_share: 0.0,
        allowed_share: 0.45,
        ..forecasts(size)
    }
}

/// Returns small, urgent jobs: checks before dawn.
fn checks(size: KindSize) -> KindPlan {
    KindPlan {
        queue: queue("checks", 0, (1.5, 300), size.advice_ms),
        steps: 1.0,
        run_time: ms(1_000),
        estimate_error: 0.2,
        gang_share: 0.3,
        allowed_share: 0.7,
        ..forecasts(size)
    }
}

/// A job with its properties that the scheduler does not know.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) graph: JobGraph,
    /// The true run time of a task of each step, on a worker with a slowness of 1.
    pub(super) run_times: Vec<Duration>,
    /// The worth of the job if completed on time and if late; it grows with the job's work.
    pub(super) worth: (f64, f64),
}

impl Arrival {
    /// Draws a job of a kind at random.
    pub(super) fn draw(kind: &KindPlan, random: &mut StdRng) -> Self {
        let steps = 1 + u32::from(random.random::<f64>() < kind.steps - 1.0);
        let spread = kind.resources_spread;
        let size = random.random_range(1.0 - spread..1.0 + spread);
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
            let exponential = -(1.0 - random.random::<f64>()).ln();
            let tasks = ((mean * (0.3 + 0.7 * exponential)).round() as u32).clamp(1, max);
            let run_time = kind.run_time.mul_f64(random.random_range(0.5..1.5));
            let error = 1.0 + kind.estimate_error * random.random_range(-1.0..1.0);
            core_seconds +=
                f64::from(tasks) * run_time.as_secs_f64() * resources.processor_millicores as f64
                    / 1_000.0;
            run_times.push(run_time);
            specs.push(StepSpec {
                tasks,
                resources,
                estimate: run_time.mul_f64(error),
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

    /// Returns the time within which the job must complete to be on time.
    ///
    /// That is the run time of its steps, each with one advice request about 30 workers, multiplied
    /// by the queue's stretch, plus the queue's target.
    pub(super) fn objective(&self, queue: &QueuePolicy) -> Duration {
        let advice = queue
            .advice
            .map_or(Duration::ZERO, |cost| cost.duration(30));
        let chain: Duration = self.run_times.iter().map(|it| *it + advice).sum();
        chain.mul_f64(queue.stretch) + queue.target
    }
}
