//! Several instances, with connections of their own, on a platform in memory.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_cell::{
    Advisor, Answer, Instance, Metrics, Platform, QueueRoute, Routes, Settings, Store,
};
use jackdawchute_scheduler::{AdviceCost, JobGraph, JobOutcome, JobStatus, QueuePolicy, StepSpec};
use jackdawchute_standins::cell::{
    MemoryAdvisor, MemoryDirectory, MemoryStore, MemoryWorkers, SerialAdvisor, StoreHandle,
};
use jackdawchute_types::{JobId, Resources};
use tokio::sync::watch;

/// How long a caller waits for an answer.
const DEADLINE: Duration = Duration::from_secs(3);
/// How long a test waits for what must come about.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long each task runs.
const TASK_TIME: Duration = Duration::from_millis(150);

struct Member {
    instance: Instance,
    store: StoreHandle,
    directory: MemoryDirectory,
    address: SocketAddr,
}

struct Cell {
    members: Vec<Member>,
    workers: MemoryWorkers,
    store: MemoryStore,
    routes: watch::Sender<Routes>,
    advisor: Arc<dyn Advisor>,
}

/// A route whose jobs need advice of 200 ms a question.
fn advised_route() -> QueueRoute {
    let mut route = route();
    route.policy.advice = Some(AdviceCost {
        fixed_ms: 200.0,
        per_worker_ms: 0.0,
        valid: Duration::from_millis(2_500),
    });
    route
}

fn route() -> QueueRoute {
    QueueRoute {
        host: "host".into(),
        path_prefix: "/queue/".into(),
        policy: QueuePolicy {
            queue: "queue".into(),
            service: "service".into(),
            priority: 0,
            attempts_max: 3,
            stretch: 10.0,
            target: Duration::from_secs(20),
            advice: None,
        },
    }
}

fn routes(version: u64) -> Routes {
    Routes {
        version,
        queues: vec![route()],
        body_bytes_max: 1_000_000,
    }
}

