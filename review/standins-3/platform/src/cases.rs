//! The cases: what happens in each, and the check of its rule.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    cell::{configuration, free_address, job, unable, Cell, ADVICE_MS},
    http::{Reply, Request, Server},
    json::Json,
    minion::{Advised, Minion, RunSeen, RunsSeen},
    note,
    store::Store,
};

/// How long after the end of the traffic jobs are asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
/// How long a job may have nothing running while a task's turn has come.
const IDLE_MAX: Duration = Duration::from_secs(3);
/// The processor of a minion, in thousandths of a core.
const MINION_CPU: u64 = 32_000;

pub fn run(case: &str, trouble: bool, folder: &Path) -> Option<String> {
    match case {
        "start-unanswered" => start_unanswered(trouble, folder),
        "silent-connections" => silent_connections(trouble, folder),
        "failing-services" => failing_services(trouble, folder),
        "crash-loop" => crash_loop(trouble, folder),
        "late-order" => late_order(trouble, folder),
        _ => unable("no such case"),
    }
}

/// The platform of a case, with its minions.
struct World {
    store_server: Server,
    advisors: Vec<Server>,
    advised: Advised,
    seen: RunsSeen,
    minions: Vec<Minion>,
}

impl World {
    fn start(minions: usize) -> Self {
        let store = Store::default();
        store.put("op", "config", Some(&configuration()));
        let any: SocketAddr = free_address();
        let store_server = Server::start(any, store.handler());
        let store_server = store_server.unwrap_or_else(|cause| unable(&cause.to_string()));
        let seen: RunsSeen = Arc::new(Mutex::new(Vec::new()));
        let advised: Advised = Arc::default();
        let minion = |number: usize| {
            let id = format!("i-{:02}", number + 1);
            let rack = format!("r1-{}", number / 4 + 1);
            let labels = ["a", rack.as_str()];
            let started = Minion::start(
                &id,
                free_address(),
                &labels,
                MINION_CPU,
                &store,
                &seen,
                &advised,
            );
            started.unwrap_or_else(|cause| unable(&cause.to_string()))
        };
        let minions: Vec<Minion> = (0..minions).map(minion).collect();
        let advisors = (0..3).map(|_| advisor(&minions));
        Self {
            store_server,
            advisors: advisors.collect(),
            advised: advised.clone(),
            seen,
            minions,
        }
    }

    fn runs_of(&self, job: &str) -> Vec<RunSeen> {
        let runs = self.seen.lock().expect("no thread panics");
        let of_job = runs.iter().filter(|run| run.task.starts_with(job));
        of_job.cloned().collect()
    }

    /// Returns the processor in use and in all on the minions that are up, and how many tasks of this size
    /// fit into the rest.
    fn room(&self, size: u64) -> (u64, u64, u64) {
        let up = self.minions.iter().filter(|minion| minion.is_up());
        up.fold((0, 0, 0), |(used, all, fitting), minion| {
            let on_it = minion.cpu_in_use();
            let fit = MINION_CPU.saturating_sub(on_it) / size;
            (used + on_it, all + MINION_CPU, fitting + fit)
        })
    }

    fn note_failing_runs(&self) {
        let runs: u64 = self.minions.iter().map(Minion::failing_runs).sum();
        note!("{runs} runs of tasks that fail have begun");
    }

