//! Runs a soak, and compares the responses to callers with the records of minions and workers.

use std::{collections::BTreeSet, fs, io, path::Path, time::Duration};

use async_trait::async_trait;
use jackdawchute_types::{JobId, JobKind, JobSpec, JobState, Resources};
use smol_str::format_smolstr;
use tokio::time::{sleep, Instant};
use xtra::Address;

use super::{
    schedule::{inject_faults, wait_until_stable, Environment, SUPERVISION_PERIOD},
    Fault, SoakPlan, SoakReport,
};
use crate::{
    balancer::{BalancerTask, ReadReady, Target},
    caller::Caller,
    harness::{Cell, CellEntry, CellOptions, ServicePlan, WorkerPlan, DEADLINE},
    load::{ClassPlan, Finished, Plan},
    Error, Result,
};

/// How often a job is submitted.
const JOB_PERIOD: Duration = Duration::from_millis(900);
/// The time at the end of the load in which requests must be answered again.
const RECOVERED_TIME: Duration = Duration::from_secs(2);
/// The share of the requests in [`RECOVERED_TIME`] that must be answered, in percent.
const RECOVERED_PERCENT: usize = 95;
/// The longest duration of the load, if it is not stopped before.
const LOAD_MAX: Duration = Duration::from_secs(300);
/// The exit code of an instance that was fenced by a successor.
const FENCED_EXIT_CODE: i32 = 1;

/// Runs a soak with the shipped binary.
///
/// # Errors
/// A stand-in or a process did not start, or a fault could not be injected.
pub async fn run(program: &Path, plan: &SoakPlan) -> Result<SoakReport<Fault>> {
    let cell = Cell::start(options(program, plan)).await?;
    let load = cell.start_load(&load_plan(plan.seed))?;
    let disturbances = plan.disturbances();
    let began_at = Instant::now();

    let jobs = tokio::spawn(submit_jobs(
        cell.balancer.clone(),
        Caller::new()?,
        began_at + plan.duration,
    ));
    let mut supervisor = Supervisor {
        cell,
        down: BTreeSet::new(),
        violations: Vec::new(),
    };
    inject_faults(&mut supervisor, &disturbances, began_at).await?;
    let balancer = supervisor.cell.balancer.clone();
    let not_ready = wait_until_stable(&mut supervisor, &balancer).await?;
    let Supervisor {
        cell,
        mut violations,
        ..
    } = supervisor;
    let stable_until = began_at.elapsed();
    let finished = load.stop().await;
    let jobs = jobs
        .await
        .map_err(|cause| Error::Invalid("submit jobs", "soak".into(), cause.to_string()))?;

    violations.extend(not_ready);
    violations.extend(unanswered(&finished, stable_until));
    violations.extend(unfinished_jobs(&cell, &jobs).await?);
    violations.extend(cell.discrepancies(&finished).await?);
    save_logs(cell.logs(), plan.logs.as_deref(), plan.seed, &violations)?;
    Ok(SoakReport {
        seed: plan.seed,
        disturbances,
        load: format!("{} requests, {} jobs", finished.len(), jobs.len()),
        violations,
    })
}

/// Copies the logs of a soak with violations to `folder/seed-N`, if a folder is given.
pub(crate) fn save_logs(
    from: &Path,
    folder: Option<&Path>,
    seed: u64,
    violations: &[String],
) -> Result<()> {
    let Some(folder) = folder.filter(|_| !violations.is_empty()) else {
        return Ok(());
    };
    let to = folder.join(format!("seed-{seed}"));
    copy_logs(from, &to).map_err(|cause| Error::Io("save logs", to.display().to_string(), cause))
}

fn copy_logs(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for file in fs::read_dir(from)? {
        let file = file?;
        if file.path().extension().is_some_and(|it| it == "log") {
            fs::copy(file.path(), to.join(file.file_name()))?;
        }
    }
    Ok(())
}

fn options(program: &Path, plan: &SoakPlan) -> CellOptions {
    CellOptions {
        entries: plan.entries,
        services: vec![ServicePlan {
            service: "repair-desk".into(),
            minions: plan.minions,
            slots: 8,
            connections: 64,
        }],
        workers: WorkerPlan {
            workers: plan.workers,
            workers_per_rack: 2,
            resources: Resources::new(4_000, 16_384, 0),
        },
        ..CellOptions::new(program)
    }
}

