//! Runs a soak of `cell`, and compares the responses to callers with the records of the workers.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use jackdawchute_adapter::standins::{CallerAnswer, PlatformCaller};
use tokio::sync::watch;

use super::{
    callers::{Callers, Observations},
    check::{find_exceeded_caps, find_overloads, find_violations},
    environment::CellEnvironment,
    tenants::{SoakTenants, IN_FORCE_MAX},
    CellFault, CellSoakPlan,
};
use crate::{
    balancer::ReadReady,
    harness::{wait_until, DEADLINE},
    lock::lock,
    soak::{
        save_logs,
        schedule::{inject_faults, wait_until_stable, Environment},
        SoakReport,
    },
    Error, Result,
};

/// The time at the end of the load in which jobs must be accepted again.
const RECOVERED_TIME: Duration = Duration::from_secs(3);
/// The share of the jobs in [`RECOVERED_TIME`] that must be accepted, in percent.
const RECOVERED_PERCENT: usize = 95;
/// The processors of each stand-in worker, in thousandths of a core.
const WORKER_MILLICORES: u64 = 4_000;

/// How long a probe of a withdrawn key waits for its answer.
const PROBE_DEADLINE: Duration = Duration::from_secs(2);

/// Runs a soak with the shipped binary.
///
/// # Errors
/// A stand-in or a process did not start, or a fault could not be injected.
pub async fn run(program: &Path, plan: &CellSoakPlan) -> Result<SoakReport<CellFault>> {
    let mut environment = CellEnvironment::start(program, plan).await?;
    wait_until("ready instances", || async {
        let ready = environment.balancer.send(ReadReady).await.ok()?;
        (ready.len() == plan.instances).then_some(())
    })
    .await?;
    let (balancer, workers) = (environment.balancer.clone(), environment.workers.clone());
    let tenants = environment.tenants.clone();
    let callers = Callers::new(balancer, workers, plan, tenants.clone());
    let observations = callers.observations.clone();
    let (end, ended) = watch::channel(false);
    let load = tokio::spawn(callers.run(plan.seed, environment.routes.clone(), ended, DEADLINE));
    let rotation = tenants.clone().map(|tenants| {
        let rotating = tenants.rotate(environment.operator(), environment.routes.clone());
        tokio::spawn(rotating)
    });
    let disturbances = plan.disturbances();

    inject_faults(&mut environment, &disturbances, tokio::time::Instant::now()).await?;
    let balancer = environment.balancer.clone();
    let not_ready = wait_until_stable(&mut environment, &balancer).await?;
    let stable_until = Instant::now();
    // The load reads this value for as long as it runs, so the sender is not dropped before.
    end.send_replace(true);
    load.await
        .map_err(|cause| Error::Invalid("submit jobs", "soak".into(), cause.to_string()))?;

    if let Some(rotation) = rotation {
        rotation.abort();
    }
    let probes = match &tenants {
        Some(tenants) => served_withdrawn_keys(tenants, &environment).await,
        None => Vec::new(),
    };

    let records = environment.workers.records();
    let late = records.iter().filter(|record| record.late).count();
    let Observations { jobs, violations } = std::mem::take(&mut *lock(&observations));
    let mut all = std::mem::take(&mut environment.violations);
    all.extend(not_ready);
    all.extend(violations);
    all.extend(find_violations(&jobs, &records, WORKER_MILLICORES));
    all.extend(find_overloads(&environment.workers.overloads()));
    all.extend(probes);
    for tenant in (0..).take(tenants.as_ref().map_or(0, SoakTenants::count)) {
        let (name, cap) = (
            SoakTenants::name(tenant),
            SoakTenants::cap_millicores(tenant),
        );
        all.extend(find_exceeded_caps(&jobs, &records, &name, cap));
    }
    let last = jobs.values().filter(|job| {
        job.sent_at
            .is_some_and(|at| at + RECOVERED_TIME > stable_until)
    });
    let (last, accepted_last) = last.fold((0, 0), |(all, accepted), job| {
        (all + 1, accepted + usize::from(job.accepted_at.is_some()))
    });
    if accepted_last * 100 < last * RECOVERED_PERCENT || last == 0 {
        all.push(format!("{accepted_last} of the last {last} jobs accepted"));
    }
    save_logs(environment.logs(), plan.logs.as_deref(), plan.seed, &all)?;
    let accepted = jobs.values().filter(|it| it.accepted_at.is_some()).count();
    Ok(SoakReport {
        seed: plan.seed,
        disturbances,
        load: format!(
            "{accepted} of {} jobs accepted, {} starts, {late} of them late",
            jobs.len(),
            records.len()
        ),
        violations: all,
    })
}

/// Waits until the last change of the keys must be in force, and finds the withdrawn keys that an
/// instance still serves.
async fn served_withdrawn_keys(
    tenants: &SoakTenants,
    environment: &CellEnvironment,
) -> Vec<String> {
    let withdrawn = tenants.withdrawn();
    if let Some(last) = withdrawn.iter().map(|withdrawn| withdrawn.at).max() {
        tokio::time::sleep_until((last + IN_FORCE_MAX).into()).await;
    }
    let mut violations = Vec::new();
    let client = PlatformCaller::new(PROBE_DEADLINE);
    for target in environment.targets() {
        for route in &environment.routes.queues {
            for withdrawn in &withdrawn {
                let client = client.with_key(&withdrawn.key);
                let job = "0000000000000000".into();
                let answer = client.status(target.callers, route, &job).await;
                if answer != CallerAnswer::Unauthorized {
                    let tenant = SoakTenants::name(withdrawn.tenant);
                    violations.push(format!("a withdrawn key of {tenant} got {answer:?}"));
                }
            }
        }
    }
    violations
}