fn graph(tasks: u32) -> JobGraph {
    JobGraph {
        payload: "payload".into(),
        steps: vec![StepSpec {
            tasks,
            resources: Resources::new(1_000, 10, 0),
            estimate: TASK_TIME,
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

/// Instances with a core each.
async fn cell(instances: usize) -> Cell {
    cell_of(&vec![1_000; instances]).await
}

/// Instances with so many thousandths of a core, started one after the other.
async fn cell_of(processors_millicores: &[u64]) -> Cell {
    cell_with(processors_millicores, Arc::new(MemoryAdvisor)).await
}

/// Instances that ask the same advisor.
async fn cell_with(processors_millicores: &[u64], advisor: Arc<dyn Advisor>) -> Cell {
    let store = MemoryStore::default();
    let workers = MemoryWorkers::new(4, TASK_TIME);
    let mut cell = Cell {
        members: Vec::new(),
        workers,
        store,
        routes: watch::channel(routes(1)).0,
        advisor,
    };
    for processor_millicores in processors_millicores {
        cell.add(*processor_millicores).await;
    }
    cell.wait_until_ready().await;
    cell
}

async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < deadline, "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

impl Cell {
    async fn add(&mut self, processor_millicores: u64) {
        let handle = self.store.handle();
        let directory = MemoryDirectory::new(self.workers.entries(), self.routes.subscribe());
        let address = free_address();
        let settings = Settings {
            instance: smol_str::format_smolstr!("entry-{}", self.members.len()),
            peer_listen: address,
            peer_address: address,
            processor_millicores,
            scheduler: jackdawchute_scheduler::Settings::default(),
        };
        let platform = Platform {
            store: Arc::new(handle.clone()),
            workers: Arc::new(self.workers.clone()),
            advisor: self.advisor.clone(),
            directory: Arc::new(directory.clone()),
        };
        let instance = Instance::start(settings, platform, Metrics::default());
        self.members.push(Member {
            instance: instance.await.expect("the port is still free"),
            store: handle,
            directory,
            address,
        });
    }

    async fn wait_until_ready(&self) {
        for member in &self.members {
            wait_for("instance is ready", || member.instance.gateway.ready()).await;
        }
    }

    /// The index of the instance that the store names as the scheduling one.
    async fn leader(&self) -> usize {
        let page = self.store.handle().read("leader", "cell", None).await;
        let row = page.expect("nobody is denied here").rows.remove(0);
        let text = String::from_utf8(row.value.expect("a row")).expect("text");
        let named = |member: &Member| text.contains(&member.address.to_string());
        self.members.iter().position(named).expect("an instance")
    }

    async fn submit(&self, through: usize, job: &str, tasks: u32) -> Answer {
        let gateway = &self.members[through].instance.gateway;
        gateway
            .submit(job.into(), graph(tasks), &route(), DEADLINE)
            .await
    }

    /// Submits again, as callers do, until the job is accepted.
    async fn submit_until_accepted(&self, through: usize, job: &str, tasks: u32) {
        let deadline = Instant::now() + PATIENCE;
        loop {
            let answer = self.submit(through, job, tasks).await;
            if answer == Answer::Accepted {
                return;
            }
            assert!(Instant::now() < deadline, "{job}: {answer:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn status(&self, through: usize, job: &str) -> Answer {
        let gateway = &self.members[through].instance.gateway;
        gateway.status(job.into(), DEADLINE).await
    }

    async fn wait_until_completed(&self, through: usize, job: &str) {
        let completed = Answer::Status(JobStatus::Ended(JobOutcome::Completed));
        let deadline = Instant::now() + PATIENCE;
        while self.status(through, job).await != completed {
            assert!(Instant::now() < deadline, "{job} has not completed");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Asserts that no task ran twice at once, nor again after it had succeeded.
    fn assert_nothing_ran_twice(&self) {
        let mut by_task: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for record in self.workers.records() {
            by_task.entry(record.task.clone()).or_default().push(record);
        }
        for (task, runs) in by_task {
            assert_eq!(runs.len(), 1, "{task:?}: {runs:?}");
        }
    }
}

#[tokio::test]
async fn a_job_runs_whichever_instance_its_caller_reaches() {
    let cell = cell(3).await;

    for through in 0..3 {
        let job = format!("job-{through}");
        assert_eq!(cell.submit(through, &job, 3).await, Answer::Accepted);
        cell.wait_until_completed((through + 1) % 3, &job).await;
    }

    assert_eq!(cell.workers.records().len(), 9);
    cell.assert_nothing_ran_twice();
}

#[tokio::test]
async fn the_same_job_is_accepted_once() {
    let cell = cell(3).await;

    for through in [0, 1, 2, 0] {
        assert_eq!(cell.submit(through, "job", 2).await, Answer::Accepted);
    }
    cell.wait_until_completed(0, "job").await;
    assert_eq!(cell.submit(1, "job", 2).await, Answer::Accepted);
    tokio::time::sleep(TASK_TIME).await;

    assert_eq!(cell.workers.records().len(), 2);
}

#[tokio::test]
async fn another_instance_schedules_when_the_store_turns_the_scheduling_one_away() {
    let cell = cell(3).await;
    let leader = cell.leader().await;
    cell.submit_until_accepted(leader, "before", 4).await;

    cell.members[leader].store.deny(true);
    cell.members[leader].directory.deny(true);
    let other = (leader + 1) % 3;
    cell.submit_until_accepted(other, "after", 4).await;
    // The replaced instance serves its callers through the new one.
    cell.submit_until_accepted(leader, "through-the-replaced", 2)
        .await;

    for job in ["before", "after", "through-the-replaced"] {
        cell.wait_until_completed(leader, job).await;
    }
    assert_ne!(cell.leader().await, leader);
    cell.assert_nothing_ran_twice();
}

#[tokio::test]
async fn a_replaced_instance_never_denies_a_job_that_its_successor_accepted() {
    let cell = cell(3).await;
    let leader = cell.leader().await;
    let other = (leader + 1) % 3;
    cell.members[leader].store.deny(true);

    cell.submit_until_accepted(other, "job", 1).await;
    let gateway = &cell.members[leader].instance.gateway;
    let job: JobId = "job".into();
    let status = gateway.status(job.clone(), DEADLINE).await;
    let cancelled = gateway.cancel(job, DEADLINE).await;

    let unknown = Answer::Status(JobStatus::Unknown);
    assert_ne!(status, unknown);
    assert_ne!(cancelled, unknown);
}

#[tokio::test]
async fn lost_answers_of_the_store_neither_lose_nor_double_a_job() {
    let cell = cell(2).await;
    for member in &cell.members {
        member.store.lose_answers(3);
    }

    for index in 0..20 {
        let job = format!("job-{index}");
        cell.submit_until_accepted(index % 2, &job, 1).await;
    }
    for index in 0..20 {
        cell.wait_until_completed(0, &format!("job-{index}")).await;
    }

    assert_eq!(cell.workers.records().len(), 20);
    cell.assert_nothing_ran_twice();
}

#[tokio::test]
async fn nothing_is_accepted_while_the_store_is_away_and_what_runs_goes_on() {
    let cell = cell(2).await;
    cell.submit_until_accepted(0, "before", 8).await;
    for member in &cell.members {
        member.store.deny(true);
    }
    tokio::time::sleep(Duration::from_millis(600)).await;

    let asked_at = Instant::now();
    let answer = cell.submit(1, "refused", 1).await;
    let took = asked_at.elapsed();
    let started_meanwhile = cell.workers.records().len();
    for member in &cell.members {
        member.store.deny(false);
    }
    cell.wait_until_completed(1, "before").await;

    let Answer::Unavailable { retry_after } = answer else {
        panic!("{answer:?}");
    };
    assert!(retry_after >= Duration::from_secs(1));
    assert!(took < Duration::from_secs(1), "{took:?}");
    assert_eq!(started_meanwhile, 8);
    cell.assert_nothing_ran_twice();
}

#[tokio::test]
async fn a_slow_store_gets_no_more_jobs_than_it_can_save_in_time() {
    let cell = Arc::new(cell(1).await);
    cell.members[0].store.slow_down(Duration::from_millis(400));
    cell.submit_until_accepted(0, "first", 1).await;

    let submissions = (0..1_500).map(|index| {
        let cell = Arc::clone(&cell);
        tokio::spawn(async move {
            let asked_at = Instant::now();
            let answer = cell.submit(0, &format!("job-{index}"), 1).await;
            (answer, asked_at.elapsed())
        })
    });
    let submissions: Vec<_> = submissions.collect();
    let (mut accepted, mut refused) = (0, 0);
    for submission in submissions {
        match submission.await.expect("no panic") {
            (Answer::Accepted, _) => accepted += 1,
            (Answer::Unavailable { retry_after }, took) => {
                assert!(retry_after >= Duration::from_secs(1), "{retry_after:?}");
                assert!(took < Duration::from_secs(1), "held for {took:?}");
                refused += 1;
            }
            (answer, took) => panic!("{answer:?} after {took:?}"),
        }
    }

    assert!(accepted >= 90, "{accepted} accepted, {refused} refused");
    assert!(refused >= 500, "{accepted} accepted, {refused} refused");
}

#[tokio::test]
async fn a_leaving_instance_hands_over_without_a_pause() {
    let cell = cell(3).await;
    let leader = cell.leader().await;

    cell.members[leader].instance.leave().await;
    let asked_at = Instant::now();
    cell.submit_until_accepted((leader + 1) % 3, "job", 2).await;
    let took = asked_at.elapsed();
    cell.wait_until_completed((leader + 2) % 3, "job").await;

    assert!(!cell.members[leader].instance.gateway.ready());
    assert!(took < Duration::from_secs(1), "{took:?}");
    wait_for_leader_other_than(&cell, leader).await;
}

async fn wait_for_leader_other_than(cell: &Cell, old: usize) {
    let deadline = Instant::now() + PATIENCE;
    while cell.leader().await == old {
        assert!(Instant::now() < deadline, "the epoch is not handed over");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn the_strongest_instance_gets_the_epoch_when_it_joins() {
    let mut cell = cell_of(&[120, 120]).await;
    let weak = cell.leader().await;
    cell.submit_until_accepted(0, "before", 4).await;

    cell.add(500).await;
    wait_for_leader_other_than(&cell, weak).await;
    cell.submit_until_accepted(0, "after", 4).await;

    assert_eq!(cell.leader().await, 2);
    for job in ["before", "after"] {
        cell.wait_until_completed(1, job).await;
    }
    cell.assert_nothing_ran_twice();
}

#[tokio::test]
async fn a_leaving_instance_hands_over_to_the_strongest() {
    let mut cell = cell_of(&[500]).await;
    for processor_millicores in [120, 500, 120] {
        cell.add(processor_millicores).await;
    }
    cell.wait_until_ready().await;

    cell.members[0].instance.leave().await;
    wait_for_leader_other_than(&cell, 0).await;

    assert_eq!(cell.leader().await, 2);
}

#[tokio::test]
async fn an_instance_without_the_store_applies_the_configuration_of_a_peer() {
    let cell = cell(3).await;
    let denied = (cell.leader().await + 1) % 3;
    cell.members[denied].store.deny(true);
    cell.members[denied].directory.deny(true);

    cell.routes.send_replace(routes(5));

    let version = || cell.members[denied].instance.gateway.routes().version;
    wait_for("the version is applied", || version() == 5).await;
}

#[tokio::test]
async fn an_advisor_that_was_overrun_serves_all_jobs_again() {
    let overrun = SerialAdvisor::busy_for(Duration::from_secs(3));
    let cell = cell_with(&[1_000], Arc::new(overrun)).await;
    let gateway = &cell.members[0].instance.gateway;
    let route = advised_route();

    // Eight seconds of advice, in a cell that has asked for none before.
    let jobs: Vec<String> = (0..40).map(|index| format!("job-{index}")).collect();
    for job in &jobs {
        let submitted = gateway.submit(job.as_str().into(), graph(1), &route, DEADLINE);
        assert_eq!(submitted.await, Answer::Accepted);
    }

    for job in &jobs {
        cell.wait_until_completed(0, job).await;
    }
}
