//! The system's own program, as the deploy file starts it: one process for each machine.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, json::Json, note};

/// The command of the deploy file, run at the root of the repository.
const PROGRAM: &str = "target/release/jackdawchute";
/// How long a client waits for a response.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// The host of all routes.
const HOST: &str = "nony24.example";
/// The path of the queue without advice.
const PREFIX: &str = "/lohu930/";
/// The path of the queue with advice.
const ADVISED_PREFIX: &str = "/xu328qr/";
/// The time of an advisor for each request and for each worker of it, and how long its tickets are valid, as
/// those of the site's restring-order.
pub const ADVICE_MS: (f64, f64, u64) = (310.0, 4.4, 2_500);

/// The processes that were started and have not been ended.
static PROCESSES: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    let Ok(mut processes) = PROCESSES.lock() else {
        return;
    };
    for process in processes.drain(..) {
        if let Ok(mut process) = process.lock() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// The ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u32> = 20_000..32_000;
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let count = PORTS.end - PORTS.start;
    loop {
        let tried = PORTS_TRIED.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start + (std::process::id() * 101 + tried) % count;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
        if tried > count {
            unable("no port is free");
        }
    }
}

pub struct Instance {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    process: Option<Arc<Mutex<Child>>>,
}

impl Instance {
    pub fn new(name: &str, store: SocketAddr, advisor: Option<SocketAddr>, folder: &Path) -> Self {
        let (callers, readiness, peers, metrics) = (
            free_address(),
            free_address(),
            free_address(),
            free_address(),
        );
        // The settings of `deploy/settings.yaml` with the figures of a small deployment.
        let advisor = advisor.map_or(String::new(), |it| format!("  advisor: \"{it}\"\n"));
        let text = format!(
            "instance: \"{name}\"\nfailure_domain: \"almaty-a\"\nlisten:\n  callers: \"{callers}\"\n  \
             readiness: \"{readiness}\"\n  peers: \"{peers}\"\n  metrics: \"{metrics}\"\nplatform:\n  \
             store: \"{store}\"\n{advisor}bounds:\n  lease_max_ms: 10000\n  task_stop_ms: 900\n  \
             shutdown_ms: 6000\n  ended_retention_ms: 120000\n  remote_slowdown: 1.5\nprocessor:\n  \
             share: 0.25\n  speed: 1\nlog_level: info\n"
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("a temporary file");
        Self {
            name: name.to_owned(),
            settings,
            log: folder.join(format!("{name}.log")),
            callers,
            readiness,
            process: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let process = Command::new(PROGRAM)
            .arg("cell")
            .env("JACKDAWCHUTE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        match process {
            Ok(process) => {
                note!("{} started, process {}", self.name, process.id());
                let process = Arc::new(Mutex::new(process));
                if let Ok(mut processes) = PROCESSES.lock() {
                    processes.push(process.clone());
                }
                self.process = Some(process);
            }
            Err(cause) => unable(&format!("{PROGRAM} does not start: {cause}")),
        }
    }

    /// Kills the process, as a machine that loses power or is removed.
    pub fn kill(&mut self) {
        let Some(process) = self.process.take() else {
            return;
        };
        let mut process = process.lock().expect("no thread panics");
        let _ = process.kill();
        let _ = process.wait();
        note!("{} killed", self.name);
    }

    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    pub fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(500);
        let answer = http::call(self.readiness, "GET", "/readyz", &[("Host", "x")], "", wait);
        answer.is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The machines of the cell; clients come to one of them that is ready.
pub struct Cell {
    pub instances: Vec<Instance>,
    next: usize,
}

impl Cell {
    /// Starts the machines, each with an advisor of its own if there are any.
    pub fn start(count: usize, store: SocketAddr, advisors: &[SocketAddr], folder: &Path) -> Self {
        let name = |number: usize| format!("frontend-almaty-a-{}", number + 1);
        let advisor = |number: usize| advisors.get(number).copied();
        let mut instances: Vec<Instance> = (0..count)
            .map(|number| Instance::new(&name(number), store, advisor(number), folder))
            .collect();
        instances.iter_mut().for_each(Instance::start);
        Self { instances, next: 0 }
    }

    pub fn wait_until_ready(&self, within: Duration) {
        let until = Instant::now() + within;
        let running = || self.instances.iter().filter(|it| it.is_running());
        while !running().all(Instance::is_ready) {
            if Instant::now() > until {
                unable("the instances are not ready in time");
            }
            thread::sleep(Duration::from_millis(50));
        }
        note!("all running instances are ready");
    }

    /// Sends a request to an instance that is ready, or else to one that runs, and returns its answer.
    pub fn call(&mut self, method: &str, job: &str, body: &str) -> Option<(u16, Json)> {
        let running: Vec<SocketAddr> = {
            let running = self.instances.iter().filter(|it| it.is_running());
            let ready: Vec<_> = running.clone().filter(|it| it.is_ready()).collect();
            let chosen = if ready.is_empty() {
                running.collect()
            } else {
                ready
            };
            chosen.into_iter().map(|it| it.callers).collect()
        };
        self.next += 1;
        let address = *running.get(self.next % running.len().max(1))?;
        let deadline = DEADLINE.as_millis().to_string();
        let headers = [
            ("Host", HOST),
            ("X-Jackdawchute-Deadline-Ms", deadline.as_str()),
        ];
        let prefix = if is_advised(job) {
            ADVISED_PREFIX
        } else {
            PREFIX
        };
        let path = format!("{prefix}{job}");
        let wait = DEADLINE + Duration::from_millis(200);
        let answer = http::call(address, method, &path, &headers, body, wait);
        let text = match &answer {
            Some((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
            None => "no answer".to_owned(),
        };
        note!("client: {method} {job}: {text}");
        let (status, body) = answer?;
        Some((status, Json::parse(&body).unwrap_or(Json::Null)))
    }

    /// Hands a job in, and again after no answer, a 502, 504, 429 or 503; returns whether it was
    /// accepted.
    pub fn submit(&mut self, job: &str, body: &Json, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Some((200..=299, _)) = self.call("POST", job, &body.write()) {
                return true;
            }
            thread::sleep(Duration::from_millis(250));
        }
        false
    }

    /// Returns the state that is shown for a job; empty if none is.
    pub fn state(&mut self, job: &str) -> String {
        match self.call("GET", job, "") {
            Some((200, body)) => body.str("state").to_owned(),
            _ => String::new(),
        }
    }
}

/// Ends the case, which could not run.
pub fn unable(cause: &str) -> ! {
    note!("the case could not run: {cause}");
    eprintln!("the case could not run: {cause}");
    end_all();
    let _ = fs::remove_dir_all(folder());
    std::process::exit(2);
}

/// Returns the temporary folder of this process.
pub fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-3-{}", std::process::id()))
}

/// Returns the body of a job with one step of equal tasks.
pub fn job(tasks: u64, work_ms: u64, cpu: u64, more: Vec<(&str, Json)>) -> Json {
    let mut step = vec![
        ("count", Json::number(tasks)),
        ("cpu", Json::number(cpu)),
        ("mem_mb", Json::number(256)),
        ("estimated_ms", Json::number(work_ms)),
    ];
    step.extend(more);
    Json::object(vec![
        ("spec", Json::text(format!("work={work_ms} cpu={cpu}"))),
        ("phases", Json::List(vec![Json::object(step)])),
    ])
}

/// Returns whether a job goes to the queue with advice, by its id.
pub fn is_advised(job: &str) -> bool {
    job.starts_with('a')
}

/// Returns the configuration: a queue without advice, and one with it.
pub fn configuration() -> Json {
    let route = |name: &str, prefix: &str, priority, more: Vec<(&'static str, Json)>| {
        let mut fields = vec![
            ("name", Json::text(name)),
            ("host", Json::text(HOST)),
            ("path_prefix", Json::text(prefix)),
            ("service", Json::text("repair-desk")),
            ("priority", Json::number(priority)),
            ("max_attempts", Json::number(3)),
            ("stretch", Json::Number(2.2)),
            ("target_duration_ms", Json::number(1_000)),
        ];
        fields.extend(more);
        Json::object(fields)
    };
    let (decide_ms, each_ms, valid_ms) = ADVICE_MS;
    let advice = Json::object(vec![
        ("decide_ms", Json::Number(decide_ms)),
        ("each_ms", Json::Number(each_ms)),
        ("valid_ms", Json::number(valid_ms)),
    ]);
    let routes = vec![
        route("lohu930", PREFIX, 0, Vec::new()),
        route("xu328qr", ADVISED_PREFIX, 1, vec![("advice", advice)]),
    ];
    let service = Json::object(vec![
        ("name", Json::text("repair-desk")),
        ("rejects_overload", Json::Bool(false)),
    ]);
    Json::object(vec![
        ("version", Json::number(3)),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![service])),
        (
            "limits",
            Json::object(vec![("max_body_bytes", Json::number(262_144))]),
        ),
    ])
}
