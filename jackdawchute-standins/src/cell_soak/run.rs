//! Plays the faults of a seed on a cell on the platform.

use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use rand::{rngs::StdRng, SeedableRng};
use tokio::sync::watch;

use super::{
    callers::{Callers, Told},
    fault::draw_fault,
    judge::judge,
    stage::CellStage,
    CellFault,
};
use crate::{
    balancer::ReadReady,
    harness::{wait_until, DEADLINE},
    lock::lock,
    soak::{
        keep_logs,
        schedule::{draw, play, wait_until_calm},
        Disturbance, SoakReport,
    },
    Error, Result,
};

/// The time at the end of the load in which jobs are to be accepted again.
const SERVED_AGAIN: Duration = Duration::from_secs(3);
/// The share of these that is to be accepted, in per cent.
const SERVED_AGAIN_PERCENT: usize = 95;
/// What each worker of the stand-ins has.
const WORKER_MILLICORES: u64 = 4_000;

/// What a soak of a cell does.
#[derive(Clone, Debug)]
pub struct CellSoakPlan {
    /// The seed of the faults and of the load.
    pub seed: u64,
    /// The number of instances.
    pub instances: usize,
    /// The number of workers.
    pub workers: usize,
    /// How long faults begin.
    pub lasts: Duration,
    /// Where the instances' logs are kept if anything is violated, in a folder for the seed.
    pub logs: Option<PathBuf>,
}

impl CellSoakPlan {
    /// Four instances and six workers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_standins::cell_soak::CellSoakPlan;
    ///
    /// let plan = CellSoakPlan::new(7, Duration::from_secs(10));
    /// assert_eq!(plan.disturbances(), plan.disturbances());
    /// ```
    pub fn new(seed: u64, lasts: Duration) -> Self {
        Self {
            seed,
            instances: 4,
            workers: 6,
            lasts,
            logs: None,
        }
    }

    /// The faults in the order in which they begin; those on one part of the cell do not overlap.
    pub fn disturbances(&self) -> Vec<Disturbance<CellFault>> {
        let mut random = StdRng::seed_from_u64(self.seed);
        draw(&mut random, self.lasts, |random| {
            draw_fault(random, self.instances, self.workers)
        })
    }
}

/// Runs a soak with the shipped binary.
///
/// # Errors
/// A stand-in or a process did not start, or a fault could not be brought about.
pub async fn run(program: &Path, plan: &CellSoakPlan) -> Result<SoakReport<CellFault>> {
    let mut stage = CellStage::start(program, plan.instances, plan.workers).await?;
    wait_until("ready instances", || async {
        let ready = stage.balancer.send(ReadReady).await.ok()?;
        (ready.len() == plan.instances).then_some(())
    })
    .await?;
    let callers = Callers::new(stage.balancer.clone());
    let told = callers.told.clone();
    let (end, ended) = watch::channel(false);
    let load = tokio::spawn(callers.run(plan.seed, stage.routes.clone(), ended, DEADLINE));
    let disturbances = plan.disturbances();

    play(&mut stage, &disturbances, tokio::time::Instant::now()).await?;
    let balancer = stage.balancer.clone();
    let restless = wait_until_calm(&mut stage, &balancer).await?;
    let calm_until = Instant::now();
    // The load looks at it as long as it lasts.
    end.send_replace(true);
    load.await
        .map_err(|cause| Error::Invalid("submit jobs", "soak".into(), cause.to_string()))?;

    let records = stage.workers.records();
    let Told { jobs, violations } = std::mem::take(&mut *lock(&told));
    let mut all = std::mem::take(&mut stage.violations);
    all.extend(restless);
    all.extend(violations);
    all.extend(judge(&jobs, &records, WORKER_MILLICORES));
    let last = jobs
        .values()
        .filter(|job| job.sent_at.is_some_and(|at| at + SERVED_AGAIN > calm_until));
    let (last, accepted_last) = last.fold((0, 0), |(all, accepted), job| {
        (all + 1, accepted + usize::from(job.accepted_at.is_some()))
    });
    if accepted_last * 100 < last * SERVED_AGAIN_PERCENT || last == 0 {
        all.push(format!("{accepted_last} of the last {last} jobs accepted"));
    }
    keep_logs(stage.logs(), plan.logs.as_deref(), plan.seed, &all)?;
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
