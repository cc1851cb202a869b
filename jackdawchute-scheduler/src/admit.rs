//! Which jobs are refused on arrival.
//!
//! Answers load above the cell's capacity: a job that cannot end in time would only delay others,
//! so it is refused at once, with the time after which the backlog allows it.

use std::time::{Duration, Instant};

use crate::{
    job::{Job, JobPhase},
    rank::MOST_URGENT,
    Scheduler,
};

/// The most jobs that wait or run at a time; bounds the memory of an instance.
const JOBS_MAX: usize = 5_000;
/// The share of the cell's processors that can be in use, for what does not fit into gaps.
const USABLE_SHARE: f64 = 0.88;
/// The share of the usable processors that less urgent queues are taken to get at least.
const LESS_URGENT_SHARE_MIN: f64 = 0.3;
/// The longest time after which a refused caller is asked to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);
/// The shortest such time.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

/// Why a job is refused, and when it is worth coming back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) reason: &'static str,
    /// How long the job would wait.
    pub(crate) expected: Duration,
    pub(crate) retry_after: Duration,
}

impl Scheduler {
    /// Decides whether a job is refused.
    pub(crate) fn refusal(&self, job: &Job, now: Instant) -> Option<Refusal> {
        if self.jobs.len() >= JOBS_MAX {
            return Some(Refusal {
                reason: "too many jobs",
                expected: Duration::ZERO,
                retry_after: RETRY_AFTER_MAX,
            });
        }
        if job.graph.repeat.is_some() || job.graph.long_running() {
            return None;
        }
        let cores = self.usable_cores(job);
        if cores <= 0.0 {
            // Nothing is known of the workers yet; the job waits for them.
            return None;
        }
        let wait = Duration::from_secs_f64(self.backlog_core_ms(job, now) / cores / 1_000.0);
        let queue = &job.queue.queue;
        let chain = self.run_times.expected(queue, job.graph.longest_chain());
        let over = wait.checked_sub(job.queue.wait_allowance(chain))?;
        Some(Refusal {
            reason: "backlog",
            expected: wait,
            retry_after: over.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        })
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

    /// The work that goes before the job, in core-milliseconds: what waits and is not late, of the
    /// same or a more urgent queue.
    fn backlog_core_ms(&self, job: &Job, now: Instant) -> f64 {
        let ahead = |other: &&Job| {
            other.phase != JobPhase::Ending(crate::Outcome::Cancelled)
                && other.queue.service == job.queue.service
                && (job.queue.priority != MOST_URGENT || other.queue.priority == MOST_URGENT)
        };
        self.jobs
            .values()
            .filter(ahead)
            .map(|other| self.waiting_core_ms(other, now))
            .sum()
    }

    fn waiting_core_ms(&self, job: &Job, now: Instant) -> f64 {
        let mut core_ms = 0.0;
        if self.slack(job, now).is_none() {
            return core_ms;
        }
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
