//! Callers that submit jobs with retries, poll their status and cancel some of them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use jackdawchute_adapter::standins::{CallerAnswer, PlatformCaller};
use jackdawchute_cell::{QueueRoute, Routes};
use jackdawchute_scheduler::{JobGraph, JobOutcome, JobStatus, StepSpec};
use jackdawchute_types::{JobId, Resources};
use rand::{rngs::StdRng, Rng, SeedableRng};
use smol_str::format_smolstr;
use tokio::{task::JoinSet, time::sleep};
use xtra::Address;

use super::{
    connections::Connections, tenants::SoakTenants, CellSoakPlan, FaultKinds, SentJob, TaskLoad,
};
use crate::{
    balancer::{BalancerTask, Pick},
    cell::MemoryWorkers,
    lock::lock,
};

/// How long callers wait for a response, as the users' specifications state.
const DEADLINE: Duration = Duration::from_secs(3);
/// The maximum number of retries of a submission or cancellation.
const RETRIES: usize = 4;
/// The pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How often callers read the status of their job.
const STATUS_PERIOD: Duration = Duration::from_millis(500);
/// The platform's bound on the time from the acceptance of a job until every instance knows it.
const VISIBLE_MAX: Duration = Duration::from_millis(3_000);
/// The share of jobs that are cancelled.
const CANCELLED_SHARE: f64 = 0.1;
/// The maximum number of tasks of a step.
const TASKS_MAX: u32 = 4;

/// What callers have observed: their jobs, and the responses that are violations.
#[derive(Debug, Default)]
pub(super) struct Observations {
    pub(super) jobs: BTreeMap<JobId, SentJob>,
    pub(super) violations: Vec<String>,
}

/// The state that all callers share.
#[derive(Clone)]
pub(super) struct Callers {
    pub(super) caller: PlatformCaller,
    pub(super) balancer: Address<BalancerTask>,
    pub(super) observations: Arc<Mutex<Observations>>,
    /// The workers, which count the processors that each job's tasks use.
    workers: MemoryWorkers,
    load: TaskLoad,
    /// The tenants that the callers belong to; `None` in a soak without tenants.
    tenants: Option<SoakTenants>,
    /// The connections that callers keep using; `None` if each call goes to a ready instance.
    connections: Option<Connections>,
}

impl Callers {
    pub(super) fn new(
        balancer: Address<BalancerTask>,
        workers: MemoryWorkers,
        plan: &CellSoakPlan,
        tenants: Option<SoakTenants>,
    ) -> Self {
        let keeps_connections = plan.kinds == FaultKinds::RestartedLeases;
        Self {
            workers,
            load: plan.load,
            tenants,
            connections: keeps_connections.then(Connections::default),
            caller: PlatformCaller::new(DEADLINE),
            balancer,
            observations: Arc::default(),
        }
    }

    /// Submits jobs until `end` is true, then waits until all have ended, for `wait_max` at most.
    pub(super) async fn run(
        self,
        seed: u64,
        routes: Routes,
        mut end: tokio::sync::watch::Receiver<bool>,
        wait_max: Duration,
    ) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut open = JoinSet::new();
        let mut period = tokio::time::interval(self.load.job_period);
        let mut index: u32 = 0;
        while !*end.borrow() {
            if index == 0 || index >= self.load.jobs_at_start {
                tokio::select! {
                    _ = period.tick() => {}
                    _ = end.changed() => continue,
                }
            }
            let route = routes.queues[random.random_range(0..routes.queues.len())].clone();
            let graph = draw_job(&mut random, index, self.load.task_time);
            let cancel_after = random
                .random_bool(CANCELLED_SHARE)
                .then(|| Duration::from_millis(random.random_range(0..1_500)));
            let job = job_id(seed, index);
            let tenants = self.tenants.as_ref();
            let tenant = tenants.map(|tenants| random.random_range(0..tenants.count()));
            let caller = JobCaller {
                callers: self.clone(),
                job,
                number: index,
                route,
                tenant,
            };
            open.spawn(caller.run(graph, cancel_after));
            index += 1;
        }
        let all = async { while open.join_next().await.is_some() {} };
        // `find_violations` reports the jobs that have not completed by then.
        let _ = tokio::time::timeout(wait_max, all).await;
    }

    /// Changes the record of a job.
    fn update(&self, job: &JobId, change: impl FnOnce(&mut SentJob)) {
        if let Some(sent) = lock(&self.observations).jobs.get_mut(job) {
            change(sent);
        }
    }

    fn record_violation(&self, violation: String) {
        lock(&self.observations).violations.push(violation);
    }
}

/// The caller of one job.
struct JobCaller {
    callers: Callers,
    job: JobId,
    /// The number of the job among all.
    number: u32,
    route: QueueRoute,
    /// The tenant that the caller belongs to, by its index.
    tenant: Option<usize>,
}

impl JobCaller {
    /// Returns a client with the key that the tenant uses now, and whether the key must be in force
    /// everywhere.
    fn caller(&self) -> (PlatformCaller, bool) {
        let plain = &self.callers.caller;
        match (&self.callers.tenants, self.tenant) {
            (Some(tenants), Some(tenant)) => {
                let (key, in_force) = tenants.key(tenant);
                (plain.with_key(&key), in_force)
            }
            _ => (plain.clone(), true),
        }
    }

