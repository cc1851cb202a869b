//! Runs a soak of `cell`, and compares the responses to callers with the records of the workers.

use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use rand::{rngs::StdRng, SeedableRng};
use tokio::sync::watch;

use super::{
    callers::{Callers, Observations},
    check::find_violations,
    environment::CellEnvironment,
    fault::{draw_fault, draw_partition, PARTITION_DURATION_MS},
    CellFault,
};
use crate::{
    balancer::ReadReady,
    harness::{wait_until, DEADLINE},
    lock::lock,
    soak::{
        save_logs,
        schedule::{draw_disturbances, inject_faults, wait_until_stable, FAULT_DURATION_MS},
        Disturbance, SoakReport,
    },
    Error, Result,
};

/// The time at the end of the load in which jobs must be accepted again.
const RECOVERED_TIME: Duration = Duration::from_secs(3);
/// The share of the jobs in [`RECOVERED_TIME`] that must be accepted, in percent.
const RECOVERED_PERCENT: usize = 95;
/// The processors of each stand-in worker, in thousandths of a core.
const WORKER_MILLICORES: u64 = 4_000;

/// Draws a fault for a cell of so many instances and workers.
type DrawFault = fn(&mut StdRng, usize, usize) -> CellFault;

/// The kinds of faults that a plan draws from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKinds {
    /// Faults of single processes, networks and workers, and of the store.
    Single,
    /// Partitions by failure domain and isolated instances, with some faults of the other kinds.
    Partitions,
}

/// The configuration of a soak of `cell`.
#[derive(Clone, Debug)]
pub struct CellSoakPlan {
    /// The seed of the faults and the load.
    pub seed: u64,
    /// The number of instances.
    pub instances: usize,
    /// The number of workers.
    pub workers: usize,
    /// The kinds of faults to draw from.
    pub kinds: FaultKinds,
    /// The period in which faults begin.
    pub duration: Duration,
    /// The folder to which the instances' logs are copied if there are violations, into a subfolder
    /// for the seed.
    pub logs: Option<PathBuf>,
}

impl CellSoakPlan {
    /// Creates a plan for four instances and six workers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell_soak::CellSoakPlan;
    ///
    /// let plan = CellSoakPlan::new(7, Duration::from_secs(10));
    /// assert_eq!(plan.disturbances(), plan.disturbances());
    /// ```
    pub fn new(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            instances: 4,
            workers: 6,
            kinds: FaultKinds::Single,
            duration,
            logs: None,
        }
    }

    /// Creates a plan like [`new`](Self::new) with partitions by failure domain.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell_soak::{CellFault, CellSoakPlan};
    ///
    /// let plan = CellSoakPlan::partitions(1, Duration::from_secs(30));
    /// let is_partition = |fault: &CellFault| matches!(fault, CellFault::Partition { .. });
    /// assert!(plan.disturbances().iter().any(|it| is_partition(&it.fault)));
    /// ```
    pub fn partitions(seed: u64, duration: Duration) -> Self {
        Self {
            kinds: FaultKinds::Partitions,
            ..Self::new(seed, duration)
        }
    }

    /// Returns the faults in the order in which they begin; those of one part of the cell do not
    /// overlap.
    pub fn disturbances(&self) -> Vec<Disturbance<CellFault>> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let (draw, duration_ms): (DrawFault, _) = match self.kinds {
            FaultKinds::Single => (draw_fault, FAULT_DURATION_MS),
            FaultKinds::Partitions => (draw_partition, PARTITION_DURATION_MS),
        };
        draw_disturbances(&mut random, self.duration, duration_ms, |random| {
            draw(random, self.instances, self.workers)
        })
    }
}

/// Runs a soak with the shipped binary.
///
/// # Errors
/// A stand-in or a process did not start, or a fault could not be injected.
pub async fn run(program: &Path, plan: &CellSoakPlan) -> Result<SoakReport<CellFault>> {
    let mut environment = CellEnvironment::start(program, plan.instances, plan.workers).await?;
    wait_until("ready instances", || async {
        let ready = environment.balancer.send(ReadReady).await.ok()?;
        (ready.len() == plan.instances).then_some(())
    })
    .await?;
    let callers = Callers::new(environment.balancer.clone());
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
    let Observations { jobs, violations } = std::mem::take(&mut *lock(&observations));
    let mut all = std::mem::take(&mut environment.violations);
    all.extend(not_ready);
    all.extend(violations);
    all.extend(find_violations(&jobs, &records, WORKER_MILLICORES));
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
            "{accepted} of {} jobs accepted, {} starts",
            jobs.len(),
            records.len()
        ),
        violations: all,
    })
}
