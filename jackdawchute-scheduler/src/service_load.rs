//! The capacity and the waiting work of each service, which the admission of jobs follows from.

use std::time::{Duration, Instant};

use jackdawchute_tenants::{backlog_ms, TenantBacklog, TenantPolicies};
use jackdawchute_types::{Label, Resources, ServiceId, TenantId};
use rustc_hash::FxHashMap;

use crate::{
    free_capacity::tasks_fitting,
    job::{Job, JobPhase},
    rank::MOST_URGENT,
    tenants::can_ever_start,
    Scheduler, StepSpec, WorkerEntry,
};

/// The share of the cell's processors that can be in use; the rest is in gaps that no task fits.
const USABLE_SHARE: f64 = 0.88;
/// The lowest share of the usable processors that less urgent queues are assumed to get.
const LESS_URGENT_SHARE_MIN: f64 = 0.3;

/// The longest backlog that is told apart from longer ones.
const BACKLOG_MAX: Duration = Duration::from_secs(86_400);

/// Returns the part of a capacity that can be in use.
pub(crate) fn usable_capacity(capacity: &Resources) -> Resources {
    Resources {
        processor_millicores: (capacity.processor_millicores as f64 * USABLE_SHARE) as u64,
        ..*capacity
    }
}

/// The waiting work that a backlog includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountedWork {
    /// The work that can still be on time.
    OnTime,
    /// The work that can be on time, and the work that is late already.
    All,
}

/// The capacity and the waiting work of each service, counted once for all jobs that arrive between
/// two scheduling rounds.
#[derive(Debug)]
pub(crate) struct ServiceLoads {
    counted_at: Instant,
    services: FxHashMap<ServiceId, ServiceLoad>,
    /// The number of jobs of each tenant.
    jobs: FxHashMap<Option<TenantId>, usize>,
}

impl ServiceLoads {
    /// Returns the load of a service, if it has workers or jobs.
    pub(crate) fn service(&self, service: &ServiceId) -> Option<&ServiceLoad> {
        self.services.get(service)
    }

    /// Returns the number of jobs of each tenant.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = (&Option<TenantId>, usize)> {
        self.jobs.iter().map(|(tenant, jobs)| (tenant, *jobs))
    }

    /// Returns the number of a tenant's jobs.
    pub(crate) fn jobs_of(&self, tenant: &Option<TenantId>) -> usize {
        self.jobs.get(tenant).copied().unwrap_or(0)
    }
}

/// The capacity and the waiting work of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceLoad {
    /// The processors of the listed workers that are not leaving, in thousandths of a core.
    millicores: u64,
    /// The work of each tenant, where `None` stands for work without a tenant.
    tenants: FxHashMap<Option<TenantId>, TenantWork>,
    /// The kinds of workers, with the number of workers of each.
    worker_kinds: FxHashMap<WorkerKind, u32>,
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

/// The work of a tenant at one service, by its urgency.
#[derive(Clone, Copy, Debug, Default)]
struct TenantWork {
    urgent: Work,
    less_urgent: Work,
}

impl TenantWork {
    fn of_urgency(&self, is_urgent: bool) -> &Work {
        if is_urgent {
            &self.urgent
        } else {
            &self.less_urgent
        }
    }
}

/// Waiting work in core-milliseconds, and running work in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    on_time: f64,
    late: f64,
    running_millicores: u64,
}

impl Work {
    fn waiting(&self, counted_work: CountedWork) -> f64 {
        match counted_work {
            CountedWork::OnTime => self.on_time,
            CountedWork::All => self.on_time + self.late,
        }
    }
}

impl ServiceLoad {
    fn add_worker(&mut self, entry: &WorkerEntry) {
        let capacity = entry.capacity;
        self.millicores = self
            .millicores
            .saturating_add(capacity.processor_millicores);
        let kind = WorkerKind {
            labels: entry.labels.clone(),
            capacity,
        };
        *self.worker_kinds.entry(kind).or_default() += 1;
    }

    fn work_of(&mut self, job: &Job) -> &mut Work {
        let work = self.tenants.entry(job.tenant.clone()).or_default();
        if job.queue.priority == MOST_URGENT {
            &mut work.urgent
        } else {
            &mut work.less_urgent
        }
    }

    fn add_waiting(&mut self, job: &Job, on_time: bool, core_ms: f64) {
        let work = self.work_of(job);
        if on_time {
            work.on_time += core_ms;
        } else {
            work.late += core_ms;
        }
    }

    /// Returns whether any worker of the service is known.
    pub(crate) fn has_workers(&self) -> bool {
        !self.worker_kinds.is_empty()
    }

    /// Returns the processors that a job's tasks may use, in cores.
    pub(crate) fn usable_cores(&self, job: &Job) -> f64 {
        let cores = self.millicores as f64 / 1_000.0 * USABLE_SHARE;
        if job.queue.priority == MOST_URGENT {
            return cores;
        }
        let urgent = self.tenants.values().map(|work| &work.urgent);
        let urgent_millicores: u64 = urgent.map(|work| work.running_millicores).sum();
        let urgent_cores = urgent_millicores as f64 / 1_000.0;
        (cores - urgent_cores).max(cores * LESS_URGENT_SHARE_MIN)
    }

