//! What becomes of a job on arrival.
//!
//! Answers load above the cell's capacity: a job that cannot end in time must not delay others, so
//! it takes only the room that they leave. One that would not even end while its result is of use
//! is refused at once, with the time after which the backlog allows it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use jackdawchute_types::ServiceId;

use crate::{
    job::{Job, JobPhase},
    rank::{MOST_URGENT, USEFUL_FACTOR},
    Scheduler,
};

/// The most jobs that wait or run at a time; bounds the memory of an instance.
const JOBS_MAX: usize = 5_000;
/// The share of the cell's processors that can be in use, for what does not fit into gaps.
const USABLE_SHARE: f64 = 0.88;
/// The share of the usable processors that less urgent queues are taken to get at least.
const LESS_URGENT_SHARE_MIN: f64 = 0.3;
/// The share of the time for which a result is of use that a job is expected to take at most; the
/// rest is left for what estimates are off.
const USEFUL_SHARE_MAX: f64 = 0.8;
/// The longest time after which a refused caller is asked to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);
/// The shortest such time.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

/// What becomes of a job on arrival.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Admission {
    /// It can be on time.
    OnTime,
    /// It would be late, and takes only the room that others leave.
    Deferred {
        /// How long the work before it takes.
        expected: Duration,
    },
    /// It is not accepted.
    Refused(Refusal),
}

/// The work that is counted in a backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Backlog {
    /// What can still be on time.
    OnTime,
    /// That, and what is late already.
    All,
}

/// Why a job is refused, and when it is worth coming back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) reason: &'static str,
    /// How long the job would wait.
    pub(crate) expected: Duration,
    pub(crate) retry_after: Duration,
}

/// What each service's workers have and have to do, counted once for all jobs that arrive between
/// two rounds of placement.
#[derive(Debug)]
pub(crate) struct Loads {
    counted_at: Instant,
    services: HashMap<ServiceId, ServiceLoad>,
}

/// What the workers of one service have and have to do.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceLoad {
    /// The processors of the workers that stay.
    millicores: u64,
    /// Those that run tasks of the most urgent queue.
    urgent_millicores: u64,
    /// What waits of the most urgent queue.
    urgent: Waiting,
    /// What waits of the others.
    less_urgent: Waiting,
}

/// Work that waits, in core-milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Waiting {
    on_time: f64,
    late: f64,
}

impl ServiceLoad {
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

    /// The processors that a job's tasks may use, in cores.
    fn usable_cores(&self, job: &Job) -> f64 {
        let cores = self.millicores as f64 / 1_000.0 * USABLE_SHARE;
        if job.queue.priority == MOST_URGENT {
            return cores;
        }
        let urgent_cores = self.urgent_millicores as f64 / 1_000.0;
        (cores - urgent_cores).max(cores * LESS_URGENT_SHARE_MIN)
    }

    /// How long the work that goes before a job takes: what waits of the same or a more urgent
    /// queue.
    fn backlog(&self, job: &Job, counted: Backlog, cores: f64) -> Duration {
        let core_ms = |waiting: &Waiting| match counted {
            Backlog::OnTime => waiting.on_time,
            Backlog::All => waiting.on_time + waiting.late,
        };
        let mut ahead = core_ms(&self.urgent);
        if job.queue.priority != MOST_URGENT {
            ahead += core_ms(&self.less_urgent);
        }
        Duration::from_secs_f64(ahead / cores / 1_000.0)
    }
}

impl Scheduler {
    /// Decides what becomes of a job.
    pub(crate) fn admission(&mut self, job: &Job, now: Instant) -> Admission {
        if self.jobs.len() >= JOBS_MAX {
            return Admission::Refused(Refusal {
                reason: "too many jobs",
                expected: Duration::ZERO,
                retry_after: RETRY_AFTER_MAX,
            });
        }
        let load = self.load(&job.queue.service, now);
        let cores = load.usable_cores(job);
        // Where nothing is known of the workers yet, a job waits for them.
        if job.graph.repeat.is_some() || job.graph.long_running() || cores <= 0.0 {
            return Admission::OnTime;
        }
        let chain = self.expected_chain(job);
        let allowance = job.queue.wait_allowance(chain);
        let expected = load.backlog(job, Backlog::OnTime, cores);
        if expected <= allowance {
            return Admission::OnTime;
        }
        let useful = job
            .queue
            .useful_for(chain, USEFUL_FACTOR * USEFUL_SHARE_MAX);
        let expected_with_late = load.backlog(job, Backlog::All, cores);
        match (expected_with_late + chain).checked_sub(useful) {
            None => Admission::Deferred { expected },
            Some(over) => Admission::Refused(Refusal {
                reason: "backlog",
                expected: expected_with_late,
                retry_after: over.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
            }),
        }
    }

    /// Counts a job that was taken in since the load was last looked at.
    pub(crate) fn note_admitted(&mut self, job: &Job) {
        let core_ms = self.waiting_core_ms(job);
        if let Some(loads) = &mut self.loads {
            let load = loads.services.entry(job.queue.service.clone());
            load.or_default().add_waiting(job, !job.deferred, core_ms);
        }
    }

    /// What one service's workers have and have to do.
    fn load(&mut self, service: &ServiceId, now: Instant) -> ServiceLoad {
        let period = self.round_period();
        let known = self.loads.take();
        let fresh = known.filter(|it| now.saturating_duration_since(it.counted_at) <= period);
        let loads = fresh.unwrap_or_else(|| self.count_loads(now));
        let load = loads.services.get(service).copied().unwrap_or_default();
        self.loads = Some(loads);
        load
    }

    fn count_loads(&self, now: Instant) -> Loads {
        let mut services: HashMap<ServiceId, ServiceLoad> = HashMap::new();
        let staying = self.workers.values();
        for worker in staying.filter(|it| it.listed && it.leaving_at.is_none()) {
            let load = services.entry(worker.entry.service.clone()).or_default();
            load.millicores += worker.entry.capacity.processor_millicores;
        }
        for job in self.jobs.values() {
            let load = services.entry(job.queue.service.clone()).or_default();
            if job.queue.priority == MOST_URGENT {
                load.urgent_millicores += job.placed_millicores();
            }
            if job.phase != JobPhase::Ending(crate::JobOutcome::Cancelled) {
                let on_time = self.slack(job, now).is_some();
                load.add_waiting(job, on_time, self.waiting_core_ms(job));
            }
        }
        Loads {
            counted_at: now,
            services,
        }
    }

    fn waiting_core_ms(&self, job: &Job) -> f64 {
        let mut core_ms = 0.0;
        for run in &job.occurrences {
            for (spec, step) in job.graph.steps.iter().zip(&run.steps) {
                let waiting = step.units.iter().filter(|unit| unit.waiting()).count() as f64;
                let cores = spec.resources.processor_millicores as f64 / 1_000.0;
                let expected = self.run_times.expected(&job.queue.queue, spec.estimate);
                core_ms +=
                    waiting * f64::from(spec.unit_size()) * cores * expected.as_millis() as f64;
            }
        }
        core_ms
    }
}
