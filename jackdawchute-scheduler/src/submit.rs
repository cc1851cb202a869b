//! The submission of jobs.

use std::time::Instant;

use jackdawchute_types::JobId;
use spdlog::info;

use crate::{
    admit::Admission,
    job::{Job, JobPhase},
    JobGraph, QueuePolicy, Scheduler, Submission,
};

impl Scheduler {
    /// Admits a job or refuses it.
    ///
    /// An admitted job is pending until [`Scheduler::committed`] accepts it.
    pub fn submit(
        &mut self,
        id: &JobId,
        graph: JobGraph,
        queue: QueuePolicy,
        now: Instant,
    ) -> Submission {
        if self.ended.contains_key(id) {
            return Submission::Accepted;
        }
        if let Some(job) = self.jobs.get(id) {
            return match job.phase {
                JobPhase::Accepting => Submission::Pending,
                JobPhase::Live | JobPhase::Ending(_) => Submission::Accepted,
            };
        }
        let mut job = Job::new(id.clone(), graph, queue, now);
        match self.decide_admission(&job, now) {
            Admission::Refused(refusal) => {
                info!("job refused", kv: {
                    job = id.as_str(), queue = job.queue.queue.as_str(), reason = refusal.reason,
                    expected_wait_ms = refusal.expected.as_millis() as u64,
                    retry_after_ms = refusal.retry_after.as_millis() as u64
                });
                return Submission::Refused {
                    retry_after: refusal.retry_after,
                };
            }
            Admission::Deferred { expected } => {
                info!("job deferred: expected to be late", kv: {
                    job = id.as_str(), queue = job.queue.queue.as_str(),
                    expected_wait_ms = expected.as_millis() as u64
                });
                job.deferred = true;
            }
            Admission::OnTime => {}
        }
        info!("job admitted", kv: {
            job = id.as_str(), queue = job.queue.queue.as_str(),
            jobs = self.jobs.len()
        });
        self.record_admitted(&job);
        self.jobs.insert(id.clone(), job);
        self.accepting.push_back(id.clone());
        self.placeable.insert(id.clone());
        self.placement_needed = true;
        Submission::Pending
    }
}
