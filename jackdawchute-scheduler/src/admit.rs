//! The admission of jobs at their arrival, which handles load above the cell's capacity.
//!
//! A job that cannot end in time must not delay others, so it is deferred: it gets only the
//! capacity that they leave. One that would not even end while its result is of use is refused at
//! once, with the time after which the backlog allows it. So is one that no listed worker could run
//! even if it ran nothing else, for example because none has the label that a step requires.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_types::{Label, Resources, ServiceId};
use rustc_hash::FxHashMap;

use crate::{
    free_capacity::tasks_fitting,
    job::{Job, JobPhase},
    rank::{MOST_URGENT, USEFUL_FACTOR},
    Scheduler, StepSpec, WorkerEntry,
};

/// The highest number of jobs that wait or run at a time; it limits the memory of an instance.
const JOBS_MAX: usize = 5_000;
/// The share of the cell's processors that can be in use; the rest is in gaps that no task fits.
const USABLE_SHARE: f64 = 0.88;
/// The lowest share of the usable processors that less urgent queues are assumed to get.
const LESS_URGENT_SHARE_MIN: f64 = 0.3;
/// The highest share that an admitted job is expected to take of the time for which its result is
/// of use; the rest allows for wrong estimates.
const USEFUL_SHARE_MAX: f64 = 0.8;
/// The longest time after which a refused caller may submit again.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);
/// The shortest time after which a refused caller may submit again.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

/// The decision on a job at its arrival.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Admission {
    /// The job is accepted, and can be on time.
    OnTime,
    /// The job is accepted, would be late, and gets only the capacity that others leave.
    Deferred {
        /// The time that the work ahead of the job is expected to take.
        expected: Duration,
    },
    /// The job is not accepted.
    Refused(Refusal),
}

/// The waiting work that a backlog includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CountedWork {
    /// The work that can still be on time.
    OnTime,
    /// The work that can be on time, and the work that is late already.
    All,
}

/// Why a job is refused, and when it may be submitted again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) reason: &'static str,
    /// How long the job would wait.
    pub(crate) expected: Duration,
    /// How long the caller should wait before it submits the job again.
    pub(crate) retry_after: Duration,
}

/// The capacity and the waiting work of each service, counted once for all jobs that arrive between
/// two scheduling rounds.
#[derive(Debug)]
pub(crate) struct ServiceLoads {
    counted_at: Instant,
    services: HashMap<ServiceId, ServiceLoad>,
}

/// The capacity and the waiting work of one service.
#[derive(Clone, Debug, Default)]
struct ServiceLoad {
    /// The processors of the listed workers that are not leaving, in thousandths of a core.
    millicores: u64,
    /// The part of `millicores` that tasks of the most urgent queue use.
    urgent_millicores: u64,
    /// The waiting work of the most urgent queue.
    urgent: WaitingWork,
    /// The waiting work of all other queues.
    less_urgent: WaitingWork,
    /// The kinds of workers, with the number of workers of each.
    worker_kinds: Arc<FxHashMap<WorkerKind, u32>>,
}

/// What decides which steps a worker can run when nothing else runs there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WorkerKind {
    labels: Vec<Label>,
    capacity: Resources,
}

impl WorkerKind {
    /// Returns how many tasks of a step fit on a worker of this kind when nothing else runs there.
    fn tasks_fitting(&self, spec: &StepSpec) -> u32 {
        let has_label = |label| self.labels.contains(label);
        if !spec.required_label.as_ref().is_none_or(has_label) {
            return 0;
        }
        tasks_fitting(&spec.charged_resources(), self.capacity)
            .min(spec.per_worker_max.unwrap_or(u32::MAX))
    }
}

/// Waiting work, in core-milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingWork {
    on_time: f64,
    late: f64,
}

impl ServiceLoad {
    fn add_worker(&mut self, entry: &WorkerEntry) {
        let kind = WorkerKind {
            labels: entry.labels.clone(),
            capacity: entry.capacity,
        };
        *Arc::make_mut(&mut self.worker_kinds)
            .entry(kind)
            .or_default() += 1;
    }

    fn add_waiting(&mut self, job: &Job, on_time: bool, core_ms: f64) {
        let waiting = if job.queue.priority == MOST_URGENT {
            &mut self.urgent
        } else {
            &mut self.less_urgent
        };
        if on_time {
            waiting.on_time += core_ms;
        } else {
            waiting.late += core_ms;
        }
    }

    /// Returns the processors that a job's tasks may use, in cores.
    fn usable_cores(&self, job: &Job) -> f64 {
        let cores = self.millicores as f64 / 1_000.0 * USABLE_SHARE;
        if job.queue.priority == MOST_URGENT {
            return cores;
        }
        let urgent_cores = self.urgent_millicores as f64 / 1_000.0;
        (cores - urgent_cores).max(cores * LESS_URGENT_SHARE_MIN)
    }

    /// Returns whether the workers could run each step of a job if they ran nothing else: a gang as
    /// a whole, single tasks one after the other.
    fn can_run(&self, job: &Job) -> bool {
        job.graph.steps.iter().all(|spec| self.can_run_step(spec))
    }

    fn can_run_step(&self, spec: &StepSpec) -> bool {
        let needed = spec.unit_size();
        let mut fitting: u32 = 0;
        self.worker_kinds.iter().any(|(kind, workers)| {
            fitting = fitting.saturating_add(kind.tasks_fitting(spec).saturating_mul(*workers));
            fitting >= needed
        })
    }

