//! The admission of jobs at their arrival, which handles load above the cell's capacity.
//!
//! A job that cannot end in time must not delay others, so it is deferred: it gets only the
//! capacity that they leave. One that would not even end while its result is of use is refused at
//! once, with the time after which the backlog allows it. So is one that no listed worker could run
//! even if it ran nothing else, for example because none has the label that a step requires, and
//! one with a gang or task larger than the cap of its tenant.
//!
//! Where tenants compete, a flood pays for itself: a job waits for the work of its own tenant, and
//! for that of others only as far as their shares go.

use std::time::{Duration, Instant};

use jackdawchute_tenants::{dominant_share, fair_level, Claim};
use jackdawchute_types::{Resources, TenantId};

use crate::{
    job::Job,
    rank::USEFUL_FACTOR,
    service_load::{CountedWork, ServiceLoads},
    tenants::can_ever_start,
    Scheduler,
};

/// The highest number of jobs that wait or run at a time; it limits the memory of an instance.
const JOBS_MAX: usize = 5_000;
/// The number of jobs that tenants share by weight; what is left of `JOBS_MAX` is for those below
/// their shares.
const JOBS_SHARED_FROM: usize = JOBS_MAX / 10 * 9;
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

/// Why a job is refused, and when it may be submitted again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) reason: &'static str,
    /// How long the job would wait.
    pub(crate) expected: Duration,
    /// How long the caller should wait before it submits the job again.
    pub(crate) retry_after: Duration,
}

impl Refusal {
    /// Returns the refusal of a job that no backlog explains.
    fn for_long(reason: &'static str) -> Self {
        Self {
            reason,
            expected: Duration::ZERO,
            retry_after: RETRY_AFTER_MAX,
        }
    }
}

impl Scheduler {
    /// Decides whether a job is on time, deferred or refused.
    pub(crate) fn decide_admission(&mut self, job: &Job, now: Instant) -> Admission {
        if self.jobs.len() >= JOBS_MAX {
            return Admission::Refused(Refusal::for_long("too many jobs"));
        }
        let loads = self.take_loads(now);
        let admission = self.admission_under(&loads, job);
        self.loads = Some(loads);
        admission
    }

    /// Decides the same under a load that has been counted.
    fn admission_under(&self, loads: &ServiceLoads, job: &Job) -> Admission {
        if self.has_its_part_of_jobs(loads, job) {
            let reason = "too many jobs of the tenant";
            return Admission::Refused(Refusal::for_long(reason));
        }
        let cap = self.cap_of(job);
        let mut steps = job.graph.steps.iter();
        if !steps.all(|spec| can_ever_start(cap, spec)) {
            let reason = "a step is larger than the cap of its tenant";
            return Admission::Refused(Refusal::for_long(reason));
        }
        // A job is admitted while no worker of its service is known, and waits for one.
        let load = loads.service(&job.queue.service);
        let Some(load) = load.filter(|load| load.has_workers()) else {
            return Admission::OnTime;
        };
        let cores = load.usable_cores(job);
        if !load.can_run(job) {
            let reason = "no worker can run one of its steps";
            return Admission::Refused(Refusal::for_long(reason));
        }
        if job.graph.repeat.is_some() || job.graph.long_running() || cores <= 0.0 {
            return Admission::OnTime;
        }
        let job_core_ms = self.waiting_core_ms(job, |_| true);
        let policies = self.tenants.as_deref();
        let backlog = |counted_work| load.backlog(job, job_core_ms, counted_work, cores, policies);
        let chain = self.expected_chain(job);
        let allowance = job.queue.wait_allowance(chain);
        let expected = backlog(CountedWork::OnTime);
        if expected <= allowance {
            return Admission::OnTime;
        }
        let useful_for = job
            .queue
            .useful_for(chain, USEFUL_FACTOR * USEFUL_SHARE_MAX);
        let expected_with_late = backlog(CountedWork::All);
        match (expected_with_late + chain).checked_sub(useful_for) {
            None => Admission::Deferred { expected },
            Some(excess) => Admission::Refused(Refusal {
                reason: "backlog",
                expected: expected_with_late,
                retry_after: excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
            }),
        }
    }

    /// Returns whether there are many jobs and the tenant of a new one has more of them than its
    /// weighted max-min share.
    fn has_its_part_of_jobs(&self, loads: &ServiceLoads, job: &Job) -> bool {
        let Some(policies) = self.tenants.as_deref() else {
            return false;
        };
        if self.jobs.len() < JOBS_SHARED_FROM {
            return false;
        }
        // Jobs are counted as the one resource that they share.
        let counted = |jobs: usize| Resources::new(jobs as u64, 0, 0);
        let claim = |(tenant, jobs): (&Option<TenantId>, usize)| Claim {
            weight: policies.weight_of(tenant.as_ref()),
            demand: counted(jobs),
        };
        let claims: Vec<Claim> = loads.jobs().map(claim).collect();
        let capacity = counted(JOBS_SHARED_FROM);
        let share = fair_level(&capacity, &claims) * policies.weight_of(job.tenant.as_ref());
        dominant_share(&counted(loads.jobs_of(&job.tenant)), &capacity) >= share
    }
}
