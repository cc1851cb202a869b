//! The workers that may run a step in a scheduling round.

use std::time::{Duration, Instant};

use jackdawchute_speeds::{PlaceRank, RunEstimate};
use jackdawchute_types::{Ticket, WorkerId};

use crate::{
    free_capacity::{can_run, FreeCapacity, WorkerCapacity},
    job::Job,
    room::tasks_on_workers,
    Scheduler, StepName, StepSpec,
};

#[derive(Clone)]
pub(super) struct Candidate {
    pub(super) worker: WorkerId,
    /// The valid ticket; `None` if the step needs no advice.
    pub(super) ticket: Option<Ticket>,
    /// How well the place suits the step's tasks, by when they would end there.
    pub(super) rank: PlaceRank,
    /// The expected run time of a task there.
    pub(super) expected: Duration,
    /// How many more tasks of the step the worker may run, by the step's limit for each worker.
    pub(super) tasks_allowed: u32,
}

impl Scheduler {
    /// Returns the workers that may run a step now: those with the service and label that it
    /// requires and, if the queue needs advice, a valid ticket.
    pub(super) fn candidates(
        &self,
        job: &Job,
        name: &StepName,
        spec: &StepSpec,
        free_capacity: &FreeCapacity,
        estimate: RunEstimate,
        now: Instant,
    ) -> Vec<Candidate> {
        let Some((_, step)) = job.step(name) else {
            return Vec::new();
        };
        let on_worker = tasks_on_workers(spec, step);
        // A gang ends with its slowest task, which leaves no fast worker free for long.
        let time_left = self.time_left(job, spec, now).filter(|_| !spec.gang);
        let per_worker_max = spec.per_worker_max.unwrap_or(u32::MAX);
        let candidate =
            |worker: &WorkerId, worker_capacity: &WorkerCapacity, ticket: Option<&Ticket>| {
                let tasks_allowed =
                    per_worker_max.saturating_sub(on_worker.get(worker).copied().unwrap_or(0));
                let may_run =
                    tasks_allowed > 0 && can_run(&self.workers, worker, worker_capacity, job, spec);
                let slowness = worker_capacity.slowness;
                let far = self.far_slowdown(spec, worker_capacity.rack.as_ref());
                may_run.then(|| Candidate {
                    worker: worker.clone(),
                    ticket: ticket.cloned(),
                    rank: estimate.rank(slowness, far, time_left),
                    expected: self.expected_on(spec, &estimate, worker_capacity),
                    tasks_allowed,
                })
            };
        let mut candidates: Vec<Candidate> = if job.queue.advice.is_some() {
            let with_ticket = step.advice.iter().filter_map(|(worker, advice)| {
                let worker_capacity = free_capacity.worker(worker)?;
                let ticket = advice.ticket(worker_capacity.started_unix_ms, now)?;
                candidate(worker, worker_capacity, Some(ticket))
            });
            with_ticket.collect()
        } else {
            let all_workers = free_capacity.workers();
            all_workers
                .filter_map(|(worker, worker_capacity)| candidate(worker, worker_capacity, None))
                .collect()
        };
        candidates.sort_unstable_by(|left, right| left.worker.cmp(&right.worker));
        candidates
    }
}
