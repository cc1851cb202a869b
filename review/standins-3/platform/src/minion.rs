//! A minion: it runs what it is told to, under a lease, and lists what runs and what has ended.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Reply, Request, Server},
    json::Json,
    note,
    store::Store,
};

/// The longest time for which tasks run without a further order.
const HOLD_MAX_MS: u64 = 10_000;
/// How long a run takes to end after an order to stop it.
const STOP_TIME: Duration = Duration::from_millis(100);
/// The period in which a minion writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The age of a minion's first life: its clock does not begin at zero in the test.
const AGE_MS: u64 = 60_000;
/// The most ends in an answer.
const ENDS_MAX: usize = 500;

/// A run as its minion saw it.
#[derive(Clone, Debug)]
pub struct RunSeen {
    pub task: String,
    pub run: u64,
    pub minion: String,
    pub began_s: f64,
    /// `None` while it runs.
    pub ended_s: Option<f64>,
    pub how: &'static str,
}

/// The jobs of queues with advice.
pub type Advised = Arc<Mutex<BTreeSet<String>>>;

/// All runs of all minions, in the order in which they began.
pub type RunsSeen = Arc<Mutex<Vec<RunSeen>>>;

struct Running {
    run: u64,
    /// The position in [`RunsSeen`]; runs that are to fail are counted alone.
    seen: Option<usize>,
    began: Instant,
    /// How long the task works.
    work: Duration,
    /// How it ends then.
    outcome: &'static str,
    cpu: u64,
    stop_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// What a life of a minion holds and knows.
struct Life {
    born_ms: u64,
    began: Instant,
    clock_base_ms: u64,
    token: u64,
    until_ms: u64,
    running: BTreeMap<String, Running>,
    /// The highest run of each task that was stopped or has ended here.
    over: HashMap<String, u64>,
    ended: Vec<End>,
    ends: u64,
}

impl Life {
    fn new(clock_base_ms: u64) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            born_ms: since.map_or(0, |since| since.as_millis() as u64),
            began: Instant::now(),
            clock_base_ms,
            token: 0,
            until_ms: 0,
            running: BTreeMap::new(),
            over: HashMap::new(),
            ended: Vec::new(),
            ends: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.clock_base_ms + self.began.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until_ms: u64) {
        let longest = self.clock_ms() + HOLD_MAX_MS;
        self.until_ms = self.until_ms.max(until_ms.min(longest));
    }
}

/// What to do with the next orders to start a task.
pub type StartFault = Arc<dyn Fn(&str, u64) -> bool + Send + Sync>;

struct Shared {
    id: String,
    service: String,
    labels: Vec<String>,
    cpu: u64,
    life: Mutex<Life>,
    changed: Condvar,
    seen: RunsSeen,
    store: Store,
    /// Whether the minion runs and reaches the platform.
    listed: AtomicBool,
    /// Returns whether an order to start gets no answer and is carried out late.
    late: Mutex<Option<StartFault>>,
    /// The late orders: when each is carried out.
    late_orders: Mutex<Vec<(Instant, Json)>>,
    starts: AtomicU64,
    unanswered: AtomicU64,
    /// The runs that were to fail.
    failing: AtomicU64,
    /// The jobs whose steps need tickets, of all minions.
    advised: Advised,
}

/// A minion with its server.
#[derive(Clone)]
pub struct Minion {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

impl Minion {
    pub fn start(
        id: &str,
        address: SocketAddr,
        labels: &[&str],
        cpu: u64,
        store: &Store,
        seen: &RunsSeen,
        advised: &Advised,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: "repair-desk".to_owned(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            cpu,
            life: Mutex::new(Life::new(AGE_MS)),
            changed: Condvar::new(),
            seen: seen.clone(),
            store: store.clone(),
            listed: AtomicBool::new(true),
            late: Mutex::new(None),
            late_orders: Mutex::new(Vec::new()),
            starts: AtomicU64::new(0),
            unanswered: AtomicU64::new(0),
            failing: AtomicU64::new(0),
            advised: advised.clone(),
        });
        let handler_shared = shared.clone();
        let server = Server::start(
            address,
            Arc::new(move |request| handler_shared.serve(&request)),
        )?;
        let minion = Self {
            shared: shared.clone(),
            server: Arc::new(server),
        };
        let clock = shared.clone();
        thread::spawn(move || loop {
            clock.advance();
            clock.carry_out_late();
            thread::sleep(Duration::from_millis(5));
        });
        let (entry, address) = (shared, minion.server.address);
        thread::spawn(move || loop {
            entry.register(address);
            thread::sleep(HEARTBEAT);
        });
        Ok(minion)
    }

