//! Each stand-in program prints its addresses, applies faults and ends on a signal.

use std::{collections::BTreeMap, process::Stdio, time::Duration};

use jackdawchute_ports::{
    HttpMembership, HttpTable, HttpWorker, MembershipSource, Table, WorkerPort,
};
use jackdawchute_standins::caller::{Call, Caller};
use serde_json::Value;
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
    time::timeout,
};

/// How long a program may take for each step.
const DEADLINE: Duration = Duration::from_secs(60);

struct Program {
    child: Child,
    addresses: BTreeMap<String, Value>,
}

impl Program {
    async fn start(program: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let line = timeout(DEADLINE, lines.next_line()).await.unwrap().unwrap();
        let addresses = serde_json::from_str(&line.unwrap()).unwrap();
        Self { child, addresses }
    }

    fn address(&self, name: &str) -> std::net::SocketAddr {
        let address = self.addresses[name].as_str().unwrap();
        address.parse().unwrap()
    }

    async fn control(&self, path: &str, body: &Value) {
        let url = format!("http://{}/control/{path}", self.address("control"));
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let response = client.post(url).json(body).send().await.unwrap();
        assert!(response.status().is_success(), "{}", response.status());
    }

    async fn record(&self) -> Value {
        let url = format!("http://{}/control/record", self.address("control"));
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        client.get(url).send().await.unwrap().json().await.unwrap()
    }

    async fn terminate(mut self) {
        let id = self.child.id().unwrap().to_string();
        Command::new("kill").arg(&id).status().await.unwrap();
        let status = timeout(DEADLINE, self.child.wait()).await.unwrap().unwrap();
        assert!(status.success());
    }
}

#[tokio::test]
async fn the_table_refuses_only_the_named_client() {
    let arguments = ["--client", "a", "--client", "b"];
    let program = Program::start(env!("CARGO_BIN_EXE_standin-table"), &arguments).await;
    let refusing = serde_json::json!({ "availability": "refusing" });

    program.control("faults/a", &refusing).await;

    let a = HttpTable::new(program.address("a")).read("row").await;
    let b = HttpTable::new(program.address("b")).read("row").await;
    assert!(a.is_err());
    assert_eq!(b, Ok(None));
    program.terminate().await;
}

#[tokio::test]
async fn the_membership_list_is_set_by_a_post() {
    let program = Program::start(env!("CARGO_BIN_EXE_standin-membership"), &[]).await;
    let members = serde_json::json!([{
        "id": "m1", "address": "127.0.0.1:1", "failure_domain": "ala-1", "state": "live",
        "role": "minion", "service": "repair-desk", "slots": 8, "connections": 64
    }]);

    program.control("members", &members).await;

    let client = HttpMembership::new(program.address("membership"));
    let list = client.changed_since(0).await.unwrap().unwrap();
    assert_eq!(list.members[0].id, "m1");
    program.terminate().await;
}

#[tokio::test]
async fn a_worker_answers_reports_until_its_connections_are_refused() {
    let arguments = ["--id", "w1"];
    let program = Program::start(env!("CARGO_BIN_EXE_standin-worker"), &arguments).await;
    let worker = HttpWorker::new(program.address("worker"));
    let before = worker.report().await;

    program
        .control("faults", &serde_json::json!({ "refuse": true }))
        .await;

    assert!(before.is_ok());
    assert!(worker.report().await.is_err());
    assert_eq!(program.record().await["worker"], "w1");
    program.terminate().await;
}

#[tokio::test]
async fn a_minion_answers_until_it_is_set_to_fail() {
    let arguments = ["--id", "m1", "--slots", "2"];
    let program = Program::start(env!("CARGO_BIN_EXE_standin-minion"), &arguments).await;
    let caller = Caller::new().unwrap();
    let call = Call::get("/quotes", "t1");
    let before = caller.call(program.address("minion"), &call).await;

    program.control("failing", &serde_json::json!(true)).await;

    let after = caller.call(program.address("minion"), &call).await;
    assert!(before.is_answered());
    assert!(!after.is_answered());
    assert_eq!(program.record().await["runs"].as_array().unwrap().len(), 2);
    program.terminate().await;
}

#[tokio::test]
async fn a_load_passes_through_the_proxy_and_prints_its_summary() {
    let minion = Program::start(env!("CARGO_BIN_EXE_standin-minion"), &["--id", "m1"]).await;
    let target = minion.address("minion").to_string();
    let proxy = Program::start(env!("CARGO_BIN_EXE_fault-proxy"), &["--target", &target]).await;
    let entry = format!("{0},{0}", proxy.address("proxy"));
    let plan = std::env::temp_dir().join(format!("load-plan-{}.yaml", std::process::id()));
    let text = "{ seed: 1, duration_ms: 300, classes: [{ name: quote, rate_per_second: 100, \
                method: GET, path: /quotes }] }";
    std::fs::write(&plan, text).unwrap();

    let output = Command::new(env!("CARGO_BIN_EXE_load"))
        .args(["--plan", plan.to_str().unwrap(), "--entry", &entry])
        .output();

    let output = timeout(DEADLINE, output).await.unwrap().unwrap();
    std::fs::remove_file(&plan).unwrap();
    let summary: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(summary["class"], "quote");
    assert_eq!(summary["outcomes"]["answered"], summary["sent"]);
    proxy.terminate().await;
    minion.terminate().await;
}
