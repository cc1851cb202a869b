//! The table service and its faults, called with the platform client [`HttpTable`].

use std::time::Duration;

use jackdawchute_ports::{Commit, CommitOutcome, Condition, Error, HttpTable, Table, Write};
use jackdawchute_standins::table::{spawn_table, Availability, RunningTable, TableFaults};

async fn table() -> RunningTable {
    spawn_table(&["a".into(), "b".into()])
        .await
        .expect("loopback ports are free")
}

fn client(table: &RunningTable, name: &str) -> HttpTable {
    HttpTable::new(table.address(name).expect("the fixture adds this client"))
}

fn create(write_id: &str, value: &str) -> Commit {
    Commit {
        write_id: write_id.into(),
        conditions: vec![Condition {
            key: "row".into(),
            version: 0,
        }],
        writes: vec![Write {
            key: "row".into(),
            value: Some(value.into()),
        }],
    }
}

#[tokio::test]
async fn clients_share_rows_and_only_one_of_two_conflicting_commits_succeeds() {
    let table = table().await;

    let first = client(&table, "a").commit(create("w1", "1")).await.unwrap();
    let second = client(&table, "b").commit(create("w2", "2")).await.unwrap();

    let row = client(&table, "b").read("row").await.unwrap().unwrap();
    let scan = client(&table, "b").scan("ro", 0).await.unwrap();
    assert_eq!(first, CommitOutcome::Committed { version: 1 });
    assert!(matches!(second, CommitOutcome::Conflict { version: 1, .. }));
    assert_eq!(row.value.as_deref(), Some("1"));
    assert_eq!(scan.rows, vec![row]);
}

#[tokio::test]
async fn the_table_can_refuse_one_client_only() {
    let table = table().await;
    let refusing = TableFaults {
        availability: Availability::Refusing,
        ..TableFaults::default()
    };

    table.set_faults(Some("a".into()), refusing).await.unwrap();

    let refused = client(&table, "a").commit(create("w1", "1")).await;
    let committed = client(&table, "b").commit(create("w2", "2")).await;
    assert!(matches!(refused, Err(Error::Unavailable(..))));
    assert!(matches!(committed, Ok(CommitOutcome::Committed { .. })));
}

#[tokio::test]
async fn a_lost_answer_leaves_the_commit_in_effect() {
    let table = table().await;
    let lossy = TableFaults {
        lose_commit_answers: 1,
        ..TableFaults::default()
    };
    table.set_faults(Some("a".into()), lossy).await.unwrap();

    let lost = client(&table, "a").commit(create("w1", "1")).await;
    let repeated = client(&table, "a").commit(create("w1", "1")).await;

    assert!(matches!(lost, Err(Error::Unknown(..))));
    assert_eq!(repeated, Ok(CommitOutcome::Committed { version: 1 }));
    assert_eq!(table.counts().await.unwrap()["a"].lost_answers, 1);
}

#[tokio::test]
async fn a_silent_table_neither_answers_nor_writes() {
    let table = table().await;
    let silent = TableFaults {
        availability: Availability::Silent,
        ..TableFaults::default()
    };
    table.set_faults(None, silent).await.unwrap();

    let outcome = client(&table, "a").commit(create("w1", "1")).await;

    let up = TableFaults::default();
    table.set_faults(None, up).await.unwrap();
    assert!(matches!(outcome, Err(Error::Unknown(..))));
    assert_eq!(client(&table, "b").read("row").await, Ok(None));
}

#[tokio::test]
async fn a_slow_table_answers_after_its_delay() {
    let table = table().await;
    let delay = Duration::from_millis(300);
    let slow = TableFaults {
        delay,
        ..TableFaults::default()
    };
    table.set_faults(None, slow).await.unwrap();

    let started = std::time::Instant::now();
    let row = client(&table, "a").read("row").await;

    assert_eq!(row, Ok(None));
    assert!(started.elapsed() >= delay);
    assert_eq!(table.counts().await.unwrap()["a"].reads, 1);
}