    /// Returns how long the work ahead of a job takes on `cores` cores: that of the most urgent
    /// queue and, for a job of another queue, that of all other queues too.
    fn backlog(&self, job: &Job, counted_work: CountedWork, cores: f64) -> Duration {
        let core_ms = |waiting: &WaitingWork| match counted_work {
            CountedWork::OnTime => waiting.on_time,
            CountedWork::All => waiting.on_time + waiting.late,
        };
        let mut core_ms_ahead = core_ms(&self.urgent);
        if job.queue.priority != MOST_URGENT {
            core_ms_ahead += core_ms(&self.less_urgent);
        }
        Duration::from_secs_f64(core_ms_ahead / cores / 1_000.0)
    }
}

impl Scheduler {
    /// Decides whether a job is on time, deferred or refused.
    pub(crate) fn decide_admission(&mut self, job: &Job, now: Instant) -> Admission {
        if self.jobs.len() >= JOBS_MAX {
            return Admission::Refused(Refusal {
                reason: "too many jobs",
                expected: Duration::ZERO,
                retry_after: RETRY_AFTER_MAX,
            });
        }
        let load = self.service_load(&job.queue.service, now);
        let cores = load.usable_cores(job);
        // A job is admitted while no worker of its service is known, and waits for one.
        if !load.worker_kinds.is_empty() && !load.can_run(job) {
            return Admission::Refused(Refusal {
                reason: "no worker can run one of its steps",
                expected: Duration::ZERO,
                retry_after: RETRY_AFTER_MAX,
            });
        }
        if job.graph.repeat.is_some() || job.graph.long_running() || cores <= 0.0 {
            return Admission::OnTime;
        }
        let chain = self.expected_chain(job);
        let allowance = job.queue.wait_allowance(chain);
        let expected = load.backlog(job, CountedWork::OnTime, cores);
        if expected <= allowance {
            return Admission::OnTime;
        }
        let useful_for = job
            .queue
            .useful_for(chain, USEFUL_FACTOR * USEFUL_SHARE_MAX);
        let expected_with_late = load.backlog(job, CountedWork::All, cores);
        match (expected_with_late + chain).checked_sub(useful_for) {
            None => Admission::Deferred { expected },
            Some(excess) => Admission::Refused(Refusal {
                reason: "backlog",
                expected: expected_with_late,
                retry_after: excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
            }),
        }
    }

    /// Adds an admitted job to the load that was counted before it arrived.
    pub(crate) fn record_admitted(&mut self, job: &Job) {
        let core_ms = self.waiting_core_ms(job, |_| true);
        if let Some(loads) = &mut self.loads {
            let load = loads.services.entry(job.queue.service.clone());
            load.or_default().add_waiting(job, !job.deferred, core_ms);
        }
    }

    /// Returns the load of one service, counted anew if it is older than a round period.
    fn service_load(&mut self, service: &ServiceId, now: Instant) -> ServiceLoad {
        let period = self.round_period();
        let counted = self.loads.take();
        let fresh =
            counted.filter(|loads| now.saturating_duration_since(loads.counted_at) <= period);
        let loads = fresh.unwrap_or_else(|| self.count_loads(now));
        let load = loads.services.get(service).cloned().unwrap_or_default();
        self.loads = Some(loads);
        load
    }

    fn count_loads(&self, now: Instant) -> ServiceLoads {
        let mut services: HashMap<ServiceId, ServiceLoad> = HashMap::new();
        let workers = self.workers.values();
        for worker in workers.filter(|worker| worker.listed && worker.leaving_at.is_none()) {
            let load = services.entry(worker.entry.service.clone()).or_default();
            let capacity = &worker.entry.capacity;
            load.millicores = load
                .millicores
                .saturating_add(capacity.processor_millicores);
            load.add_worker(&worker.entry);
        }
        for job in self.jobs.values() {
            let load = services.entry(job.queue.service.clone()).or_default();
            if job.queue.priority == MOST_URGENT {
                load.urgent_millicores += job.placed_millicores();
            }
            if job.phase != JobPhase::Ending(crate::JobOutcome::Cancelled) {
                let on_time = self.slack(job, now).is_some();
                // What no listed worker can do takes no time of those that are listed.
                let core_ms = self.waiting_core_ms(job, |spec| load.can_run_step(spec));
                load.add_waiting(job, on_time, core_ms);
            }
        }
        ServiceLoads {
            counted_at: now,
            services,
        }
    }

    /// Returns the expected work of a job's tasks that are not placed, in core-milliseconds, of the
    /// steps for which `counts` returns true. Tasks that last have no work that could be done first.
    fn waiting_core_ms(&self, job: &Job, counts: impl Fn(&StepSpec) -> bool) -> f64 {
        let mut core_ms = 0.0;
        for occurrence_run in &job.occurrences {
            for (spec, step) in job.graph.steps.iter().zip(&occurrence_run.steps) {
                let units_waiting = step.units.iter().filter(|unit| unit.is_waiting()).count();
                if units_waiting == 0 || !spec.ends_by_itself() || !counts(spec) {
                    continue;
                }
                let cores = spec.resources.processor_millicores as f64 / 1_000.0;
                let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
                core_ms += units_waiting as f64
                    * f64::from(spec.unit_size())
                    * cores
                    * expected.as_millis() as f64;
            }
        }
        core_ms
    }
}
