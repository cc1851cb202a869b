//! What each tenant has running, or may have.
//!
//! It is counted anew from the runs of all workers, since runs change in many places and a sum that
//! drifts would break a cap unnoticed.

use jackdawchute_types::{Resources, ServiceId, TenantId};
use rustc_hash::FxHashMap;

use crate::{
    job::{Job, StepRun, Unit},
    records::RunsLeft,
    worker::Worker,
    Scheduler, StepSpec, TaskName,
};

/// What is running by service and tenant, where `None` stands for work without a tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunningByTenant {
    services: FxHashMap<ServiceId, FxHashMap<Option<TenantId>, Resources>>,
    /// The part of it that does not end by itself.
    lasting: FxHashMap<Option<TenantId>, Resources>,
}

impl RunningByTenant {
    fn add(&mut self, service: &ServiceId, tenant: &Option<TenantId>, size: &Resources) {
        let tenants = self.services.entry(service.clone()).or_default();
        add_to_tenant(tenants, tenant, size);
    }

    /// Returns what a tenant has running that does not end by itself.
    pub(crate) fn lasting(&self, tenant: &TenantId) -> Resources {
        let lasting = self.lasting.get(&Some(tenant.clone()));
        lasting.copied().unwrap_or_default()
    }

    /// Returns what is running by service and tenant.
    pub(crate) fn services(
        &self,
    ) -> impl Iterator<Item = (&ServiceId, &FxHashMap<Option<TenantId>, Resources>)> {
        self.services.iter()
    }

    /// Returns what each tenant has running at all services.
    pub(crate) fn by_tenant(&self) -> FxHashMap<TenantId, Resources> {
        let mut totals: FxHashMap<TenantId, Resources> = FxHashMap::default();
        for (tenant, running) in self.services.values().flatten() {
            if let Some(tenant) = tenant {
                let total = totals.entry(tenant.clone()).or_default();
                *total = total.saturating_add(running);
            }
        }
        totals
    }
}

impl Scheduler {
    /// Returns what each tenant has running: the runs that workers have or may have, and during a
    /// recovery the most that may run and that no worker has listed.
    pub(crate) fn running_by_tenant(&self) -> RunningByTenant {
        let mut running = RunningByTenant::default();
        for worker in self.workers.values().filter(|it| !it.runs.is_empty()) {
            let tenants = running.services.entry(worker.entry.service.clone());
            let tenants = tenants.or_default();
            for (task, run) in &worker.runs {
                let id = &task.step.job;
                let (tenant, size) = match self.jobs.get(id) {
                    Some(job) => (&job.tenant, declared(job, task)),
                    None => (self.ended.get(id).map_or(&None, |it| &it.tenant), None),
                };
                // A run of unknown needs keeps its worker from others and may use all of it.
                let size = size.or(run.charged).unwrap_or(worker.entry.capacity);
                add_to_tenant(tenants, tenant, &size);
                if run.expected_end.is_none() {
                    add_to_tenant(&mut running.lasting, tenant, &size);
                }
            }
        }
        for (worker, task) in self.late_starts.tasks() {
            let worker = self.workers.get(worker);
            let is_counted = worker.is_some_and(|worker| worker.runs.contains_key(task));
            let job = self.jobs.get(&task.step.job).filter(|_| !is_counted);
            if let Some((job, size)) = job.and_then(|job| Some((job, declared(job, task)?))) {
                running.add(&job.queue.service, &job.tenant, &size);
            }
        }
        if !self.recovery_is_complete() {
            self.add_unlisted(&mut running);
        }
        running
    }

