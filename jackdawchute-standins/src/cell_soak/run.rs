//! Runs a soak of `cell`, and compares the responses to callers with the records of the workers.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use tokio::sync::watch;

use super::{
    callers::{Callers, Observations},
    check::{find_overloads, find_violations},
    environment::CellEnvironment,
    CellFault, CellSoakPlan,
};
use crate::{
    balancer::ReadReady,
    harness::{wait_until, DEADLINE},
    lock::lock,
    soak::{
        save_logs,
        schedule::{inject_faults, wait_until_stable},
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
    let callers = Callers::new(balancer, workers, plan.load);
    let observations = callers.observations.clone();
    let (end, ended) = watch::channel(false);
    let load = tokio::spawn(callers.run(plan.seed, environment.routes.clone(), ended, DEADLINE));
    let disturbances = plan.disturbances();

    inject_faults(&mut environment, &disturbances, tokio::time::Instant::now()).await?;
    let balancer = environment.balancer.clone();
    let not_ready = wait_until_stable(&mut environment, &balancer).await?;
    let stable_until = Instant::now();
    // The load reads this value for as long as it runs, so the sender is not dropped before.
    end.send_replace(true);
    load.await
        .map_err(|cause| Error::Invalid("submit jobs", "soak".into(), cause.to_string()))?;

    let records = environment.workers.records();
    let late = records.iter().filter(|record| record.late).count();
    let Observations { jobs, violations } = std::mem::take(&mut *lock(&observations));
    let mut all = std::mem::take(&mut environment.violations);
    all.extend(not_ready);
    all.extend(violations);
    all.extend(find_violations(&jobs, &records, WORKER_MILLICORES));
    all.extend(find_overloads(&environment.workers.overloads()));
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