fn load_plan(seed: u64) -> Plan {
    Plan {
        seed,
        duration: LOAD_MAX,
        count_max: 100_000,
        classes: vec![
            ClassPlan::new("order", 20.0, "POST", "/repair-desk/orders?service_ms=50").keyed(),
            ClassPlan::new("quote", 40.0, "GET", "/repair-desk/quotes?service_ms=50"),
        ],
    }
}

fn batch(index: usize) -> JobSpec {
    JobSpec {
        kind: JobKind::Batch,
        class: "batch".into(),
        team: "micdejun".into(),
        tasks: 2,
        resources: Resources::new(500, 1_024, 0),
        run_time: Duration::default(),
        deadline: Duration::default(),
        // Soaks that run side by side must not have the same keys.
        idempotency_key: Some(format_smolstr!("batch-{}-{index}", std::process::id())),
        command: "run_ms=300".into(),
    }
}

/// Submits jobs to the ready instances in turn; returns those that were accepted.
async fn submit_jobs(
    balancer: Address<BalancerTask>,
    caller: Caller,
    until: Instant,
) -> Vec<JobId> {
    let mut accepted = Vec::new();
    let mut index = 0;
    while Instant::now() < until {
        let ready = balancer.send(ReadReady).await.unwrap_or_default();
        if let Some(target) = ready.get(index % ready.len().max(1)) {
            if let Ok(status) = caller.submit(target.callers, &batch(index)).await {
                accepted.push(status.id);
            }
        }
        index += 1;
        sleep(JOB_PERIOD).await;
    }
    accepted
}

/// A cell whose instances are restarted when they exit.
struct Supervisor {
    cell: Cell,
    /// The indices of the instances that a fault has stopped.
    down: BTreeSet<usize>,
    /// Unexpected exits of instances.
    violations: Vec<String>,
}

#[async_trait]
impl Environment<Fault> for Supervisor {
    async fn begin_fault(&mut self, fault: &Fault) -> Result<()> {
        if let Fault::Kill(index) | Fault::Terminate(index) = fault {
            self.down.insert(*index);
        }
        fault.begin(&mut self.cell).await
    }

    async fn end_fault(&mut self, fault: &Fault) -> Result<()> {
        fault.end(&mut self.cell).await?;
        if let Fault::Kill(index) | Fault::Terminate(index) = fault {
            self.down.remove(index);
        }
        Ok(())
    }

    async fn restart_exited(&mut self) -> Result<()> {
        for index in 0..self.cell.entries.len() {
            let entry = &mut self.cell.entries[index];
            let Some(status) = entry.process.exit_status()? else {
                continue;
            };
            if self.down.contains(&index) {
                continue;
            }
            if status.code() != Some(FENCED_EXIT_CODE) {
                self.violations
                    .push(format!("{} exited unexpectedly: {status}", entry.name));
            }
            self.cell.restart_entry(index).await?;
        }
        Ok(())
    }

    fn targets(&self) -> Vec<Target> {
        self.cell.entries.iter().map(CellEntry::target).collect()
    }
}

/// Returns a violation if too few of the requests at the end of the load were answered.
fn unanswered(finished: &[Finished], stable_until: Duration) -> Option<String> {
    let from = stable_until.saturating_sub(RECOVERED_TIME);
    let last: Vec<_> = finished.iter().filter(|it| it.intended >= from).collect();
    let answered = last.iter().filter(|it| it.outcome.is_answered()).count();
    let recovered = answered * 100 >= last.len() * RECOVERED_PERCENT;
    (!recovered || last.is_empty()).then(|| {
        let failed = last.iter().find(|it| !it.outcome.is_answered());
        let first = failed.map(ToString::to_string).unwrap_or_default();
        format!(
            "{answered} of the last {} requests answered; {first}",
            last.len()
        )
    })
}

/// Returns a violation for each accepted job that does not succeed after all faults have ended.
async fn unfinished_jobs(cell: &Cell, jobs: &[JobId]) -> Result<Vec<String>> {
    let caller = Caller::new()?;
    let address = cell.entries[0].process.callers;
    let give_up_at = Instant::now() + DEADLINE;
    let mut unfinished = Vec::new();
    for job in jobs {
        loop {
            let status = caller.job(address, job).await;
            let state = status.as_ref().ok().map(|status| status.state);
            if state == Some(JobState::Succeeded) {
                break;
            }
            if Instant::now() >= give_up_at {
                unfinished.push(format!("job {job} has not succeeded: {status:?}"));
                break;
            }
            sleep(SUPERVISION_PERIOD).await;
        }
    }
    Ok(unfinished)
}
