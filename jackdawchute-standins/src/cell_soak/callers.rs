//! Callers that submit jobs, try again, ask and cancel.

use std::{
    collections::BTreeMap,
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

use super::{stage::TASK_TIME, SentJob};
use crate::{
    balancer::{BalancerTask, Pick},
    lock::lock,
};

/// How often a job is submitted.
const JOB_PERIOD: Duration = Duration::from_millis(125);
/// How long callers wait for an answer, as the users' sheets say.
const DEADLINE: Duration = Duration::from_secs(3);
/// How often a job is submitted again at the most.
const RETRIES: usize = 4;
/// The pause before that.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How often callers ask what became of their job.
const ASK_PERIOD: Duration = Duration::from_millis(500);
/// From here on an accepted job must not be denied, as the platform bounds it.
const VISIBLE: Duration = Duration::from_millis(3_000);
/// The share of the jobs that are cancelled.
const CANCELLED_SHARE: f64 = 0.1;
/// The most tasks of a step.
const TASKS_MAX: u32 = 4;

/// The jobs so far, and answers that must not be.
#[derive(Debug, Default)]
pub(super) struct Told {
    pub(super) jobs: BTreeMap<JobId, SentJob>,
    pub(super) violations: Vec<String>,
}

/// What all callers share.
#[derive(Clone)]
pub(super) struct Callers {
    pub(super) caller: PlatformCaller,
    pub(super) balancer: Address<BalancerTask>,
    pub(super) told: Arc<Mutex<Told>>,
}

impl Callers {
    pub(super) fn new(balancer: Address<BalancerTask>) -> Self {
        Self {
            caller: PlatformCaller::new(DEADLINE),
            balancer,
            told: Arc::default(),
        }
    }

    /// Submits jobs until told to end; then waits until each is over or `give_up` has passed.
    pub(super) async fn run(
        self,
        seed: u64,
        routes: Routes,
        mut end: tokio::sync::watch::Receiver<bool>,
        give_up: Duration,
    ) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut open = JoinSet::new();
        let mut period = tokio::time::interval(JOB_PERIOD);
        let mut index: u32 = 0;
        while !*end.borrow() {
            tokio::select! {
                _ = period.tick() => {}
                _ = end.changed() => continue,
            }
            let route = routes.queues[random.random_range(0..routes.queues.len())].clone();
            let graph = draw_job(&mut random, index);
            let cancel_after = random
                .random_bool(CANCELLED_SHARE)
                .then(|| Duration::from_millis(random.random_range(0..1_500)));
            let job = job_id(seed, index);
            open.spawn(self.clone().follow(job, route, graph, cancel_after));
            index += 1;
        }
        let all = async { while open.join_next().await.is_some() {} };
        // What is still open then is found unfinished.
        let _ = tokio::time::timeout(give_up, all).await;
    }

    /// One job from its submission until it is over.
    async fn follow(
        self,
        job: JobId,
        route: QueueRoute,
        graph: JobGraph,
        cancel_after: Option<Duration>,
    ) {
        let sent = SentJob {
            graph,
            sent_at: Some(Instant::now()),
            ..SentJob::default()
        };
        let graph = sent.graph.clone();
        lock(&self.told).jobs.insert(job.clone(), sent);
        if !self.submit(&job, &route, &graph).await {
            return;
        }
        let accepted_at = Instant::now();
        self.note(&job, |sent| sent.accepted_at = Some(accepted_at));
        if let Some(after) = cancel_after {
            sleep(after).await;
            self.cancel(&job, &route).await;
            return;
        }
        loop {
            sleep(ASK_PERIOD).await;
            let Some(instance) = self.pick().await else {
                continue;
            };
            let asked_at = Instant::now();
            match self.caller.status(instance, &route, &job).await {
                CallerAnswer::Status(JobStatus::Ended(JobOutcome::Completed)) => {
                    let now = Instant::now();
                    self.note(&job, |sent| sent.completed_at = Some(now));
                    return;
                }
                CallerAnswer::Status(JobStatus::Ended(outcome)) => {
                    self.violated(format!("job {job} is shown as {outcome:?}"));
                    return;
                }
                CallerAnswer::Gone if asked_at > accepted_at + VISIBLE => {
                    self.violated(format!("job {job} was accepted and is denied"));
                    return;
                }
                CallerAnswer::NoQueue => {
                    self.violated(format!("the queue of job {job} is denied"));
                    return;
                }
                _ => {}
            }
        }
    }

    /// Whether it was accepted, after as many tries as callers make.
    async fn submit(&self, job: &JobId, route: &QueueRoute, graph: &JobGraph) -> bool {
        let mut all_refused = true;
        for _ in 0..=RETRIES {
            let answer = match self.pick().await {
                Some(instance) => self.caller.submit(instance, route, job, graph).await,
                None => CallerAnswer::Unknown,
            };
            match answer {
                CallerAnswer::Done => return true,
                CallerAnswer::Refused => {}
                CallerAnswer::NoQueue => {
                    self.violated(format!("the queue of job {job} is denied"));
                }
                _ => all_refused = false,
            }
            sleep(RETRY_PAUSE).await;
        }
        self.note(job, |sent| sent.refused = all_refused);
        false
    }

    async fn cancel(&self, job: &JobId, route: &QueueRoute) {
        self.note(job, |sent| sent.cancel_sent = true);
        for _ in 0..=RETRIES {
            if let Some(instance) = self.pick().await {
                match self.caller.cancel(instance, route, job).await {
                    CallerAnswer::Done => {
                        let now = Instant::now();
                        self.note(job, |sent| sent.cancelled_at = Some(now));
                        return;
                    }
                    CallerAnswer::Gone => return,
                    _ => {}
                }
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn pick(&self) -> Option<std::net::SocketAddr> {
        self.balancer.send(Pick).await.ok().flatten()
    }

    fn note(&self, job: &JobId, change: impl FnOnce(&mut SentJob)) {
        if let Some(sent) = lock(&self.told).jobs.get_mut(job) {
            change(sent);
        }
    }

    fn violated(&self, what: String) {
        lock(&self.told).violations.push(what);
    }
}

/// Sixteen hexadecimal digits, as the platform asks for.
fn job_id(seed: u64, index: u32) -> JobId {
    format_smolstr!("{:08x}{index:08x}", seed as u32)
}

/// One or two steps of a few tasks of a core each.
fn draw_job(random: &mut StdRng, index: u32) -> JobGraph {
    let mut step = |after: Vec<u32>| StepSpec {
        tasks: random.random_range(1..=TASKS_MAX),
        resources: Resources::new(1_000, 256, 0),
        estimate: TASK_TIME,
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