    /// Returns when this life of the minion was born.
    pub fn born_ms(&self) -> u64 {
        self.shared.life.lock().expect("no thread panics").born_ms
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Has chosen orders to start get no answer; they are carried out after `after`.
    pub fn answer_late(&self, fault: Option<StartFault>) {
        *self.shared.late.lock().expect("no thread panics") = fault;
    }

    /// Returns how many orders to start came, and how many of them got no answer.
    pub fn starts(&self) -> (u64, u64) {
        let count = |number: &AtomicU64| number.load(Ordering::SeqCst);
        (count(&self.shared.starts), count(&self.shared.unanswered))
    }

    pub fn is_up(&self) -> bool {
        self.shared.listed.load(Ordering::SeqCst)
    }

    /// Returns the processor of all that runs, in thousandths of a core.
    pub fn cpu_in_use(&self) -> u64 {
        let life = self.shared.life.lock().expect("no thread panics");
        life.running.values().map(|running| running.cpu).sum()
    }

    /// Returns how many runs have begun that were to fail.
    pub fn failing_runs(&self) -> u64 {
        self.shared.failing.load(Ordering::SeqCst)
    }

    /// The machine loses power: it runs nothing, does not answer, and takes no connection.
    pub fn power_off(&self) {
        self.shared.listed.store(false, Ordering::SeqCst);
        self.server.refuse();
        let open = self.server.silence_open();
        self.shared.forget("crashed", 0);
        note!(
            "{} has lost power; {open} open connections are silent",
            self.shared.id
        );
    }

    /// The entry lapses after three intervals of silence.
    pub fn entry_lapses(&self) {
        self.shared.store.put("servers", &self.shared.id, None);
        note!("the entry of {} has lapsed", self.shared.id);
    }

    /// Cuts all paths between the system and the minion, which runs on.
    pub fn cut(&self) {
        self.server.refuse();
        let open = self.server.silence_open();
        note!(
            "{} is cut off from the system; {open} open connections are silent",
            self.shared.id
        );
    }

    /// Ends a cut.
    pub fn heal(&self) -> std::io::Result<()> {
        note!("the cut of {} has healed", self.shared.id);
        self.server.reset_open();
        self.server.listen_again()
    }

    /// All open connections go silent for good; new ones work.
    pub fn silence_connections(&self) -> usize {
        self.server.silence_open()
    }

    /// The minion crashes and starts again under its id.
    pub fn restart(&self) {
        self.shared.forget("crashed", 0);
        note!("{} has crashed and started again", self.shared.id);
        self.shared.register(self.server.address);
    }
}

impl Shared {
    fn forget(&self, how: &'static str, clock_base_ms: u64) {
        let mut life = self.life.lock().expect("no thread panics");
        let tasks: Vec<String> = life.running.keys().cloned().collect();
        for task in tasks {
            self.end(&mut life, &task, how);
        }
        *life = Life::new(clock_base_ms);
        self.changed.notify_all();
    }

    fn register(&self, address: SocketAddr) {
        if !self.listed.load(Ordering::SeqCst) {
            return;
        }
        let born_ms = self.life.lock().expect("no thread panics").born_ms;
        let entry = Json::object(vec![
            ("service", Json::text(&self.service)),
            ("address", Json::text(address.to_string())),
            ("zone", Json::text("almaty-a")),
            ("version", Json::text("1")),
            ("slots", Json::number(8)),
            ("state", Json::text("ready")),
            ("cold_remaining_ms", Json::number(0)),
            (
                "sequence",
                Json::number((crate::record::now() * 1e3) as u64),
            ),
            ("born", Json::number(born_ms)),
            (
                "capacity",
                Json::object(vec![
                    ("cpu", Json::number(self.cpu)),
                    ("mem_mb", Json::number(131_072)),
                    ("gpus", Json::number(0)),
                ]),
            ),
            (
                "labels",
                Json::List(self.labels.iter().map(Json::text).collect()),
            ),
        ]);
        self.store.put("servers", &self.id, Some(&entry));
    }

    /// Ends a run and lists its end.
    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(running) = life.running.remove(task) else {
            return;
        };
        if let Some(position) = running.seen {
            let mut seen = self.seen.lock().expect("no thread panics");
            seen[position].ended_s = Some(crate::record::now());
            seen[position].how = how;
            drop(seen);
            note!("{} {task} run {} has ended: {how}", self.id, running.run);
        }
        let over = life.over.entry(task.to_owned()).or_default();
        *over = (*over).max(running.run);
        life.ends += 1;
        let end = End {
            number: life.ends,
            task: task.to_owned(),
            run: running.run,
            how,
        };
        life.ended.push(end);
        self.changed.notify_all();
    }

