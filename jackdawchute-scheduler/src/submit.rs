//! The submission of jobs.

use std::time::Instant;

use jackdawchute_types::{JobId, TenantId};
use spdlog::info;

use crate::{
    admit::Admission,
    job::{Job, JobPhase},
    JobGraph, QueuePolicy, Scheduler, Submission,
};

impl Scheduler {
    /// Adds the service of a job to those in use; the job may be of a newer configuration.
    fn use_service_of(&mut self, job: &Job, now: Instant) {
        let service = &job.queue.service;
        let in_use = self.services.as_ref();
        if in_use.is_some_and(|services| !services.contains(service)) {
            self.use_services([service.clone()], now);
        }
    }

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
        self.submit_for(None, id, graph, queue, now)
    }

    /// Admits a job of a tenant or refuses it, as [`Scheduler::submit`] does for a job of none.
    pub fn submit_for(
        &mut self,
        tenant: Option<TenantId>,
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
        job.tenant = tenant;
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
            tenant = job.tenant.as_deref().unwrap_or_default(), jobs = self.jobs.len()
        });
        self.record_admitted(&job);
        self.use_service_of(&job, now);
        self.jobs.insert(id.clone(), job);
        self.accepting.push_back(id.clone());
        self.placeable.insert(id.clone());
        self.placement_needed = true;
        Submission::Pending
    }
}