    /// Returns whether the workers could run each step of a job if they ran nothing else: a gang as
    /// a whole, single tasks one after the other.
    pub(crate) fn can_run(&self, job: &Job) -> bool {
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
    /// queue and, for a job of another queue, that of all other queues too; of other tenants in the
    /// job's own class only as much as goes before it by their shares.
    pub(crate) fn backlog(
        &self,
        job: &Job,
        job_core_ms: f64,
        counted_work: CountedWork,
        cores: f64,
        policies: Option<&TenantPolicies>,
    ) -> Duration {
        let is_urgent = job.queue.priority == MOST_URGENT;
        let weight_of = |tenant: &Option<TenantId>| {
            policies.map_or(1.0, |policies| policies.weight_of(tenant.as_ref()))
        };
        let backlog_of = |tenant: &Option<TenantId>, work: &TenantWork| {
            let work = work.of_urgency(is_urgent);
            TenantBacklog {
                weight: weight_of(tenant),
                waiting_core_ms: work.waiting(counted_work),
                running_cores: work.running_millicores as f64 / 1_000.0,
            }
        };
        let own_work = self.tenants.get(&job.tenant).copied().unwrap_or_default();
        let own = backlog_of(&job.tenant, &own_work);
        let others: Vec<TenantBacklog> = self
            .tenants
            .iter()
            .filter(|(tenant, _)| **tenant != job.tenant)
            .map(|(tenant, work)| backlog_of(tenant, work))
            .collect();
        let cap = policies.zip(job.tenant.as_ref());
        let cap = cap.map(|(policies, tenant)| policies.cap_of(tenant).processor_millicores);
        let own_cores_max = cap
            .filter(|millicores| *millicores > 0)
            .map_or(f64::INFINITY, |millicores| millicores as f64 / 1_000.0);
        let own_class_ms = backlog_ms(cores, &own, own_cores_max, job_core_ms, &others);
        let urgent = self.tenants.values().filter(|_| !is_urgent);
        let urgent_core_ms: f64 = urgent.map(|work| work.urgent.waiting(counted_work)).sum();
        let backlog_ms = own_class_ms + urgent_core_ms / cores;
        Duration::try_from_secs_f64(backlog_ms / 1_000.0)
            .map_or(BACKLOG_MAX, |backlog| backlog.min(BACKLOG_MAX))
    }
}

impl Scheduler {
    /// Adds an admitted job to the load that was counted before it arrived.
    pub(crate) fn record_admitted(&mut self, job: &Job) {
        let core_ms = self.waiting_core_ms(job, |_| true);
        if let Some(loads) = &mut self.loads {
            *loads.jobs.entry(job.tenant.clone()).or_default() += 1;
            let load = loads.services.entry(job.queue.service.clone());
            load.or_default().add_waiting(job, !job.deferred, core_ms);
        }
    }

    /// Takes the loads, counted anew if they are older than a round period.
    pub(crate) fn take_loads(&mut self, now: Instant) -> ServiceLoads {
        let period = self.round_period();
        let counted = self.loads.take();
        let fresh =
            counted.filter(|loads| now.saturating_duration_since(loads.counted_at) <= period);
        fresh.unwrap_or_else(|| self.count_loads(now))
    }

    fn count_loads(&self, now: Instant) -> ServiceLoads {
        let mut services: FxHashMap<ServiceId, ServiceLoad> = FxHashMap::default();
        let workers = self.workers.values();
        for worker in workers.filter(|worker| worker.listed && worker.leaving_at.is_none()) {
            let load = services.entry(worker.entry.service.clone()).or_default();
            load.add_worker(&worker.entry);
        }
        let mut jobs: FxHashMap<Option<TenantId>, usize> = FxHashMap::default();
        for job in self.jobs.values() {
            *jobs.entry(job.tenant.clone()).or_default() += 1;
            let load = services.entry(job.queue.service.clone()).or_default();
            load.work_of(job).running_millicores += job.placed_millicores();
            if job.phase != JobPhase::Ending(crate::JobOutcome::Cancelled) {
                let on_time = self.slack(job, now).is_some();
                // What can't be done now takes no time of the workers that are listed.
                let can_run = |spec: &StepSpec| {
                    load.can_run_step(spec) && can_ever_start(self.cap_of(job), spec)
                };
                let core_ms = self.waiting_core_ms(job, can_run);
                load.add_waiting(job, on_time, core_ms);
            }
        }
        ServiceLoads {
            counted_at: now,
            services,
            jobs,
        }
    }

    /// Returns the expected work of a job's tasks that are not placed, in core-milliseconds, of the
    /// steps for which `counts` returns true. Tasks that last have no work that could be done first.
    pub(crate) fn waiting_core_ms(&self, job: &Job, counts: impl Fn(&StepSpec) -> bool) -> f64 {
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