    /// Ends the runs whose work is done, that were stopped, or whose lease has lapsed.
    fn advance(&self) {
        let mut life = self.life.lock().expect("no thread panics");
        let has_lapsed = life.clock_ms() > life.until_ms;
        let now = Instant::now();
        let over: Vec<(String, &'static str)> = life
            .running
            .iter()
            .filter_map(|(task, running)| {
                let how = if has_lapsed {
                    "lapsed"
                } else if running.stop_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if now >= running.began + running.work {
                    running.outcome
                } else {
                    return None;
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in over {
            self.end(&mut life, &task, how);
        }
    }

    fn carry_out_late(&self) {
        let now = Instant::now();
        let due: Vec<Json> = {
            let mut orders = self.late_orders.lock().expect("no thread panics");
            let (due, later) = orders.drain(..).partition(|(at, _)| *at <= now);
            *orders = later;
            let due: Vec<(Instant, Json)> = due;
            due.into_iter().map(|(_, order)| order).collect()
        };
        for order in due {
            let (status, body) = self.start(&order);
            let (task, run) = (order.str("task"), order.u64("run").unwrap_or(0));
            note!(
                "{} carries out late: start {task} run {run}: {status} {body}",
                self.id
            );
        }
    }

    fn serve(&self, request: &Request) -> Reply {
        let expected = request.header("X-Jackdawchute-Expected-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return Reply::Answer(421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        match request.path.as_str() {
            "/run-start" => {
                let (task, run) = (body.str("task").to_owned(), body.u64("run").unwrap_or(0));
                self.starts.fetch_add(1, Ordering::SeqCst);
                let fault = self.late.lock().expect("no thread panics").clone();
                if fault.is_some_and(|fault| fault(&task, run)) {
                    self.unanswered.fetch_add(1, Ordering::SeqCst);
                    let after = late_after();
                    note!(
                        "{} gives no answer to: start {task} run {run} token {}, and carries it out {:.1} s later",
                        self.id, body.u64("fencing_token").unwrap_or(0), after.as_secs_f64()
                    );
                    let mut orders = self.late_orders.lock().expect("no thread panics");
                    orders.push((Instant::now() + after, body));
                    return Reply::Silence;
                }
                let (status, answer) = self.start(&body);
                if meaning(body.str("spec")).1 != "failed" || status != 200 {
                    note!("{} is told: start {task} run {run}: {status}", self.id);
                }
                Reply::Answer(status, answer)
            }
            "/run-stop" => self.stop(&body),
            "/hold" => self.hold(&body),
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }

    /// Returns a refusal if the token is lower than one that was seen.
    fn fenced(&self, life: &mut Life, body: &Json) -> Option<String> {
        let token = body.u64("fencing_token").unwrap_or(0);
        if token < life.token {
            return Some(refusal(life, "fence"));
        }
        life.token = token;
        None
    }

    fn start(&self, body: &Json) -> (u16, String) {
        let mut life = self.life.lock().expect("no thread panics");
        if let Some(refusal) = self.fenced(&mut life, body) {
            return (409, refusal);
        }
        let until_ms = body.u64("until_ms").unwrap_or(0);
        if until_ms <= life.clock_ms() {
            return (409, refusal(&life, "late"));
        }
        life.extend(until_ms);
        let (task, run) = (body.str("task").to_owned(), body.u64("run").unwrap_or(0));
        if life
            .running
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            return (200, clock(&life));
        }
        if life.over.get(&task).is_some_and(|over| run <= *over) || life.running.contains_key(&task)
        {
            return (409, refusal(&life, "old"));
        }
        if !self.advisor_allows(&task, body.str("ticket"), &life) {
            return (409, refusal(&life, "ticket"));
        }
        let (work, outcome, cpu) = meaning(body.str("spec"));
        let seen = if outcome == "failed" {
            self.failing.fetch_add(1, Ordering::SeqCst);
            None
        } else {
            note!("{} {task} run {run} begins", self.id);
            let mut seen = self.seen.lock().expect("no thread panics");
            seen.push(RunSeen {
                task: task.clone(),
                run,
                minion: self.id.clone(),
                began_s: crate::record::now(),
                ended_s: None,
                how: "runs",
            });
            Some(seen.len() - 1)
        };
        let running = Running {
            run,
            seen,
            began: Instant::now(),
            work,
            outcome,
            cpu,
            stop_at: None,
        };
        life.running.insert(task, running);
        (200, clock(&life))
    }

    /// Returns whether a task may start here: if its queue has advice, its ticket must be for this step and
    /// this life of the minion, and valid.
    fn advisor_allows(&self, task: &str, ticket: &str, life: &Life) -> bool {
        let Some((step, _)) = task.rsplit_once('.') else {
            return false;
        };
        let job = task.split('.').next().unwrap_or_default();
        if !self.advised.lock().expect("no thread panics").contains(job) {
            return true;
        }
        let parts: Vec<&str> = ticket.split('|').collect();
        let until_s: f64 = parts
            .get(3)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0);
        parts.first() == Some(&step)
            && parts.get(1) == Some(&self.id.as_str())
            && parts.get(2) == Some(&life.born_ms.to_string().as_str())
            && crate::record::now() <= until_s
    }

    fn stop(&self, body: &Json) -> Reply {
        let mut life = self.life.lock().expect("no thread panics");
        if let Some(refusal) = self.fenced(&mut life, body) {
            return Reply::Answer(409, refusal);
        }
        let (task, run) = (body.str("task").to_owned(), body.u64("run").unwrap_or(0));
        note!("{} is told: stop {task} run {run}", self.id);
        let over = life.over.entry(task.clone()).or_default();
        *over = (*over).max(run);
        if let Some(running) = life.running.get_mut(&task).filter(|it| it.run <= run) {
            running.stop_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        Reply::Answer(200, clock(&life))
    }

    fn hold(&self, body: &Json) -> Reply {
        let mut life = self.life.lock().expect("no thread panics");
        if let Some(refusal) = self.fenced(&mut life, body) {
            return Reply::Answer(409, refusal);
        }
        if let Some(until_ms) = body.u64("until_ms") {
            life.extend(until_ms);
        }
        let last_seen = body.u64("last_seen").unwrap_or(0);
        life.ended.retain(|end| end.number > last_seen);
        let wait = Duration::from_millis(body.u64("wait_ms").unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let born_ms = life.born_ms;
        while life.ended.is_empty() && life.born_ms == born_ms {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(life, left);
            life = waited.expect("no thread panics").0;
        }
        if life.born_ms != born_ms {
            // The life that was asked has ended.
            return Reply::Silence;
        }
        let running = life.running.iter().map(|(task, running)| {
            let part =
                running.began.elapsed().as_secs_f64() / running.work.as_secs_f64().max(0.001);
            let percent = (part * 100.0).min(99.0) as u64;
            Json::List(vec![
                Json::text(task),
                Json::number(running.run),
                Json::text(""),
                Json::number(percent),
                Json::number(running.cpu),
            ])
        });
        let ended = life.ended.iter().take(ENDS_MAX).map(|end| {
            Json::List(vec![
                Json::number(end.number),
                Json::text(&end.task),
                Json::number(end.run),
                Json::text(end.how),
                Json::text(""),
            ])
        });
        let answer = Json::object(vec![
            ("clock_ms", Json::number(life.clock_ms())),
            ("born", Json::number(life.born_ms)),
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ]);
        Reply::Answer(200, answer.write())
    }
}

/// How long after their arrival unanswered orders are carried out, in the order in which they come:
/// from 2 to 12 s.
fn late_after() -> Duration {
    Duration::from_millis(8_000)
}

fn clock(life: &Life) -> String {
    Json::object(vec![("clock_ms", Json::number(life.clock_ms()))]).write()
}

fn refusal(life: &Life, reason: &str) -> String {
    let fields = vec![
        ("clock_ms", Json::number(life.clock_ms())),
        ("reason", Json::text(reason)),
    ];
    Json::object(fields).write()
}

/// Returns how long a task works, how it ends, and on how much processor it works:
/// `work=MS fails=1 cpu=MILLICORES`.
fn meaning(spec: &str) -> (Duration, &'static str, u64) {
    let number = |name: &str| {
        let words = spec.split_whitespace();
        let mut found = words.filter_map(|word| word.strip_prefix(name)?.strip_prefix('='));
        found.next().and_then(|text| text.parse().ok())
    };
    let work_ms = number("work").unwrap_or(1_000);
    let outcome = if number("fails") == Some(1) {
        "failed"
    } else {
        "done"
    };
    (
        Duration::from_millis(work_ms),
        outcome,
        number("cpu").unwrap_or(0),
    )
}