    /// Waits until a job has `count` runs that go on.
    fn wait_until_runs(&self, job: &str, count: usize, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let going_on = self
                .runs_of(job)
                .into_iter()
                .filter(|run| run.ended_s.is_none());
            if going_on.count() >= count {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Waits until each task of a job has a run that has ended `done`.
    fn wait_until_done(&self, job: &str, tasks: usize, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let runs = self.runs_of(job);
            let done: std::collections::BTreeSet<_> = runs
                .iter()
                .filter(|run| run.how == "done")
                .map(|run| &run.task)
                .collect();
            if done.len() >= tasks {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn minion(&self, id: &str) -> &Minion {
        let found = self.minions.iter().find(|minion| minion.id() == id);
        found.unwrap_or_else(|| unable("no such minion"))
    }
}

fn expect(held: bool, what: &str) {
    if !held {
        unable(what);
    }
}

fn id(number: u32) -> String {
    format!("5c0e7a21d94b{number:04x}")
}

/// Returns two runs of one task that went on at the same time on minions that are up.
fn at_the_same_time(runs: &[RunSeen]) -> Option<String> {
    let mut by_task: BTreeMap<&str, Vec<&RunSeen>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    for (task, runs) in by_task {
        for (index, first) in runs.iter().enumerate() {
            for second in &runs[index + 1..] {
                let first_end = first.ended_s.unwrap_or(f64::MAX);
                let second_end = second.ended_s.unwrap_or(f64::MAX);
                let from = first.began_s.max(second.began_s);
                let to = first_end.min(second_end).min(crate::record::now());
                if from < to {
                    return Some(format!(
                        "TWICE: {task} run {} on {} and run {} on {} at the same time, from {from:.3} s \
                         to {to:.3} s",
                        first.run, first.minion, second.run, second.minion
                    ));
                }
            }
        }
    }
    None
}

/// Tasks that wait: how many, and the processor that each takes.
type Waiting = (u64, u64);

/// Waits until `to`, and returns whether from `from` on nothing of the job ran although the minions had
/// capacity for its tasks twice over and less than half of it was in use.
fn stood_still(world: &World, job: &str, waiting: Waiting, from: f64, to: f64) -> bool {
    let (mut had_room, mut most_used) = (true, 0);
    while crate::record::now() < to {
        if crate::record::now() >= from {
            let (used, all, fitting) = world.room(waiting.1);
            most_used = most_used.max(used);
            had_room &= used * 2 < all && fitting >= waiting.0 * 2;
        }
        thread::sleep(Duration::from_millis(20));
    }
    note!("at most {most_used} thousandths of a core were in use; room all the while: {had_room}");
    let runs = world.runs_of(job);
    let goes_on = |run: &RunSeen| run.began_s < to && run.ended_s.is_none_or(|end| end > from);
    had_room && !runs.iter().any(goes_on)
}

/// Checks the end of the day: `finish_s` after the end of the traffic a job has nothing running for 3 s
/// while a task's turn has come and the minions have room.
fn stands_still_at_the_end(
    world: &World,
    cell: &mut Cell,
    job: &str,
    waiting: Waiting,
    traffic_ended_s: f64,
) -> Option<String> {
    let from = traffic_ended_s + FINISH.as_secs_f64();
    while crate::record::now() < from {
        thread::sleep(Duration::from_millis(20));
    }
    let state = cell.state(job);
    let to = crate::record::now() + IDLE_MAX.as_secs_f64();
    let still = stood_still(world, job, waiting, to - IDLE_MAX.as_secs_f64(), to);
    let tasks = waiting.0 as usize;
    let done = world
        .runs_of(job)
        .iter()
        .filter(|run| run.how == "done")
        .count();
    note!("{job}: {done} of {tasks} tasks are done; nothing ran for 3 s: {still}; state {state}");
    (still && done < tasks).then(|| {
        format!(
            "LOST: {job} was accepted, is `{state}`, has {done} of {tasks} tasks done, and nothing of it \
             ran from {:.3} s to {to:.3} s, 14 s after the end of the traffic",
            to - IDLE_MAX.as_secs_f64()
        )
    })
}

/// Leaves the case running until a job is done, for the record.
fn wait_for_the_record(world: &World, job: &str, tasks: usize, within: Duration) {
    if world.wait_until_done(job, tasks, within) {
        note!("{job} is done");
    } else {
        note!("{job} is not done after {} s more", within.as_secs());
    }
}

/// A minion loses power for good while an order to start a task is on its way to it.
fn start_unanswered(trouble: bool, folder: &Path) -> Option<String> {
    let world = World::start(8);
    let mut cell = Cell::start(3, world.store_server.address, &[], folder);
    cell.wait_until_ready(Duration::from_secs(15));
    let warm = id(1);
    expect(
        cell.submit(&warm, &job(8, 600, 500, Vec::new()), Duration::from_secs(5)),
        "no job is accepted",
    );
    expect(
        world.wait_until_done(&warm, 8, Duration::from_secs(10)),
        "no job runs",
    );
    let single = id(2);
    expect(
        cell.submit(
            &single,
            &job(1, 300, 500, Vec::new()),
            Duration::from_secs(5),
        ),
        "not accepted",
    );
    expect(
        world.wait_until_done(&single, 1, Duration::from_secs(10)),
        "no job runs",
    );
    let runs = world.runs_of(&single);
    let minion = runs
        .first()
        .map(|run| run.minion.clone())
        .unwrap_or_default();
    thread::sleep(Duration::from_millis(300));
    if trouble {
        world.minion(&minion).power_off();
        thread::sleep(Duration::from_millis(200));
    }
    let last = id(3);
    expect(
        cell.submit(&last, &job(1, 500, 500, Vec::new()), Duration::from_secs(5)),
        "not accepted",
    );
    let traffic_ended_s = crate::record::now();
    if trouble {
        thread::sleep(Duration::from_millis(4_500));
        world.minion(&minion).entry_lapses();
    }
    let broken = stands_still_at_the_end(&world, &mut cell, &last, (1, 500), traffic_ended_s);
    if broken.is_some() {
        wait_for_the_record(&world, &last, 1, Duration::from_secs(20));
    }
    broken
}

/// All open connections to the minions go silent for good, while new ones work.
fn silent_connections(trouble: bool, folder: &Path) -> Option<String> {
    let world = World::start(6);
    let mut cell = Cell::start(3, world.store_server.address, &[], folder);
    cell.wait_until_ready(Duration::from_secs(15));
    let ten = vec![("max_per_server", Json::number(10))];
    let warm = id(1);
    expect(
        cell.submit(&warm, &job(60, 600, 100, ten), Duration::from_secs(5)),
        "no job is accepted",
    );
    expect(
        world.wait_until_done(&warm, 60, Duration::from_secs(15)),
        "no job runs",
    );
    let one = vec![("max_per_server", Json::number(1))];
    let long = id(2);
    expect(
        cell.submit(&long, &job(6, 30_000, 1_000, one), Duration::from_secs(5)),
        "not accepted",
    );
    expect(
        world.wait_until_runs(&long, 6, Duration::from_secs(5)),
        "the job does not run",
    );
    thread::sleep(Duration::from_millis(1_000));
    let silent_s = crate::record::now();
    if trouble {
        let open: usize = world.minions.iter().map(Minion::silence_connections).sum();
        note!("{open} open connections to the minions are silent from now on; new ones work");
    }
    thread::sleep(Duration::from_millis(3_000));
    let new = id(3);
    expect(
        cell.submit(
            &new,
            &job(1, 2_000, 500, Vec::new()),
            Duration::from_secs(5),
        ),
        "not accepted",
    );
    // For 3 s, after 4 s without any disruption.
    let from = crate::record::now().max(silent_s + 4.0);
    let still = stood_still(&world, &new, (1, 500), from, from + IDLE_MAX.as_secs_f64());
    let lapsed = world
        .runs_of(&long)
        .iter()
        .filter(|run| run.how == "lapsed")
        .count();
    note!("{lapsed} of 6 running tasks have lapsed; nothing of {new} ran for 3 s: {still}");
    let broken = still.then(|| {
        format!(
            "LOST: {new} was accepted, and nothing of it ran from {from:.3} s to {:.3} s, on idle minions; \
             {lapsed} of 6 running tasks lapsed",
            from + IDLE_MAX.as_secs_f64()
        )
    });
    if broken.is_some() {
        wait_for_the_record(&world, &new, 1, Duration::from_secs(20));
    }
    broken
}

/// Orders to start a task get no answer and are carried out late, by a minion that has been cut off and
/// has crashed and started again meanwhile.
fn late_order(trouble: bool, folder: &Path) -> Option<String> {
    let world = World::start(6);
    let mut cell = Cell::start(3, world.store_server.address, &[], folder);
    cell.wait_until_ready(Duration::from_secs(15));
    let warm = id(1);
    expect(
        cell.submit(
            &warm,
            &job(16, 400, 500, Vec::new()),
            Duration::from_secs(5),
        ),
        "no job is accepted",
    );
    expect(
        world.wait_until_done(&warm, 16, Duration::from_secs(10)),
        "no job runs",
    );
    let doubled = id(2);
    let chosen: Arc<Mutex<Option<String>>> = Arc::default();
    if trouble {
        for minion in &world.minions {
            let (chosen, own, job) = (chosen.clone(), minion.id().to_owned(), doubled.clone());
            minion.answer_late(Some(Arc::new(move |task, run| {
                let mut chosen = chosen.lock().expect("no thread panics");
                let is_first = task.starts_with(&job) && run == 1;
                is_first && *chosen.get_or_insert(own.clone()) == own
            })));
        }
    }
    expect(
        cell.submit(
            &doubled,
            &job(1, 9_000, 500, Vec::new()),
            Duration::from_secs(5),
        ),
        "not accepted",
    );
    let other = id(3);
    expect(
        cell.submit(
            &other,
            &job(6, 400, 500, Vec::new()),
            Duration::from_secs(5),
        ),
        "not accepted",
    );
    expect(
        world.wait_until_runs(&doubled, 1, Duration::from_secs(10)),
        "the job does not run",
    );
    let unanswered = chosen.lock().expect("no thread panics").clone();
    if let Some(minion) = unanswered.as_deref().map(|id| world.minion(id)) {
        world
            .minions
            .iter()
            .for_each(|minion| minion.answer_late(None));
        // Before the lease of the new run is extended.
        thread::sleep(Duration::from_millis(100));
        minion.cut();
        thread::sleep(Duration::from_millis(500));
        minion.restart();
        // The cut lasts 5.4 s in all.
        thread::sleep(Duration::from_millis(4_900));
        if let Err(cause) = minion.heal() {
            unable(&cause.to_string());
        }
    }
    world.wait_until_done(&doubled, 1, Duration::from_secs(20));
    thread::sleep(Duration::from_millis(500));
    let counts = world.minions.iter().map(Minion::starts);
    let (all, without) = counts.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    note!("{without} of {all} orders to start got no answer");
    at_the_same_time(&world.runs_of(&doubled))
}

/// Starts an advisor: it answers one request at a time and allows every minion.
fn advisor(minions: &[Minion]) -> Server {
    let (minions, turn) = (minions.to_vec(), Mutex::new(()));
    let (decide_ms, each_ms, valid_ms) = ADVICE_MS;
    let answer = move |request: Request| {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let _turn = turn.lock().expect("no thread panics");
        let named = body.list("workers");
        let took = decide_ms + each_ms * named.len() as f64;
        thread::sleep(Duration::from_secs_f64(took / 1e3));
        let step = body.str("phase");
        let until_s = crate::record::now() + valid_ms as f64 / 1e3;
        let ticket = |name: &Json| {
            let Json::Text(id) = name else {
                return None;
            };
            let minion = minions.iter().find(|minion| minion.id() == id)?;
            let ticket = format!("{step}|{id}|{}|{until_s:.3}", minion.born_ms());
            Some(Json::List(vec![Json::text(id), Json::text(ticket)]))
        };
        let good: Vec<Json> = named.iter().filter_map(ticket).collect();
        note!(
            "advice for {step} on {} minions: {} allowed",
            named.len(),
            good.len()
        );
        Reply::Answer(200, Json::object(vec![("good", Json::List(good))]).write())
    };
    let started = Server::start(free_address(), Arc::new(answer));
    started.unwrap_or_else(|cause| unable(&cause.to_string()))
}

/// Returns the body of a service whose tasks fail soon after each start.
fn failing_service(tasks: u64, work_ms: u64, cpu: u64, more: Vec<(&str, Json)>) -> Json {
    let mut step = vec![
        ("count", Json::number(tasks)),
        ("cpu", Json::number(cpu)),
        ("mem_mb", Json::number(64)),
        ("long_running", Json::Bool(true)),
    ];
    step.extend(more);
    Json::object(vec![
        (
            "spec",
            Json::text(format!("work={work_ms} fails=1 cpu={cpu}")),
        ),
        ("phases", Json::List(vec![Json::object(step)])),
    ])
}

/// A service whose tasks fail soon after each start takes all starts from all other jobs.
fn crash_loop(trouble: bool, folder: &Path) -> Option<String> {
    let world = World::start(8);
    let mut cell = Cell::start(3, world.store_server.address, &[], folder);
    cell.wait_until_ready(Duration::from_secs(15));
    for number in 0..24 {
        let body = job(2, 200, 500, Vec::new());
        let is_accepted = cell.submit(&id(number), &body, Duration::from_secs(5));
        expect(is_accepted, "no job is accepted");
    }
    expect(
        world.wait_until_done(&id(23), 2, Duration::from_secs(10)),
        "no job runs",
    );
    if trouble {
        let service = failing_service(800, 10, 50, Vec::new());
        let is_accepted = cell.submit(&id(24), &service, Duration::from_secs(5));
        expect(is_accepted, "the service is not accepted");
        thread::sleep(Duration::from_millis(1_500));
    }
    for number in 25..30 {
        let body = job(2, 200, 500, Vec::new());
        let is_accepted = cell.submit(&id(number), &body, Duration::from_secs(10));
        expect(is_accepted, "a later job is not accepted");
    }
    let traffic_ended_s = crate::record::now();
    world.note_failing_runs();
    let first = id(25);
    let broken = stands_still_at_the_end(&world, &mut cell, &first, (2, 500), traffic_ended_s);
    world.note_failing_runs();
    if broken.is_some() {
        wait_for_the_record(&world, &first, 2, Duration::from_secs(8));
        let runs: usize = (25..30)
            .map(|number| world.runs_of(&id(number)).len())
            .sum();
        note!("{runs} runs of the five later jobs have begun");
        world.note_failing_runs();
    }
    broken
}

/// Services that fail soon after each start keep all minions from jobs of a queue with advice.
fn failing_services(trouble: bool, folder: &Path) -> Option<String> {
    let world = World::start(8);
    let advisors: Vec<SocketAddr> = world.advisors.iter().map(|server| server.address).collect();
    let mut cell = Cell::start(3, world.store_server.address, &advisors, folder);
    cell.wait_until_ready(Duration::from_secs(15));
    let advised = |number: u32| format!("a{}", &id(number)[1..]);
    let mut all_advised = world.advised.lock().expect("no thread panics");
    all_advised.extend((0..10).map(advised));
    drop(all_advised);
    for number in 0..57 {
        let name = id(number);
        let is_accepted = cell.submit(&name, &job(2, 200, 500, Vec::new()), Duration::from_secs(5));
        expect(is_accepted, "no job is accepted");
    }
    expect(
        world.wait_until_done(&id(56), 2, Duration::from_secs(10)),
        "no job runs",
    );
    let first = advised(0);
    expect(
        cell.submit(
            &first,
            &job(2, 500, 2_000, Vec::new()),
            Duration::from_secs(5),
        ),
        "not accepted",
    );
    expect(
        world.wait_until_done(&first, 2, Duration::from_secs(10)),
        "no job with advice runs",
    );
    if trouble {
        for number in 57..60 {
            let spread = vec![("max_per_server", Json::number(1))];
            let lasts = failing_service(8, 100, 500, spread);
            expect(
                cell.submit(&id(number), &lasts, Duration::from_secs(5)),
                "no service is accepted",
            );
        }
        thread::sleep(Duration::from_millis(1_500));
    }
    let last = advised(1);
    expect(
        cell.submit(
            &last,
            &job(2, 500, 2_000, Vec::new()),
            Duration::from_secs(5),
        ),
        "not accepted",
    );
    let traffic_ended_s = crate::record::now();
    let broken = stands_still_at_the_end(&world, &mut cell, &last, (2, 2_000), traffic_ended_s);
    if broken.is_some() {
        wait_for_the_record(&world, &last, 2, Duration::from_secs(8));
    }
    broken
}
