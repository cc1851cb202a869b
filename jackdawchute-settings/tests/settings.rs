//! Tests of reading and checking settings.

use std::time::Duration;

use jackdawchute_settings::{Error, LogLevel, Problem, Settings};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 13;
const SIZE: usize = 200;
const TESTS: u64 = 1_000;

const MINIMAL: &str = "\
instance: entry-1
failure_domain: ala-1
listen:
  callers: 127.0.0.1:0
  operators: 127.0.0.1:0
  peers: 127.0.0.1:0
platform:
  table: 127.0.0.1:7001
  membership: 127.0.0.1:7002
";

fn minimal_with(lines: &str) -> String {
    format!("{MINIMAL}{lines}")
}

fn problems(text: &str) -> Vec<Problem> {
    match Settings::parse(text) {
        Ok(_) => Vec::new(),
        Err(Error::Refused(problems)) => problems.0,
        Err(other) => panic!("unexpected error: {other}"),
    }
}

fn fields(problems: &[Problem]) -> Vec<&str> {
    problems
        .iter()
        .map(|problem| problem.field.as_str())
        .collect()
}

#[test]
fn the_example_settings_are_valid() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../etc");

    for user in ["tasbih-usta", "micdejun"] {
        let settings = Settings::load(format!("{root}/{user}/settings.yaml"));

        let settings = settings.unwrap_or_else(|error| panic!("{user}: {error}"));
        assert_eq!(settings.instance, "entry-1");
        assert_eq!(settings.timing.lease, Duration::from_secs(4));
    }
}

#[test]
fn omitted_fields_have_their_defaults() {
    let settings = Settings::parse(MINIMAL).expect("the minimal settings are valid");

    assert_eq!(settings.log_level, LogLevel::Info);
    assert_eq!(settings.timing.takeover, Duration::from_secs(6));
    assert_eq!(settings.operator_token_file, None);
    assert_eq!(settings.limits.body_bytes, 8 * 1024 * 1024);
}

#[test]
fn the_error_of_a_missing_file_names_its_path() {
    let error = Settings::load("no/such/settings.yaml").expect_err("the file does not exist");

    assert!(error
        .to_string()
        .starts_with("read settings at no/such/settings.yaml: "));
}

#[test]
fn every_missing_required_field_is_reported() {
    let found = problems("log_level: warn\n");

    let expected = [
        "instance",
        "failure_domain",
        "listen.callers",
        "listen.operators",
        "listen.peers",
        "platform.table",
        "platform.membership",
    ];
    assert_eq!(fields(&found), expected);
}

#[test]
fn all_problems_are_reported_at_once_with_line_and_field() {
    let text = "\
instance: entry 1
failure_domain: ala-1
listen:
  callers: repair.example:80
  operators: 127.0.0.1:9000
  peers: 127.0.0.1:9000
platform: { table: 127.0.0.1:7001, membership: 127.0.0.1:7002 }
lease: 4
timing:
  lease_ms: soon
  takeover_ms: 100
limits:
  connections: 0
";

    let found = problems(text);

    let lines_and_fields: Vec<_> = found
        .iter()
        .map(|problem| (problem.line, problem.field.as_str()))
        .collect();
    let expected = [
        (Some(4), "listen.callers"),
        (Some(8), ""),
        (Some(10), "timing.lease_ms"),
        (None, "timing.takeover_ms"),
        (None, "timing.takeover_ms"),
        (None, "limits.connections"),
    ];
    assert_eq!(lines_and_fields, expected, "{found:?}");
}

#[test]
fn an_invalid_name_and_a_shared_listen_address_are_reported() {
    let text = MINIMAL
        .replace("instance: entry-1", "instance: entry 1")
        .replace("operators: 127.0.0.1:0", "operators: 127.0.0.1:9000")
        .replace("peers: 127.0.0.1:0", "peers: 127.0.0.1:9000");

    let found = problems(&text);

    assert_eq!(fields(&found), ["instance", "listen.peers"]);
}

#[test]
fn a_peer_address_that_cannot_be_connected_to_is_reported() {
    let text = MINIMAL.replace("peers: 127.0.0.1:0", "peers: 0.0.0.0:8082");

    let unspecified = problems(&text);
    let advertised = problems(&format!("{text}advertised_peer_address: 10.0.0.1:8082\n"));
    let unusable = problems(&minimal_with("advertised_peer_address: 0.0.0.0:8082\n"));

    assert_eq!(fields(&unspecified), ["advertised_peer_address"]);
    assert_eq!(fields(&advertised), [""; 0]);
    assert_eq!(fields(&unusable), ["advertised_peer_address"]);
}

#[test]
fn a_takeover_shorter_than_a_lease_is_refused() {
    let found = problems(&minimal_with(
        "timing: { lease_ms: 4000, takeover_ms: 4999 }\n",
    ));

    assert_eq!(fields(&found), ["timing.takeover_ms"]);
}

#[test]
fn valid_settings_round_trip() {
    fn survives_round_trip(renewal: u16, lease: u16, threads: u8) -> bool {
        let renewal = u64::from(renewal) % 1_900 + 50;
        let lease = renewal * 2 + u64::from(lease) % 1_000;
        let takeover = renewal + lease;
        let threads = threads % 64 + 1;
        let text = minimal_with(&format!(
            "worker_threads: {threads}\ntiming: {{ renewal_interval_ms: {renewal}, \
             lease_ms: {lease}, takeover_ms: {takeover} }}\n"
        ));

        let settings = Settings::parse(&text).expect("the values are within bounds");
        let written = serde_yaml_ng::to_string(&settings).expect("settings can be serialized");

        Settings::parse(&written).ok() == Some(settings)
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED));

    check.quickcheck(survives_round_trip as fn(u16, u16, u8) -> bool);
}

#[test]
fn damaged_settings_do_not_panic() {
    fn parses_without_panic(edits: Vec<(u16, char)>, text: String) -> bool {
        let mut damaged: Vec<char> = minimal_with("timing: { lease_ms: 4000 }\n")
            .chars()
            .collect();
        for (position, character) in edits {
            let position = usize::from(position) % damaged.len();
            damaged[position] = character;
        }
        let _ = Settings::parse(&damaged.into_iter().collect::<String>());
        let _ = Settings::parse(&text);
        true
    }
    let check = QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED));

    check
        .tests(TESTS)
        .quickcheck(parses_without_panic as fn(Vec<(u16, char)>, String) -> bool);
}
