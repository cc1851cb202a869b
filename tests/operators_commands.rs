//! The operators' commands against a cell of processes, and the behavior of instances that are cut
//! off.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::Output,
    time::{Duration, Instant},
};

use jackdawchute_configuration::{Configuration, Exception, Override};
use jackdawchute_standins::{
    harness::{wait_until, Cell, CellOptions, TemporaryDirectory, Timing, OPERATOR_TOKEN},
    proxy::ProxyFaults,
    table::{Availability, TableFaults},
};
use tokio::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_jackdawchute");
/// The maximum time from acceptance until a configuration is in force at every instance, in
/// milliseconds.
const IN_FORCE_MS_MAX: u64 = 4_000;

/// How long the cell's instances accept new work without a confirmation of their configuration.
const CONFIRMATION_TIME: Duration = Duration::from_secs(6);
/// The maximum time from a version in force until a leaving failure domain gets no new requests.
const LEAVING_TIME_MAX: Duration = Duration::from_secs(2);
/// A job in YAML, as a caller submits it.
const JOB: &str = "\
kind: batch
class: batch
team: micdejun
resources: { processor_millicores: 100, memory_mib: 16 }
";
/// The time between two checks of an instance that must stay ready.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A cell with the files that the commands need.
struct Fixture {
    cell: Cell,
    files: TemporaryDirectory,
    token_file: PathBuf,
}

async fn fixture() -> Fixture {
    let options = CellOptions {
        entries: 3,
        ..CellOptions::new(PROGRAM)
    };
    fixture_with(options).await
}

async fn fixture_with(options: CellOptions) -> Fixture {
    let files = TemporaryDirectory::new().unwrap();
    let token_file = files.write("operator.token", OPERATOR_TOKEN).unwrap();
    Fixture {
        cell: Cell::start(options).await.unwrap(),
        files,
        token_file,
    }
}

impl Fixture {
    fn address(&self, entry: usize) -> SocketAddr {
        self.cell.entries[entry].process.operators
    }

    /// Runs a command with the operators' token against the first instance.
    async fn run(&self, arguments: &[&str]) -> Output {
        self.command(arguments)
            .arg("--token-file")
            .arg(&self.token_file)
            .output()
            .await
            .unwrap()
    }

    /// Returns a command without a token against the first instance.
    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(PROGRAM);
        command
            .args(arguments)
            .arg("--address")
            .arg(self.address(0).to_string())
            .kill_on_drop(true);
        command
    }

    /// Applies a file to the first instance.
    async fn apply(&self, author: &str, file: &str) -> Output {
        let options = ["--author", author, "--reason", "a test", file];
        self.run(&[&["config", "apply"], &options[..]].concat())
            .await
    }

    /// Writes a file with the accepted configuration and another retry budget; returns its path.
    async fn changed_file(&self, retry_budget_percent: u32) -> String {
        let shown = self.run(&["config", "show"]).await;
        let mut configuration = Configuration::parse(&text(&shown.stdout)).unwrap();
        configuration.defaults.retry_budget_percent = retry_budget_percent;
        let name = format!("budget-{retry_budget_percent}.yaml");
        let yaml = configuration.to_yaml().unwrap();
        let path = self.files.write(&name, &yaml).unwrap();
        path.display().to_string()
    }

    /// Returns how many requests the minions of a failure domain ran so far.
    async fn runs(&self, failure_domain: &str) -> usize {
        let records = self.cell.minion_records().await.unwrap();
        let minions = self.cell.minions.iter().zip(records);
        let of_domain =
            minions.filter(|(minion, _)| minion.member.failure_domain == failure_domain);
        of_domain.map(|(_, record)| record.runs.len()).sum()
    }

    /// Returns the status and body of an instance's readiness.
    async fn readiness(&self, entry: usize) -> (u16, String) {
        let url = format!("http://{}/readyz", self.address(entry));
        let response = client().get(url).send().await.unwrap();
        (response.status().as_u16(), response.text().await.unwrap())
    }
}

fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Returns faults under which the table refuses all calls.
fn down() -> TableFaults {
    TableFaults {
        availability: Availability::Refusing,
        ..TableFaults::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_shown_compared_applied_and_in_force() {
    let fixture = fixture().await;
    let file = fixture.changed_file(7).await;

    let checked = fixture.command(&["config", "check", &file]).output();
    let diff = fixture.run(&["config", "diff", &file]).await;
    let applied = fixture.apply("ana", &file).await;
    let waited = fixture.run(&["config", "wait", "2"]).await;
    let history = fixture.run(&["config", "history"]).await;
    let status = fixture.run(&["status"]).await;

    // `config check` calls no instance and refuses the `--address` that the fixture adds.
    assert_eq!(checked.await.unwrap().status.code(), Some(2));
    let expected = "defaults.retry_budget_percent\n  - 10\n  + 7\n";
    assert_eq!(text(&diff.stdout), expected);
    assert_eq!(text(&applied.stdout), "version 2 accepted\n");
    let waited = text(&waited.stdout);
    println!("{waited}");
    let words: Vec<&str> = waited.split_whitespace().collect();
    assert_eq!(words[..7].join(" "), "version 2 in force at 3 instances");
    assert!(
        words[8].parse::<u64>().unwrap() < IN_FORCE_MS_MAX,
        "{waited}"
    );
    assert!(text(&history.stdout).contains("ana"), "{history:?}");
    let status = text(&status.stdout);
    println!("{status}");
    assert!(status.contains("service/repair-desk/ala-1"), "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_conflicting_change_is_refused_with_the_author_of_the_accepted_one() {
    let fixture = fixture().await;
    let first = fixture.changed_file(7).await;
    let second = fixture.changed_file(8).await;

    let won = fixture.apply("ana", &first).await;
    let lost = fixture.apply("bogdan", &second).await;

    assert_eq!(won.status.code(), Some(0));
    assert_eq!(lost.status.code(), Some(1));
    let stderr = text(&lost.stderr);
    assert!(
        stderr.contains("version 2 by ana was accepted first"),
        "{stderr}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_need_the_token_and_usage_errors_have_their_code() {
    let fixture = fixture().await;

    let without_token = fixture.command(&["config", "show"]).output().await.unwrap();
    let callers = fixture.cell.entries[0].process.callers;
    let url = format!("http://{callers}/v1/configuration");
    let from_callers = client().get(url).bearer_auth(OPERATOR_TOKEN).send().await;
    let usage = fixture.run(&["config", "wait"]).await;

    assert_eq!(without_token.status.code(), Some(1));
    assert_eq!(from_callers.unwrap().status().as_u16(), 404);
    assert_eq!(usage.status.code(), Some(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_table_is_down_instances_stay_ready_and_no_change_is_accepted() {
    let mut fixture = fixture().await;
    let file = fixture.changed_file(7).await;
    fixture.cell.table.set_faults(None, down()).await.unwrap();

    let applied = fixture.apply("ana", &file).await;
    let poll_until = Instant::now() + CONFIRMATION_TIME * 2;
    let mut unready = Vec::new();
    while Instant::now() < poll_until {
        let (status, missing) = fixture.readiness(0).await;
        if status != 200 {
            unready.push(missing);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let newcomer = fixture.cell.add_entry().await.unwrap().process.operators;
    let newcomer = newcomer.to_string();
    let in_use = wait_until("configuration version from peers", || async {
        let mut show = Command::new(PROGRAM);
        show.args(["config", "show", "--in-use", "--address", &newcomer]);
        show.arg("--token-file").arg(&fixture.token_file);
        let shown = show.output().await.ok()?;
        shown.status.success().then(|| text(&shown.stdout))
    });

    assert_eq!(applied.status.code(), Some(1));
    assert_eq!(unready, [""; 0]);
    let in_use = Configuration::parse(&in_use.await.unwrap()).unwrap();
    assert_eq!(in_use.version, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_cut_off_from_the_table_and_its_peers_accepts_no_new_work() {
    let fixture = fixture().await;
    let last = &fixture.cell.entries[2];
    let refuse = ProxyFaults {
        refuse: true,
        ..ProxyFaults::default()
    };
    for peer in &fixture.cell.entries[..2] {
        peer.peer_proxy.set_faults(refuse).await.unwrap();
        peer.peer_proxy.cut().await.unwrap();
    }

    let cut = fixture
        .cell
        .table
        .set_faults(Some(last.name.clone()), down());
    cut.await.unwrap();
    let refused = wait_until("instance without a confirmed configuration", || async {
        let (status, missing) = fixture.readiness(2).await;
        (status == 503 && missing.contains("confirmation")).then_some(())
    });
    refused.await.unwrap();
    let url = format!("http://{}/repair-desk/quotes", last.process.callers);
    let request = client().get(url).send().await.unwrap();
    let url = format!("http://{}/v1/jobs", last.process.callers);
    let job = client().post(url).body(JOB).send().await.unwrap();

    for answer in [request, job] {
        assert_eq!(answer.status().as_u16(), 503);
        let problem = answer.text().await.unwrap();
        assert!(problem.contains("configuration-unconfirmed"), "{problem}");
        assert!(problem.contains("not-run"), "{problem}");
    }
    assert_eq!(fixture.readiness(0).await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_failure_domain_gets_no_new_requests() {
    const REQUESTS: usize = 30;
    let fixture = fixture().await;
    let shown = fixture.run(&["config", "show"]).await;
    let mut configuration = Configuration::parse(&text(&shown.stdout)).unwrap();
    configuration.exceptions = vec![Exception {
        failure_domain: Some("ala-1".into()),
        set: Override {
            leaving: Some(true),
            ..Override::default()
        },
        reason: "the power feed is replaced".into(),
        ..Exception::default()
    }];
    let yaml = configuration.to_yaml().unwrap();
    let file = fixture.files.write("leaving.yaml", &yaml).unwrap();
    let url = format!(
        "http://{}/repair-desk/quotes",
        fixture.cell.entries[1].process.callers
    );

    let applied = fixture.apply("ana", &file.display().to_string()).await;
    let waited = fixture.run(&["config", "wait", "2"]).await;
    tokio::time::sleep(LEAVING_TIME_MAX).await;
    let before = fixture.runs("ala-1").await;
    let mut answered = 0;
    for _ in 0..REQUESTS {
        let answer = client().get(&url).send().await.unwrap();
        answered += usize::from(answer.status().is_success());
    }

    assert_eq!(text(&applied.stdout), "version 2 accepted\n");
    assert_eq!(waited.status.code(), Some(0));
    assert_eq!(answered, REQUESTS);
    assert_eq!(fixture.runs("ala-1").await, before);
    assert!(fixture.runs("ala-2").await > 0);
}

/// Guards against a document that keeps the parser busy for long with its nested brackets.
#[tokio::test(flavor = "multi_thread")]
async fn a_deeply_nested_document_is_refused_quickly() {
    const BRACKETS: usize = 200_000;
    const ANSWER_TIME_MAX: Duration = Duration::from_secs(2);
    let fixture = fixture().await;
    let callers = fixture.cell.entries[0].process.callers;
    let url = format!("http://{callers}/v1/jobs");
    let body = "[".repeat(BRACKETS);

    let start = Instant::now();
    let answer = client().post(url).body(body).send().await.unwrap();

    assert_eq!(answer.status().as_u16(), 400);
    assert!(start.elapsed() < ANSWER_TIME_MAX, "{:?}", start.elapsed());
}

/// Guards against default renewal and poll intervals that are too long for [`IN_FORCE_MS_MAX`]: the
/// six instances run with the production settings, where the other tests have their own.
#[tokio::test(flavor = "multi_thread")]
async fn with_the_default_settings_a_change_is_in_force_everywhere_in_time() {
    const CHANGES: u32 = 5;
    let defaults = jackdawchute_settings::Timing::default();
    let options = CellOptions {
        entries: 6,
        timing: Timing {
            renewal_interval: defaults.renewal_interval,
            lease: defaults.lease,
            takeover: defaults.takeover,
            membership_poll: defaults.membership_poll,
            configuration_poll: defaults.configuration_poll,
            configuration_confirm: defaults.configuration_confirm,
        },
        ..CellOptions::new(PROGRAM)
    };
    let fixture = fixture_with(options).await;
    let mut times_ms = Vec::new();

    for change in 1..=CHANGES {
        let file = fixture.changed_file(change).await;
        let start = Instant::now();
        let applied = fixture.apply("ana", &file).await;
        assert!(applied.status.success(), "{applied:?}");
        let version = change + 1;
        fixture
            .cell
            .wait_until_in_force(version.into())
            .await
            .unwrap();
        times_ms.push(start.elapsed().as_millis());
        let waited = fixture.run(&["config", "wait", &version.to_string()]).await;
        let waited = text(&waited.stdout);
        assert!(waited.contains("at 6 instances"), "{waited}");
    }

    println!("from the command to in force at six instances, in ms: {times_ms:?}");
    assert!(
        times_ms.iter().all(|ms| *ms < u128::from(IN_FORCE_MS_MAX)),
        "{times_ms:?}"
    );
}
