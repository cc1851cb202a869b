//! Caps and shares of tenants, with the fixtures of both.

mod caps;
mod shares;

use std::collections::BTreeMap;

use jackdawchute_scheduler::{
    EndReason, QueuePolicy, StartOrder, StepSpec, Submission, WorkerEntry,
};
use jackdawchute_tenants::TenantPolicy;
use jackdawchute_types::{JobId, Resources};

use crate::fixtures::*;

pub(super) fn policy(tenant: &str, weight: f64, cap_cores: u64) -> TenantPolicy {
    TenantPolicy {
        tenant: tenant.into(),
        weight,
        cap: Resources::new(cap_cores * 1_000, 0, 0),
    }
}

/// Workers of four cores each.
pub(super) fn workers(count: usize) -> Vec<WorkerEntry> {
    (0..count)
        .map(|number| entry(&format!("w{number:02}"), 4))
        .collect()
}

/// A cell of workers of four cores each, with these tenants.
pub(super) fn cell_of(workers_count: usize, tenants: Vec<TenantPolicy>) -> Cell {
    let mut cell = ready_cell(1, &workers(workers_count));
    cell.scheduler.use_tenants(Some(tenants));
    cell
}

pub(super) fn submit_for(
    cell: &mut Cell,
    tenant: &str,
    job: &str,
    steps: Vec<StepSpec>,
    queue: QueuePolicy,
) -> Submission {
    let id: JobId = job.into();
    let tenant = Some(tenant.into());
    cell.scheduler
        .submit_for(tenant, &id, graph(steps), queue, cell.now)
}

/// Submits a job of a tenant that is accepted.
pub(super) fn accept_for(cell: &mut Cell, tenant: &str, job: &str, steps: Vec<StepSpec>) {
    let submission = submit_for(cell, tenant, job, steps, patient_queue(1));
    assert_eq!(submission, Submission::Pending, "{job}");
}

/// A queue whose jobs may wait for minutes.
pub(super) fn patient_queue(priority: u32) -> QueuePolicy {
    QueuePolicy {
        target: ms(600_000),
        ..queue(priority)
    }
}

/// Commits and runs a scheduling round.
pub(super) fn commit_and_run(cell: &mut Cell) {
    cell.commit();
    cell.run_round();
}

/// The number of starts by the first letters of their jobs, up to a dash.
pub(super) fn starts_by_tenant(starts: &[StartOrder]) -> BTreeMap<String, usize> {
    let mut by_tenant = BTreeMap::new();
    for start in starts {
        let job = start.task.step.job.as_str();
        let tenant = job.split('-').next().unwrap_or_default();
        *by_tenant.entry(tenant.to_owned()).or_default() += 1;
    }
    by_tenant
}

/// Confirms the starts, ends all runs and answers the renewals of their workers.
pub(super) fn end_runs(cell: &mut Cell, starts: &[StartOrder]) {
    cell.tick(2_000);
    let mut by_worker: BTreeMap<_, Vec<&StartOrder>> = BTreeMap::new();
    for start in starts {
        cell.confirm_start(start);
        by_worker.entry(&start.worker).or_default().push(start);
    }
    for (worker, starts) in by_worker {
        let renewal = cell.latest_renewal_of(worker);
        // Later calls report ends with higher numbers.
        let first_number = (cell.now - cell.began_at).as_millis() as u64;
        let ends = (first_number..).zip(starts);
        let ends = ends.map(|(number, start)| ended(number, start, EndReason::Succeeded));
        cell.answer_renewal(&renewal, Vec::new(), ends.collect());
    }
}
