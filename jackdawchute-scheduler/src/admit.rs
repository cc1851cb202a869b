//! What becomes of a job on arrival.
//!
//! Answers load above the cell's capacity: a job that cannot end in time must not delay others, so
//! it takes only the room that they leave. One that would not even end while its result is of use
//! is refused at once, with the time after which the backlog allows it.

use std::time::{Duration, Instant};

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

impl Scheduler {
    /// Decides what becomes of a job.
    pub(crate) fn admission(&self, job: &Job, now: Instant) -> Admission {
        if self.jobs.len() >= JOBS_MAX {
            return Admission::Refused(Refusal {
                reason: "too many jobs",
                expected: Duration::ZERO,
                retry_after: RETRY_AFTER_MAX,
            });
        }
        let cores = self.usable_cores(job);
        // Where nothing is known of the workers yet, a job waits for them.
        if job.graph.repeat.is_some() || job.graph.long_running() || cores <= 0.0 {
            return Admission::OnTime;
        }
        let chain = self.expected_chain(job);
        let allowance = job.queue.wait_allowance(chain);
        let expected = self.backlog(job, Backlog::OnTime, cores, now);
        if expected <= allowance {
            return Admission::OnTime;
        }
        let useful = job
            .queue
            .useful_for(chain, USEFUL_FACTOR * USEFUL_SHARE_MAX);
        let expected_with_late = self.backlog(job, Backlog::All, cores, now);
        match (expected_with_late + chain).checked_sub(useful) {
            None => Admission::Deferred { expected },
            Some(over) => Admission::Refused(Refusal {
                reason: "backlog",
                expected: expected_with_late,
                retry_after: over.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
            }),
        }
    }

    /// The processors that the job's tasks may use, in cores.
    fn usable_cores(&self, job: &Job) -> f64 {
        let millicores: u64 = self
            .workers
            .values()
            .filter(|worker| worker.entry.service == job.queue.service)
            .filter(|worker| worker.listed && worker.leaving_at.is_none())
            .map(|worker| worker.entry.capacity.processor_millicores)
            .sum();
        let cores = millicores as f64 / 1_000.0 * USABLE_SHARE;
        if job.queue.priority == MOST_URGENT {
            return cores;
        }
        (cores - self.urgent_cores(job)).max(cores * LESS_URGENT_SHARE_MIN)
    }

    /// The processors that run tasks of more urgent queues, in cores.
    fn urgent_cores(&self, job: &Job) -> f64 {
        let urgent = |other: &&Job| {
            other.queue.priority == MOST_URGENT && other.queue.service == job.queue.service
        };
        let millicores: u64 = self
            .jobs
            .values()
            .filter(urgent)
            .map(|other| other.placed_millicores())
            .sum();
        millicores as f64 / 1_000.0
    }

    /// How long the work that goes before the job takes: what waits of the same or a more urgent
    /// queue.
    fn backlog(&self, job: &Job, counted: Backlog, cores: f64, now: Instant) -> Duration {
        let ahead = |other: &&Job| {
            other.phase != JobPhase::Ending(crate::Outcome::Cancelled)
                && other.queue.service == job.queue.service
                && (job.queue.priority != MOST_URGENT || other.queue.priority == MOST_URGENT)
                && (counted == Backlog::All || self.slack(other, now).is_some())
        };
        let jobs = self.jobs.values().filter(ahead);
        let core_ms: f64 = jobs.map(|other| self.waiting_core_ms(other)).sum();
        Duration::from_secs_f64(core_ms / cores / 1_000.0)
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