    /// Returns the instance of the open connection, if callers keep one, or the next ready instance.
    async fn pick(&self) -> Option<SocketAddr> {
        let connections = self.callers.connections.as_ref();
        if let Some(instance) = connections.and_then(|it| it.instance(self.number)) {
            return Some(instance);
        }
        let picked = self.callers.balancer.send(Pick).await.ok().flatten()?;
        if let Some(connections) = connections {
            connections.open(self.number, picked);
        }
        Some(picked)
    }

    /// Returns the answer of an instance, after which the connection is closed if there was none.
    fn checked(&self, instance: SocketAddr, answer: CallerAnswer) -> CallerAnswer {
        if let Some(connections) = &self.callers.connections {
            connections.check(self.number, instance, &answer);
        }
        answer
    }

    /// Records that a key was denied, if it must be in force.
    fn denied(&self, key_in_force: bool) {
        if key_in_force {
            let job = &self.job;
            self.callers
                .record_violation(format!("the key of job {job} was denied while in force"));
        }
    }

    /// Submits a job and follows it until it has ended or its cancellation was answered.
    async fn run(self, graph: JobGraph, cancel_after: Option<Duration>) {
        let job = &self.job;
        let sent = SentJob {
            graph,
            tenant: self.tenant.map(SoakTenants::name),
            sent_at: Some(Instant::now()),
            ..SentJob::default()
        };
        let graph = sent.graph.clone();
        self.callers.workers.register_job(job, &graph);
        lock(&self.callers.observations)
            .jobs
            .insert(job.clone(), sent);
        if !self.submit(&graph).await {
            return;
        }
        let accepted_at = Instant::now();
        self.callers
            .update(job, |sent| sent.accepted_at = Some(accepted_at));
        if let Some(after) = cancel_after {
            sleep(after).await;
            self.cancel().await;
            return;
        }
        loop {
            sleep(STATUS_PERIOD).await;
            let Some(instance) = self.pick().await else {
                continue;
            };
            let sent_at = Instant::now();
            let (caller, key_in_force) = self.caller();
            let answer = caller.status(instance, &self.route, job).await;
            match self.checked(instance, answer) {
                CallerAnswer::Status(JobStatus::Ended(JobOutcome::Completed)) => {
                    let now = Instant::now();
                    self.callers
                        .update(job, |sent| sent.completed_at = Some(now));
                    return;
                }
                CallerAnswer::Status(JobStatus::Ended(outcome)) => {
                    self.callers
                        .record_violation(format!("job {job} was reported as {outcome:?}"));
                    return;
                }
                CallerAnswer::Gone if sent_at > accepted_at + VISIBLE_MAX => {
                    self.callers.record_violation(format!(
                        "job {job} was accepted and reported as unknown"
                    ));
                    return;
                }
                CallerAnswer::NoQueue => {
                    self.callers.record_violation(format!(
                        "the queue of job {job} was reported as unknown"
                    ));
                    return;
                }
                CallerAnswer::Unauthorized => self.denied(key_in_force),
                _ => {}
            }
        }
    }

    /// Submits a job with retries; returns whether it was accepted.
    async fn submit(&self, graph: &JobGraph) -> bool {
        let job = &self.job;
        let mut all_refused = true;
        for _ in 0..=RETRIES {
            let (caller, key_in_force) = self.caller();
            let answer = match self.pick().await {
                Some(instance) => {
                    let answer = caller.submit(instance, &self.route, job, graph).await;
                    self.checked(instance, answer)
                }
                None => CallerAnswer::Unknown,
            };
            match answer {
                CallerAnswer::Done => return true,
                CallerAnswer::Refused => {}
                CallerAnswer::Unauthorized => self.denied(key_in_force),
                CallerAnswer::NoQueue => {
                    self.callers.record_violation(format!(
                        "the queue of job {job} was reported as unknown"
                    ));
                }
                _ => all_refused = false,
            }
            sleep(RETRY_PAUSE).await;
        }
        self.callers.update(job, |sent| sent.refused = all_refused);
        false
    }

    /// Cancels a job, with retries.
    async fn cancel(&self) {
        let job = &self.job;
        self.callers.update(job, |sent| sent.cancel_sent = true);
        for _ in 0..=RETRIES {
            if let Some(instance) = self.pick().await {
                let (caller, _) = self.caller();
                let answer = caller.cancel(instance, &self.route, job).await;
                match self.checked(instance, answer) {
                    CallerAnswer::Done => {
                        let now = Instant::now();
                        self.callers
                            .update(job, |sent| sent.cancelled_at = Some(now));
                        return;
                    }
                    CallerAnswer::Gone => return,
                    _ => {}
                }
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Returns a job id of sixteen hexadecimal digits, as the platform requires.
fn job_id(seed: u64, index: u32) -> JobId {
    format_smolstr!("{:08x}{index:08x}", seed as u32)
}

/// Draws a job of one or two steps, whose tasks need one core each.
fn draw_job(random: &mut StdRng, index: u32, task_time: Duration) -> JobGraph {
    let mut step = |after: Vec<u32>| StepSpec {
        tasks: random.random_range(1..=TASKS_MAX),
        resources: Resources::new(1_000, 256, 0),
        estimate: task_time,
        after,
        checkpoints: random.random_bool(0.5),
        ..StepSpec::default()
    };
    let mut steps = vec![step(Vec::new())];
    if index % 2 == 1 {
        steps.push(step(vec![0]));
    }
    JobGraph {
        payload: format_smolstr!("job {index}"),
        steps,
        repeat: None,
    }
}
