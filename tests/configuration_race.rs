//! Operators change the configuration concurrently.

use std::{
    path::Path,
    time::{Duration, Instant, SystemTime},
};

use jackdawchute_configuration::{apply, Configuration, Error};
use jackdawchute_standins::{
    harness::{Cell, CellOptions, TemporaryDirectory, OPERATOR_TOKEN},
    table::TableFaults,
};
use tokio::{process::Command, task::JoinHandle};

const PROGRAM: &str = env!("CARGO_BIN_EXE_jackdawchute");
/// The number of conflicting pairs of changes.
const CONFLICTS: u64 = 4;
/// The time between two calls for the version that an instance applies.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum time from acceptance until a configuration is in force at every instance.
const IN_FORCE_TIME_MAX: Duration = Duration::from_secs(4);

async fn cell() -> Cell {
    let options = CellOptions {
        entries: 3,
        ..CellOptions::new(PROGRAM)
    };
    Cell::start(options).await.unwrap()
}

/// Returns a change of the accepted version 1.
fn change(author: &str, deadline_max_s: u64) -> apply::Options {
    let options = CellOptions::new("");
    let mut candidate = Configuration::parse(&options.configuration).unwrap();
    candidate.version = 1;
    candidate.defaults.deadline_max = Duration::from_secs(deadline_max_s);
    apply::Options {
        candidate,
        author: author.into(),
        reason: format!("the longest deadline is {deadline_max_s} s"),
        write_id: format!("change-by-{author}").into(),
        written: SystemTime::now(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_conflicting_changes_wins_and_is_in_force_everywhere() {
    let cell = cell().await;
    let table = cell.operator_table().unwrap();

    let (ana, bek) = tokio::join!(
        apply::apply(&table, change("ana", 100)),
        apply::apply(&table, change("bek", 200)),
    );
    let accepted = Instant::now();
    cell.wait_until_in_force(2).await.unwrap();
    let in_force = accepted.elapsed();

    let (winner, loser) = match (&ana, &bek) {
        (Ok(_), Err(error)) => ("ana", error),
        (Err(error), Ok(_)) => ("bek", error),
        both => panic!("one change must be accepted and one refused: {both:?}"),
    };
    println!("in force everywhere after {} ms", in_force.as_millis());
    assert!(
        matches!(loser, Error::Superseded(2, author) if author == winner),
        "{loser:?}"
    );
    assert!(in_force < IN_FORCE_TIME_MAX, "{in_force:?}");
}

/// Guards against a change that is accepted twice because the response of its commit was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_commit_response_is_lost_is_accepted_once() {
    let cell = cell().await;
    let table = cell.operator_table().unwrap();
    let lossy = TableFaults {
        lose_commit_answers: 1,
        ..TableFaults::default()
    };
    cell.table
        .set_faults(Some("operator".into()), lossy)
        .await
        .unwrap();

    let outcome = apply::apply(&table, change("ana", 100)).await.unwrap();

    cell.wait_until_in_force(2).await.unwrap();
    assert_eq!(outcome.configuration.version, 2);
}

/// Runs `config apply` against one instance with a change of `version`; returns whether it was
/// accepted.
async fn apply_with_command(
    cell: &Cell,
    files: &TemporaryDirectory,
    entry: usize,
    version: u64,
) -> bool {
    let author = format!("operator-{entry}");
    let candidate = Configuration {
        version,
        ..change(&author, 100 + version).candidate
    };
    let yaml = candidate.to_yaml().unwrap();
    let file = files.write(&format!("{author}.yaml"), &yaml).unwrap();
    let token = files.write("operator.token", OPERATOR_TOKEN).unwrap();
    let status = Command::new(PROGRAM)
        .args(["config", "apply", "--author", &author, "--reason", "a race"])
        .args([Path::new("--token-file"), &token])
        .arg("--address")
        .arg(cell.entries[entry].process.operators.to_string())
        .arg(file)
        .kill_on_drop(true)
        .status();
    status.await.unwrap().success()
}

/// Polls the version that an instance applies until it is `last`, and returns all versions seen.
fn record_versions(cell: &Cell, entry: usize, last: u64) -> JoinHandle<Vec<u64>> {
    let url = format!("http://{}/v1/status", cell.entries[entry].process.operators);
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    tokio::spawn(async move {
        let mut seen = Vec::new();
        while seen.last() != Some(&last) {
            let request = client.get(&url).bearer_auth(OPERATOR_TOKEN);
            let status: serde_json::Value = request.send().await.unwrap().json().await.unwrap();
            seen.extend(status["configuration_version"].as_u64());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        seen
    })
}

/// Guards against conflicting changes that are both accepted, and against instances that return to
/// an earlier version.
#[tokio::test(flavor = "multi_thread")]
async fn operators_race_through_two_instances_and_no_version_reverts() {
    let cell = cell().await;
    let files = TemporaryDirectory::new().unwrap();
    let recorders: Vec<_> = (0..cell.entries.len())
        .map(|entry| record_versions(&cell, entry, 1 + CONFLICTS))
        .collect();
    let mut accepted = Vec::new();

    for version in 1..=CONFLICTS {
        let lossy = TableFaults {
            lose_commit_answers: 1,
            ..TableFaults::default()
        };
        let cut = Some("entry-0".into());
        cell.table.set_faults(cut, lossy).await.unwrap();
        accepted.push(tokio::join!(
            apply_with_command(&cell, &files, 0, version),
            apply_with_command(&cell, &files, 1, version),
        ));
    }

    for recorder in recorders {
        let recorded = tokio::time::timeout(Duration::from_secs(60), recorder);
        let seen = recorded
            .await
            .expect("every instance applies the last version in time")
            .unwrap();
        assert!(seen.is_sorted(), "{seen:?}");
    }
    let winners = accepted.iter().filter(|(first, second)| first != second);
    assert_eq!(winners.count() as u64, CONFLICTS, "{accepted:?}");
}