    /// Adds what recovered jobs may have running on workers that have not listed their runs yet.
    fn add_unlisted(&self, running: &mut RunningByTenant) {
        let view = self.lapse_view();
        let is_silent = |worker: &&Worker| !worker.is_accounted_for(view);
        let largest = self.workers.values().fold(Resources::ZERO, |largest, it| {
            largest.max_of_each(&it.entry.capacity)
        });
        // The capacity of a worker that is only known from its row is assumed to be the largest.
        let capacity_of = |worker: &Worker| match worker.entry.capacity {
            Resources::ZERO => largest,
            capacity => capacity,
        };
        let silent = self.workers.values().filter(is_silent);
        let silent_capacity = silent.fold(Resources::ZERO, |sum, worker| {
            sum.saturating_add(&capacity_of(worker))
        });
        let mut unlisted = RunningByTenant::default();
        for job in self.jobs.values().filter(|job| job.recovering) {
            let most = most_unlisted(job);
            unlisted.add(&job.queue.service, &job.tenant, &most);
        }
        // Jobs that ended before their runs were listed: what was cancelled may run on for a while.
        for ended in self.ended.values().filter(|ended| ended.recovered) {
            if let Some(left) = &ended.runs_left {
                unlisted.add(&left.service, &ended.tenant, &left.resources);
            }
        }
        for (service, tenants) in unlisted.services() {
            for (tenant, most) in tenants {
                let most = smaller_of_each(most, &silent_capacity);
                running.add(service, tenant, &most);
            }
        }
    }
}

/// Adds to what a tenant has running, without a copy of the name of one that is known.
fn add_to_tenant(
    tenants: &mut FxHashMap<Option<TenantId>, Resources>,
    tenant: &Option<TenantId>,
    size: &Resources,
) {
    match tenants.get_mut(tenant) {
        Some(running) => *running = running.saturating_add(size),
        None => {
            tenants.insert(tenant.clone(), *size);
        }
    }
}

/// Returns the declared size of a task.
fn declared(job: &Job, task: &TaskName) -> Option<Resources> {
    let spec = job.graph.steps.get(task.step.step as usize)?;
    Some(spec.resources)
}

/// Returns what tasks of a job that ends may still run; `None` if nothing, or if it has no tenant.
pub(crate) fn runs_left(job: &Job) -> Option<RunsLeft> {
    job.tenant.as_ref()?;
    let mut resources = match job.recovering {
        true => most_unlisted(job),
        false => Resources::ZERO,
    };
    for occurrence_run in &job.occurrences {
        for (spec, step_run) in job.graph.steps.iter().zip(&occurrence_run.steps) {
            let placed: usize = step_run.units.iter().map(|unit| unit.placed.len()).sum();
            let placed = u32::try_from(placed).unwrap_or(u32::MAX);
            resources = resources.saturating_add(&spec.resources.saturating_mul(placed));
        }
    }
    (resources != Resources::ZERO).then(|| RunsLeft {
        service: job.queue.service.clone(),
        resources,
    })
}

/// Returns the most that tasks of a job which are placed nowhere may use side by side.
///
/// A step may run beside all steps but those that it waits for and those that wait for it. So what
/// runs from a step on is either the step itself, or what runs from the steps that wait for it.
fn most_unlisted(job: &Job) -> Resources {
    let mut most = Resources::ZERO;
    for occurrence_run in &job.occurrences {
        let mut from_step: Vec<Resources> = vec![Resources::ZERO; job.graph.steps.len()];
        let steps = job.graph.steps.iter().zip(&occurrence_run.steps);
        for (index, (spec, step_run)) in steps.enumerate().rev() {
            let later = from_step.get(index).copied().unwrap_or_default();
            let here = later.max_of_each(&unplaced(spec, step_run));
            if spec.after.is_empty() {
                most = most.saturating_add(&here);
            }
            for before in &spec.after {
                if let Some(before) = from_step.get_mut(*before as usize) {
                    *before = before.saturating_add(&here);
                }
            }
        }
    }
    most
}

fn unplaced(spec: &StepSpec, step_run: &StepRun) -> Resources {
    let unplaced_of = |unit: &Unit| {
        let known = (unit.placed.len() + unit.late_starts.len()) as u32;
        spec.unit_size().saturating_sub(known)
    };
    let units = step_run.units.iter().filter(|unit| !unit.done);
    spec.resources.saturating_mul(units.map(unplaced_of).sum())
}

fn smaller_of_each(left: &Resources, right: &Resources) -> Resources {
    Resources::new(
        left.processor_millicores.min(right.processor_millicores),
        left.memory_mib.min(right.memory_mib),
        left.accelerators.min(right.accelerators),
    )
}
